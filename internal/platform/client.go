package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const maxAnswerBytes = 64 << 20

// Client calls the platform's services over HTTP with JSON. Each call has a
// timeout, counts against the budget of this host, and passes the breaker.
// All fields are set before the first call.
type Client struct {
	HTTP        *http.Client
	TableURL    string
	ObjectURL   string
	HostListURL string
	Timeout     time.Duration
	Reads       *rate.Limiter
	Writes      *rate.Limiter
	Breaker     *Breaker

	readCount   atomic.Int64
	writeCount  atomic.Int64
	lastContact atomic.Int64
}

// Counts returns the calls made to the table service so far.
func (c *Client) Counts() (reads, writes int64) {
	return c.readCount.Load(), c.writeCount.Load()
}

// LastContact returns when the table service last answered, by the clock of
// this host. It is the zero time before the first answer.
func (c *Client) LastContact() time.Time {
	nanos := c.lastContact.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Get reads one row. The second result is false when the row is absent.
func (c *Client) Get(ctx context.Context, table, key string) (Row, bool, error) {
	var answer struct {
		Row   Row  `json:"row"`
		Found bool `json:"found"`
	}
	request := Condition{Table: table, Key: key}
	if err := c.read(ctx, "/table/get", request, &answer); err != nil {
		return Row{}, false, fmt.Errorf("getting row %s/%s: %w", table, key, err)
	}
	return answer.Row, answer.Found, nil
}

// Scan reads the rows that s selects.
func (c *Client) Scan(ctx context.Context, s Scan) ([]Row, error) {
	var answer struct {
		Rows []Row `json:"rows"`
	}
	if err := c.read(ctx, "/table/scan", s, &answer); err != nil {
		return nil, fmt.Errorf("scanning table %s: %w", s.Table, err)
	}
	return answer.Rows, nil
}

// Commit applies a transaction. It returns a *ConflictError when a condition
// did not hold, ErrUnavailable when nothing was applied, and
// ErrUnknownOutcome when the answer was lost.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	if err := c.admit(ctx, c.Writes); err != nil {
		return err
	}
	c.writeCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodPost, c.TableURL+"/table/commit", tx)
	if err != nil {
		c.tableDone(false)
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer drain(response)
	return c.commitResult(response)
}

func (c *Client) commitResult(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		c.tableDone(true)
		return nil
	case http.StatusConflict:
		c.tableDone(true)
		conflict := &ConflictError{}
		if err := json.NewDecoder(response.Body).Decode(conflict); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.tableDone(false)
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	default:
		c.tableDone(false)
		return fmt.Errorf("%w: status %d", ErrUnknownOutcome, response.StatusCode)
	}
}

// Hosts returns the platform's lagging host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, c.HostListURL+"/hosts", nil)
	if err != nil {
		return nil, fmt.Errorf("reading host list: %w", err)
	}
	defer drain(response)
	var hosts []Host
	if err := decodeOK(response, &hosts); err != nil {
		return nil, fmt.Errorf("reading host list: %w", err)
	}
	return hosts, nil
}

// PutObject writes a whole object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(name), bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("writing object %s: %w", name, err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("writing object %s: %w", name, err)
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("writing object %s: %w: status %d", name, ErrUnavailable, response.StatusCode)
	}
	return nil
}

// GetObject reads a whole object, or returns ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, c.objectURL(name), nil)
	if err != nil {
		return nil, fmt.Errorf("reading object %s: %w", name, err)
	}
	defer drain(response)
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("reading object %s: %w", name, ErrNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("reading object %s: %w: status %d", name, ErrUnavailable, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
}

func (c *Client) objectURL(name string) string {
	return c.ObjectURL + "/objects/" + url.PathEscape(name)
}

func (c *Client) read(ctx context.Context, path string, request, answer any) error {
	if err := c.admit(ctx, c.Reads); err != nil {
		return err
	}
	c.readCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodPost, c.TableURL+path, request)
	if err != nil {
		c.tableDone(false)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drain(response)
	err = decodeOK(response, answer)
	c.tableDone(err == nil)
	return err
}

// admit waits for the budget and asks the breaker.
func (c *Client) admit(ctx context.Context, limiter *rate.Limiter) error {
	if limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return fmt.Errorf("%w: budget of this host is spent: %w", ErrUnavailable, err)
		}
	}
	if !c.Breaker.Allow() {
		return fmt.Errorf("%w: breaker is open", ErrUnavailable)
	}
	return nil
}

func (c *Client) tableDone(ok bool) {
	c.Breaker.Done(ok)
	if ok {
		c.lastContact.Store(c.Breaker.Clock.Now().UnixNano())
	}
}

func (c *Client) send(ctx context.Context, method, target string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(request)
}

func decodeOK(response *http.Response, answer any) error {
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	return nil
}

func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
}
