package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Call is one encoded call to the table service. A nil Body means no request body.
type Call struct {
	Method string
	Path   string
	Body   any
}

// Codec encodes calls to the table service and decodes its answers. It returns the
// errors that the methods of Client document.
type Codec interface {
	Get(table, key string) Call
	Scan(s Scan) Call
	Feed(table string, after int64, wait time.Duration) Call
	Commit(tx Transaction) Call
	// Era returns the era that an answer states, 0 if it states none.
	Era(header http.Header) int64
	// DecodePage decodes the answer to Get, Scan or Feed.
	DecodePage(status int, body []byte) (Page, error)
	// DecodeCommit decodes the answer to Commit and returns the version written.
	DecodeCommit(status int, body []byte, tx Transaction) (int64, error)
}

// StandinCodec is the encoding of package standin's table service.
type StandinCodec struct{}

// Get encodes reading one row.
func (StandinCodec) Get(table, key string) Call {
	return Call{Method: http.MethodPost, Path: "/table/get", Body: Condition{Table: table, Key: key}}
}

// Scan encodes reading a range of rows.
func (StandinCodec) Scan(s Scan) Call {
	return Call{Method: http.MethodPost, Path: "/table/scan", Body: s}
}

// Feed encodes reading the changes after a version. Package standin does not serve this
// call.
func (StandinCodec) Feed(table string, after int64, wait time.Duration) Call {
	path := "/table/feed?table=" + table + "&after=" + strconv.FormatInt(after, 10) + "&wait=" + wait.String()
	return Call{Method: http.MethodGet, Path: path}
}

// Commit encodes a transaction.
func (StandinCodec) Commit(tx Transaction) Call {
	return Call{Method: http.MethodPost, Path: "/table/commit", Body: tx}
}

// Era returns 0, since package standin is never restored from an older copy.
func (StandinCodec) Era(http.Header) int64 { return 0 }

// DecodePage decodes the answer to Get, Scan or Feed.
func (StandinCodec) DecodePage(status int, body []byte) (Page, error) {
	var answer struct {
		Row     Row   `json:"row"`
		Found   bool  `json:"found"`
		Rows    []Row `json:"rows"`
		Version int64 `json:"version"`
		More    bool  `json:"more"`
	}
	if status == http.StatusGone {
		return Page{}, ErrHistoryGone
	}
	if status != http.StatusOK {
		return Page{}, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	if answer.Found {
		answer.Rows = []Row{answer.Row}
	}
	return Page{Rows: answer.Rows, Version: answer.Version, More: answer.More}, nil
}

// DecodeCommit decodes the result of a transaction. The stand-in does not return
// the version written, so the version is always 0.
func (StandinCodec) DecodeCommit(status int, body []byte, _ Transaction) (int64, error) {
	switch status {
	case http.StatusOK:
		return 0, nil
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(body, conflict); err != nil {
			return 0, fmt.Errorf("%w: decoding the conflict: %w", ErrUnavailable, err)
		}
		return 0, conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, status)
	}
}
