package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/netconn"
)

const (
	maxRefusalBytes = 1 << 20
	maxAnswerBytes  = 16 << 20
	maxEventBytes   = 64 << 10
	maxHeaderBytes  = 64 << 10
	maxDrainBytes   = 256 << 10
	// maxHeldBytes limits the answers of plain services that are read at the same time.
	maxHeldBytes = 64 << 20
	// transferTimeout is the timeout of calls that move weights or cache blocks.
	transferTimeout = time.Minute
)

// Client calls model engines and plain services over HTTP. All fields are set
// before the first call.
type Client struct {
	// Repeatable sends calls that may be repeated. It reuses connections. Unlike an
	// http.Client, a transport follows no redirects.
	Repeatable *http.Transport
	// NonRepeatable sends calls that may not be repeated. It must not reuse
	// connections, since the transport repeats calls on a stale connection.
	NonRepeatable *http.Transport
	// Room limits the bytes of the answers of plain services while they are read.
	Room *bounded.Budget
	// Timeout is the timeout of each call except Run, Call and transfers of weights
	// or cache blocks.
	Timeout time.Duration
}

// NewClient returns a Client that keeps up to the given number of idle connections
// for repeatable calls. See Client.Timeout for the timeout.
func NewClient(timeout time.Duration, connections int) *Client {
	dial := netconn.Wrap((&net.Dialer{}).DialContext)
	return &Client{
		Repeatable: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: connections,
			MaxIdleConns:        connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		NonRepeatable: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		Room:          &bounded.Budget{Limit: maxHeldBytes},
		Timeout:       timeout,
	}
}

// Stream is the answer of an engine while it runs.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// NewStream returns a Stream that reads events from body, one JSON document per
// line.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, maxEventBytes)}
}

// Next returns the next event. It returns a *BrokenError if the stream ends or if
// the event is invalid.
func (s *Stream) Next() (RunEvent, error) {
	var event RunEvent
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = fmt.Errorf("event is longer than %d bytes", maxEventBytes)
	}
	if err != nil {
		return event, &BrokenError{Sent: true, Err: err}
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return event, &BrokenError{Sent: true, Err: err}
	}
	return event, nil
}

// Close ends the stream and cancels the rest of the answer.
func (s *Stream) Close() error { return s.body.Close() }

// Run starts one attempt on the engine at url. If the engine refuses it, the error
// is a *RefusalError. If the call fails, the error is a *BrokenError.
func (c *Client) Run(ctx context.Context, url string, run *RunRequest) (*Stream, error) {
	data, err := json.Marshal(run)
	if err != nil {
		return nil, fmt.Errorf("encoding run request: %w", err)
	}
	response, err := c.do(ctx, c.Repeatable, http.MethodPost, url+"/run", jsonHeader(), data)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response)
		return nil, refusal(response)
	}
	return NewStream(response.Body), nil
}

// Cancel stops one attempt on an engine.
func (c *Client) Cancel(ctx context.Context, url, requestID string, attempt int) error {
	request := struct {
		RequestID string `json:"requestId"`
		Attempt   int    `json:"attempt"`
	}{requestID, attempt}
	return c.call(ctx, http.MethodPost, url+"/cancel", request, nil)
}

// Load reads the load report of an engine.
func (c *Client) Load(ctx context.Context, url string) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, url+"/load", nil, &report)
	return report, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, url string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s/cacheEvents?after=%d", url, after), nil, &events)
	return events, err
}

// ChangeVersion makes an engine load or unload a weight version.
func (c *Client) ChangeVersion(ctx context.Context, url string, request VersionRequest) error {
	return c.callWithin(ctx, transferTimeout, http.MethodPost, url+"/versions", request, nil)
}

// Export makes an engine write cache blocks to a store host.
func (c *Client) Export(ctx context.Context, url string, request BlockRequest) (BlockResult, error) {
	var result BlockResult
	err := c.callWithin(ctx, transferTimeout, http.MethodPost, url+"/blocks/export", request, &result)
	return result, err
}

// Import makes an engine read cache blocks from store hosts. The result lists the
// blocks that matched their name, generation, length and checksum.
func (c *Client) Import(ctx context.Context, url string, request BlockRequest) (BlockResult, error) {
	var result BlockResult
	err := c.callWithin(ctx, transferTimeout, http.MethodPost, url+"/blocks/import", request, &result)
	return result, err
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	// Location is empty if the answer doesn't state one.
	Location string `json:"location,omitempty"`
	Body     []byte `json:"body"`
}

// Call sends one call to a plain service. A call that may not be repeated uses a
// new connection. Errors are *BrokenError.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body []byte, repeatable bool) (ServiceAnswer, error) {
	transport := c.NonRepeatable
	if repeatable {
		transport = c.Repeatable
	}
	response, err := c.do(ctx, transport, method, url, header, body)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer drain(response)
	read := bounded.Buffer{Hold: bounded.Hold{Budget: c.Room}}
	defer read.Release()
	if err := read.Fill(response.Body, response.ContentLength, maxAnswerBytes); err != nil {
		return ServiceAnswer{}, &BrokenError{Sent: true, Err: fmt.Errorf("answer of more than %d bytes: %w", read.Len, err)}
	}
	data := bytes.Join(read.Chunks, nil)
	if len(data) == 0 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.StatusCode < http.StatusMultipleChoices && method != http.MethodHead {
		return ServiceAnswer{}, &BrokenError{Sent: true, Err: errNoBody}
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Location:    response.Header.Get("Location"),
		Body:        data,
	}, nil
}

// errNoBody reports that a connection ended before the first byte of its body.
var errNoBody = errors.New("the connection ended before the first byte of the body")

// call sends a JSON request to an engine and decodes its answer, with the timeout
// c.Timeout.
func (c *Client) call(ctx context.Context, method, url string, request, answer any) error {
	return c.callWithin(ctx, c.Timeout, method, url, request, answer)
}

func (c *Client) callWithin(ctx context.Context, timeout time.Duration, method, url string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var data []byte
	if request != nil {
		var err error
		if data, err = json.Marshal(request); err != nil {
			return fmt.Errorf("encoding request: %w", err)
		}
	}
	response, err := c.do(ctx, c.Repeatable, method, url, jsonHeader(), data)
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return &BrokenError{Sent: true, Err: err}
	}
	return nil
}

// do sends a request. If that fails, it returns a *BrokenError. Its Sent field is
// false only if there was no connection on which the request could be sent.
func (c *Client) do(ctx context.Context, transport *http.Transport, method, url string, header http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &BrokenError{Err: err}
	}
	request.Header = header.Clone()
	if user := request.URL.User; user != nil {
		password, _ := user.Password()
		request.SetBasicAuth(user.Username(), password)
	}
	response, err := netconn.RoundTrip(transport, request)
	if err != nil {
		return nil, &BrokenError{Sent: connected.Load(), Err: err}
	}
	return response, nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// refusal returns the refusal in the body of a response as a *RefusalError. Its
// code is "unknown" if the body cannot be decoded.
func refusal(response *http.Response) error {
	refused := &RefusalError{Status: response.StatusCode}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(refused); err != nil {
		refused.Code = "unknown"
		refused.Message = fmt.Sprintf("status %d", response.StatusCode)
	}
	return refused
}

// drain reads the rest of the body and closes it. A connection is reused only if
// its last body was read to the end.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	_ = response.Body.Close()
}
