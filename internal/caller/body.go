package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

func sortedModels(set *record.Set) []string {
	return slices.Sorted(maps.Keys(set.Models))
}

// readBody reads a request body, which is limited to BodyBytes and BodyTimeout.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	if c.Request().Body == http.NoBody {
		// A read deadline would end the read by which net/http sees callers leave.
		return nil, nil
	}
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(s.Clock.Now().Add(s.Config.BodyTimeout.Duration))
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, s.Config.BodyBytes)
	data, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.NotRun(http.StatusRequestEntityTooLarge, failure.TooLarge,
			"the body is longer than %d bytes", tooLarge.Limit)
	}
	if refusal := refusalOf(err); refusal != nil {
		return nil, refusal
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, failure.NotRun(http.StatusRequestTimeout, failure.BadRequest, "the body did not arrive within %v", s.Config.BodyTimeout.Duration)
	}
	if err != nil {
		return nil, failure.NotRun(http.StatusBadRequest, failure.BadRequest, "reading the body: %v", err)
	}
	// The timeout for the body must not interrupt the stream that follows.
	_ = controller.SetReadDeadline(noDeadline)
	c.Set(bodyReadContextKey, true)
	return data, nil
}

const (
	// discardTimeout and maxDiscardBytes limit what DiscardBody reads.
	discardTimeout  = 50 * time.Millisecond
	maxDiscardBytes = 256 << 10
)

// DiscardBody prepares the refusal of a request whose body hasn't been read to its end.
// It discards the rest of the body. If that doesn't arrive soon, the answer will end
// the connection: net/http would hold it back until the body is complete.
func DiscardBody(w http.ResponseWriter, r *http.Request, c clock.Clock) {
	if r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(w)
	// A read of the body would ask a caller that expects 100 Continue to send it. A read
	// that failed has ended the contexts of all further requests on the connection.
	if r.Header.Get("Expect") == "" && r.Context().Err() == nil {
		_ = control.SetReadDeadline(c.Now().Add(discardTimeout))
		if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(noDeadline)
			return
		}
	}
	w.Header().Set("Connection", "close")
	// net/http reads once more after the answer.
	_ = control.SetReadDeadline(c.Now())
}

// refusalOf returns the refusal of a request for whose body or prompt there is no room, or nil for any other
// error.
func refusalOf(err error) error {
	switch {
	case errors.Is(err, bounded.ErrNoRoom):
		return failure.Busy(failure.Overloaded, refusalRetry, "no room for the body")
	case errors.Is(err, bounded.ErrTooLong):
		return failure.NotRun(http.StatusRequestEntityTooLarge, failure.TooLarge, "the prompt takes more memory than this host has for bodies")
	default:
		return nil
	}
}

// decode decodes a JSON body. Its errors include the line and column if known.
func decode(data []byte, value any) error {
	err := json.Unmarshal(data, value)
	if err == nil {
		return nil
	}
	if refusal := refusalOf(err); refusal != nil {
		return refusal
	}
	offset := int64(-1)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
	}
	if offset < 0 {
		return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "body: %v", err)
	}
	line, column := position(data, offset)
	return failure.NotRun(http.StatusBadRequest, failure.BadRequest, "body:%d:%d: %v", line, column, err)
}

func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int64(len(data)), max(0, offset-1))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
