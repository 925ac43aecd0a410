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

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/stall"
)

// maxAnswerBytes limits how much of an answer is read.
const maxAnswerBytes = 16 << 20

// longestAnswer limits the time in which an answer with rows arrives. Each part of it has to arrive
// within Client.Timeout.
const longestAnswer = 10 * time.Second

// maxDrainBytes limits how much is read of the rest of an answer, so that its connection
// can be used again. A longer rest closes the connection.
const maxDrainBytes = 4 << 10

// Client calls the platform's services over HTTP with JSON. Each call has a
// timeout. Calls to the table service also count against the rate limits of this
// host, Reads and Writes, and pass the breaker. The fields must be set before the
// first call. Codec, Reads and Writes may be nil.
type Client struct {
	HTTP *http.Client
	// Codec is the encoding of the table service. The default is StandinCodec.
	Codec       Codec
	TableURL    string
	ObjectURL   string
	HostListURL string
	Timeout     time.Duration
	Reads       *rate.Limiter
	Writes      *rate.Limiter
	Breaker     *Breaker
	// Steady is the clock of ServiceTime. It also runs while the host is suspended. It may
	// be nil, ServiceTime then knows no time.
	Steady clock.Clock
	// Metrics counts the calls to the table service by table and kind, see countCall. It may be nil.
	Metrics metrics.Registry

	serviceClock serviceClock

	readCount   atomic.Int64
	writeCount  atomic.Int64
	lastContact atomic.Int64
	era         atomic.Int64
}

// Counts returns the number of calls sent to the table service.
func (c *Client) Counts() (reads, writes int64) {
	return c.readCount.Load(), c.writeCount.Load()
}

// The kinds of calls to the table service in metrics.
const (
	callGet    = "get"
	callScan   = "scan"
	callFeed   = "feed"
	callCommit = "commit"
)

// countCall counts a call that is sent to the table service, whatever its outcome, as
// table.calls.TABLE.KIND.
func (c *Client) countCall(table, kind string) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter("table.calls."+table+"."+kind, c.Metrics).Inc(1)
	}
}

// countConflict counts a transaction that changed nothing because a condition was not met, as
// table.conflicts.TABLE.
func (c *Client) countConflict(table string, err error) {
	if c.Metrics != nil && IsConflict(err) {
		metrics.GetOrRegisterCounter("table.conflicts."+table, c.Metrics).Inc(1)
	}
}

// tableOf returns the table that a transaction writes.
func tableOf(tx Transaction) string {
	if len(tx.Writes) == 0 {
		return ""
	}
	return tx.Writes[0].Table
}

// LastContact returns when, by the clock of this host, the table service last gave an
// answer other than a failure, or the zero time if it has not yet done so.
func (c *Client) LastContact() time.Time {
	nanos := c.lastContact.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Era returns the highest era of the table service that any answer has stated, 0 if none
// has.
func (c *Client) Era() int64 { return c.era.Load() }

// ServiceTime returns the time of Steady at which the clock of the table service showed
// millis in an era, or an earlier one by at most the duration of a call. It returns the zero
// time and false if this isn't the present era, or if the clock of the service isn't known.
func (c *Client) ServiceTime(era, millis int64) (time.Time, bool) {
	return c.serviceClock.timeAt(era, millis)
}

// ServiceMillis returns what the clock of the table service shows at a time of Steady, and
// the present era. It returns false if that clock isn't known.
func (c *Client) ServiceMillis(t time.Time) (era, millis int64, ok bool) {
	return c.serviceClock.millisAt(t)
}

// EarliestServiceMillis is like ServiceMillis, but its time is never later than the one that the service shows at t.
func (c *Client) EarliestServiceMillis(t time.Time) (era, millis int64, ok bool) {
	return c.serviceClock.earliestMillisAt(t)
}

// observeEra records the era that an answer states, and returns it.
func (c *Client) observeEra(response *http.Response) int64 {
	era := c.codec().Era(response.Header)
	for {
		known := c.era.Load()
		if era <= known || c.era.CompareAndSwap(known, era) {
			return era
		}
	}
}

// Get reads one row. It returns false if the row is absent.
func (c *Client) Get(ctx context.Context, table, key string) (Row, bool, error) {
	page, err := c.read(ctx, table, callGet, c.codec().Get(table, key), c.Timeout)
	if err != nil {
		return Row{}, false, fmt.Errorf("getting row %s/%s: %w", table, key, err)
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, true, nil
		}
	}
	return Row{}, false, nil
}

// Scan reads the rows that s selects.
func (c *Client) Scan(ctx context.Context, s Scan) ([]Row, error) {
	page, err := c.Page(ctx, s)
	return page.Rows, err
}

// Page reads the rows that s selects, and the version from which a feed continues.
func (c *Client) Page(ctx context.Context, s Scan) (Page, error) {
	page, err := c.read(ctx, s.Table, callScan, c.codec().Scan(s), c.Timeout)
	if err != nil {
		return Page{}, fmt.Errorf("scanning table %s: %w", s.Table, err)
	}
	return page, nil
}

