package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 16 << 20
	eventBuffer    = 64 << 10
	// orderTimeout bounds orders that move weights or cache blocks.
	orderTimeout = time.Minute
)

// Client speaks HTTP with JSON to model engines and plain services. All fields
// are set before the first call.
type Client struct {
	HTTP *http.Client
	// NonRepeatable sends calls that may not be repeated. It must not reuse
	// connections, since the transport repeats calls on a stale one.
	NonRepeatable *http.Client
	// Timeout bounds each call that is not a run.
	Timeout time.Duration
}

// NewClient returns a client with transports for both kinds of calls.
func NewClient(timeout time.Duration, connections int) *Client {
	shared := &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxIdleConns:        connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	once := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		HTTP:          &http.Client{Transport: shared},
		NonRepeatable: &http.Client{Transport: once},
		Timeout:       timeout,
	}
}

// Stream is a running answer of an engine.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// NewStream reads events from body, one JSON document a line.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, eventBuffer)}
}

// Next returns the next event. It returns a *BrokenError when the stream ends
// before its last event.
func (s *Stream) Next() (RunEvent, error) {
	var event RunEvent
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = fmt.Errorf("event is longer than %d bytes", eventBuffer)
	}
	if err != nil {
		return event, &BrokenError{Sent: true, Err: err}
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return event, &BrokenError{Sent: true, Err: err}
	}
	return event, nil
}

// Close ends the stream and cancels what is left of it.
func (s *Stream) Close() error { return s.body.Close() }

// Run starts one attempt on the engine at url. Errors are *RefusalError and
// *BrokenError.
func (c *Client) Run(ctx context.Context, url string, run *RunRequest) (*Stream, error) {
	data, err := json.Marshal(run)
	if err != nil {
		return nil, fmt.Errorf("encoding run request: %w", err)
	}
	response, err := c.do(ctx, c.HTTP, http.MethodPost, url+"/run", jsonHeader(), data)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response)
		return nil, refusal(response)
	}
	return NewStream(response.Body), nil
}

// Cancel tells an engine to stop one attempt.
func (c *Client) Cancel(ctx context.Context, url, requestID string, attempt int) error {
	order := struct {
		RequestID string `json:"requestId"`
		Attempt   int    `json:"attempt"`
	}{requestID, attempt}
	return c.call(ctx, http.MethodPost, url+"/cancel", order, nil)
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, url string) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, url+"/load", nil, &report)
	return report, err
}

// CacheEvents reads the cache events behind a sequence number.
func (c *Client) CacheEvents(ctx context.Context, url string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s/cacheEvents?after=%d", url, after), nil, &events)
	return events, err
}

// OrderVersion tells an engine to load or unload a weight version.
func (c *Client) ChangeVersion(ctx context.Context, url string, order VersionRequest) error {
	return c.callWithin(ctx, orderTimeout, http.MethodPost, url+"/versions", order, nil)
}

// Export tells an engine to write cache blocks to a store host.
func (c *Client) Export(ctx context.Context, url string, order BlockRequest) (BlockResult, error) {
	var result BlockResult
	err := c.callWithin(ctx, orderTimeout, http.MethodPost, url+"/blocks/export", order, &result)
	return result, err
}

// Import tells an engine to read cache blocks from store hosts. The result
// lists the blocks that matched their name, generation, length and checksum.
func (c *Client) Import(ctx context.Context, url string, order BlockRequest) (BlockResult, error) {
	var result BlockResult
	err := c.callWithin(ctx, orderTimeout, http.MethodPost, url+"/blocks/import", order, &result)
	return result, err
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Call sends one call to a plain service. A call that may not be repeated uses
// a connection of its own.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body []byte, repeatable bool) (ServiceAnswer, error) {
	client := c.NonRepeatable
	if repeatable {
		client = c.HTTP
	}
	response, err := c.do(ctx, client, method, url, header, body)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer drain(response)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return ServiceAnswer{}, &BrokenError{Sent: true, Err: err}
	}
	if len(data) > maxAnswerBytes {
		return ServiceAnswer{}, &BrokenError{Sent: true, Err: fmt.Errorf("answer is longer than %d bytes", maxAnswerBytes)}
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        data,
	}, nil
}

// call makes one short exchange of JSON with an engine.
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
			return fmt.Errorf("encoding order: %w", err)
		}
	}
	response, err := c.do(ctx, c.HTTP, method, url, jsonHeader(), data)
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

// do sends a request and tells on failure whether any byte was handed over.
func (c *Client) do(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &BrokenError{Err: err}
	}
	request.Header = header
	response, err := client.Do(request)
	if err != nil {
		return nil, &BrokenError{Sent: connected.Load(), Err: err}
	}
	return response, nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

func refusal(response *http.Response) error {
	refused := &RefusalError{Status: response.StatusCode}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(refused); err != nil {
		refused.Code = "unknown"
		refused.Message = fmt.Sprintf("status %d", response.StatusCode)
	}
	return refused
}

func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
}
