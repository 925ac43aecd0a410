// Package eventstream splits streams in the text/event-stream format into
// events. It passes events on byte for byte and parses only their IDs.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
)

// maxEventBytes is the maximum size of an event. A larger event is an error.
const maxEventBytes = 1 << 20

// NoID is the ID of an event without an id field.
const NoID = -1

// ErrTruncated reports that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// ErrForeign reports that another HTTP response begins inside a stream.
var ErrForeign = errors.New("another HTTP response in the stream")

// statusLine is the beginning of the first line of an HTTP response. It is no field of an event.
const statusLine = "HTTP/1."

// Event is a complete event, including the blank line that ends it.
type Event struct {
	// ID is the value of the id field, or NoID if there is none.
	ID  int64
	Raw []byte
}

// Reader splits a stream into events.
type Reader struct {
	r    *bufio.Reader
	hold bounded.Hold
}

// NewReader returns a reader of the events in r. Their bytes are taken from the budget of hold until
// the next event is read.
func NewReader(r io.Reader, hold bounded.Hold) *Reader {
	return &Reader{r: bufio.NewReader(r), hold: hold}
}

// Close gives back what the last event has taken.
func (s *Reader) Close() { s.hold.Release() }

// Next returns the next complete event. Blank lines before it are dropped. Next
// returns io.EOF if the stream ends between two events, ErrTruncated if it ends
// inside an event, ErrForeign if another HTTP response begins, any other error of the
// underlying reader, and an error if an ID is not a number or an event is too long.
// The caller may keep and modify the bytes of the event.
func (s *Reader) Next() (Event, error) {
	s.hold.Release()
	event := Event{ID: NoID}
	continued := false
	blank := 0
	for {
		line, err := s.r.ReadSlice('\n')
		lineStart := !continued
		continued = errors.Is(err, bufio.ErrBufferFull)
		if !s.hold.Extend(int64(len(event.Raw) + len(line))) {
			return Event{}, fmt.Errorf("event of more than %d bytes: %w", len(event.Raw), bounded.ErrNoRoom)
		}
		event.Raw = append(event.Raw, line...)
		if err != nil && !continued {
			return Event{}, endError(event.Raw, err)
		}
		if len(event.Raw) > maxEventBytes {
			return Event{}, fmt.Errorf("event is longer than the limit of %d bytes", maxEventBytes)
		}
		// A line that exceeds the buffer is neither blank nor an ID.
		if continued || !lineStart {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(event.Raw)) == 0 {
				if blank += len(event.Raw); blank > maxEventBytes {
					return Event{}, fmt.Errorf("blank lines are longer than the limit of %d bytes", maxEventBytes)
				}
				event.Raw = event.Raw[:0]
				continue
			}
			return event, nil
		}
		if bytes.HasPrefix(text, []byte(statusLine)) {
			return Event{}, ErrForeign
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if event.ID, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
				return Event{}, fmt.Errorf("parse event id: %w", err)
			}
		}
	}
}

func endError(raw []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(bytes.TrimSpace(raw)) > 0 {
		return ErrTruncated
	}
	return io.EOF
}