// Feed returns the rows of a table that changed after a version. If there are none,
// it waits for a change for at most the duration wait. After ErrHistoryGone, the
// table has to be read again.
func (c *Client) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	page, err := c.read(ctx, table, callFeed, c.codec().Feed(table, after, wait), wait+c.Timeout)
	if err != nil {
		return Page{}, fmt.Errorf("following table %s: %w", table, err)
	}
	return page, nil
}

// Commit applies a transaction. It returns a *ConflictError when a condition was
// not met, ErrUnavailable when nothing was applied, and ErrUnknownOutcome when the
// transaction may have been applied, for example because the answer was lost.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	_, err := c.CommitVersion(ctx, tx)
	return err
}

// CommitVersion is like Commit and also returns the version of the rows written, or
// 0 if the service does not return it.
func (c *Client) CommitVersion(ctx context.Context, tx Transaction) (int64, error) {
	if err := c.admit(ctx, c.Writes); err != nil {
		return 0, err
	}
	c.writeCount.Add(1)
	c.countCall(tableOf(tx), callCommit)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	call := c.codec().Commit(tx)
	response, err := c.send(ctx, call.Method, c.TableURL+call.Path, call.Body)
	if err != nil {
		c.tableDone(false)
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer drain(response)
	c.observeEra(response)
	version, err := c.commitResult(response, tx)
	c.countConflict(tableOf(tx), err)
	return version, err
}

func (c *Client) commitResult(response *http.Response, tx Transaction) (int64, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.tableDone(false)
		return 0, fmt.Errorf("%w: reading the answer: %w", ErrUnknownOutcome, err)
	}
	version, err := c.codec().DecodeCommit(response.StatusCode, body, tx)
	c.tableDone(err == nil || IsConflict(err))
	return version, err
}

func (c *Client) codec() Codec {
	if c.Codec == nil {
		return StandinCodec{}
	}
	return c.Codec
}

// Hosts returns the platform's host list, which lags behind.
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

// PutObject writes an object.
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

// GetObject reads an object. It returns ErrNotFound if the object does not exist.
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

// read makes one call of a kind that reads rows of a table.
func (c *Client) read(ctx context.Context, table, kind string, call Call, timeout time.Duration) (Page, error) {
	if err := c.admit(ctx, c.Reads); err != nil {
		return Page{}, err
	}
	c.readCount.Add(1)
	c.countCall(table, kind)
	ctx, timer := stall.Context(ctx, timeout, c.Timeout, longestAnswer)
	defer timer.Stop()
	var sentAt time.Time
	if c.Steady != nil {
		sentAt = c.Steady.Now()
	}
	response, err := c.send(ctx, call.Method, c.TableURL+call.Path, call.Body)
	if err != nil {
		c.tableDone(false)
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drain(response)
	era := c.observeEra(response)
	body, err := io.ReadAll(io.LimitReader(stall.Reader(ctx, response.Body), maxAnswerBytes))
	if err != nil {
		c.tableDone(false)
		return Page{}, fmt.Errorf("%w: reading the answer: %w", ErrUnavailable, err)
	}
	page, err := c.codec().DecodePage(response.StatusCode, body)
	c.tableDone(err == nil || errors.Is(err, ErrHistoryGone))
	if c.Steady != nil {
		c.serviceClock.observe(sentAt, c.Steady.Now().Sub(sentAt), era, page.ClockMillis)
		page.CompleteAt = c.answeredAt(sentAt, era, page.ClockMillis)
	}
	page.Era = era
	for i := range page.Rows {
		page.Rows[i].Era = era
	}
	return page, err
}

// answeredAt returns when the service gave the answer, in which its clock shows millis, to a call
// sent at sentAt, or an earlier time. An answer may take long to arrive.
func (c *Client) answeredAt(sentAt time.Time, era, millis int64) time.Time {
	if at, known := c.serviceClock.timeAt(era, millis); known && at.After(sentAt) {
		return at
	}
	return sentAt
}

// admit waits until the rate limit allows a call. It returns ErrUnavailable if the
// limit allows none before the deadline of ctx, or if the breaker is open.
func (c *Client) admit(ctx context.Context, limiter *rate.Limiter) error {
	if limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return fmt.Errorf("%w: waiting for the rate limit of this host: %w", ErrUnavailable, err)
		}
	}
	if !c.Breaker.Allow() {
		return fmt.Errorf("%w: circuit breaker is open after consecutive failures", ErrUnavailable)
	}
	return nil
}

// tableDone records whether a call to the table service succeeded.
func (c *Client) tableDone(ok bool) {
	c.Breaker.Done(ok)
	if ok {
		c.lastContact.Store(c.Breaker.Clock.Now().UnixNano())
	}
}

func (c *Client) send(ctx context.Context, method, address string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
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

// drain reads the rest of an answer, so that its connection can be used again, and
// closes it.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	_ = response.Body.Close()
}
