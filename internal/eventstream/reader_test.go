package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
)

func read(text string) (events []eventstream.Event, last error) {
	r := eventstream.NewReader(strings.NewReader(text), bounded.Hold{})
	for {
		event, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// Events must be passed on byte for byte, whether or not they have an ID or fit
// into the buffer. A stream that ends inside an event must not seem complete.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 20_000)
	for name, test := range map[string]struct {
		text string
		want []eventstream.Event
		last error
	}{
		"two events": {
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
			[]eventstream.Event{{ID: 1, Raw: []byte("id: 1\ndata: a\n\n")}, {ID: 2, Raw: []byte("id: 2\ndata: b\n\n")}},
			io.EOF,
		},
		"no id":           {"data: a\n\n", []eventstream.Event{{ID: eventstream.NoID, Raw: []byte("data: a\n\n")}}, io.EOF},
		"carriage return": {"id:7\r\ndata: a\r\n\r\n", []eventstream.Event{{ID: 7, Raw: []byte("id:7\r\ndata: a\r\n\r\n")}}, io.EOF},
		"longer than the buffer": {
			"id: 3\ndata: " + long + "\n\n", []eventstream.Event{{ID: 3, Raw: []byte("id: 3\ndata: " + long + "\n\n")}}, io.EOF,
		},
		"ends inside an event":       {"id: 1\ndata: a\n\nid: 2\nda", []eventstream.Event{{ID: 1, Raw: []byte("id: 1\ndata: a\n\n")}}, eventstream.ErrTruncated},
		"ends before the blank line": {"id: 1\ndata: a\n", nil, eventstream.ErrTruncated},
		"empty stream":               {"", nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			events, last := read(test.text)
			if diff := cmp.Diff(test.want, events); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if !errors.Is(last, test.last) {
				t.Errorf("got error %v, want %v", last, test.last)
			}
		})
	}
}

func TestReaderRejectsIDThatIsNotANumber(t *testing.T) {
	if _, err := read("id: seven\n\n"); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("got %v, want an error about the id", err)
	}
}

// For any input, the events that are read must occur in the stream in order and
// without changes, with nothing but blank lines between them.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\n", "\n\n", "id:x\n\n", "data", ":\n\nid: 2\n\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		events, last := read(text)
		if last == nil {
			t.Fatal("got no error at the end of the stream")
		}
		rest := text
		for _, event := range events {
			at := strings.Index(rest, string(event.Raw))
			if at < 0 || strings.Trim(rest[:at], "\r\n \t\v\f\u0085\u00a0") != "" {
				t.Fatalf("event %q is not next in %q", event.Raw, rest)
			}
			rest = rest[at+len(event.Raw):]
		}
	})
}
