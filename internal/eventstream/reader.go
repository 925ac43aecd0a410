// Package eventstream reads the text/event-stream format without changing it:
// events are passed on byte for byte, and only their ids are looked at.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event. Longer ones break the stream.
const maxEventBytes = 1 << 20

// NoID is the id of an event that names none.
const NoID = -1

// ErrTruncated says that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// Event is one whole event with the blank line that ends it.
type Event struct {
	// ID is NoID when the event names none.
	ID  int64
	Raw []byte
}

// Reader splits a stream into events.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next whole event. It returns io.EOF at a clean end, ErrCut
// when the stream ends inside an event, and an error for an id that is no
// number. The bytes of the event are the caller's.
func (s *Reader) Next() (Event, error) {
	event := Event{ID: NoID}
	continued := false
	for {
		line, err := s.r.ReadSlice('\n')
		whole := !continued
		continued = errors.Is(err, bufio.ErrBufferFull)
		event.Raw = append(event.Raw, line...)
		if err != nil && !continued {
			return Event{}, ending(event.Raw, err)
		}
		if len(event.Raw) > maxEventBytes {
			return Event{}, fmt.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if continued || !whole {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(event.Raw)) == 0 {
				event.Raw = event.Raw[:0]
				continue
			}
			return event, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if event.ID, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
				return Event{}, fmt.Errorf("id of an event: %w", err)
			}
		}
	}
}

func ending(raw []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(bytes.TrimSpace(raw)) > 0 {
		return ErrTruncated
	}
	return io.EOF
}
