package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// WithBodyTimeout returns a handler like next whose requests have to send their bodies within a
// time limit.
func WithBodyTimeout(next http.Handler, c clock.Clock, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without a body, a read deadline would end the read by which net/http sees callers leave.
		if r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(c.Now().Add(timeout))
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a body whose read deadline ends with it.
type timedBody struct {
	io.ReadCloser

	control *http.ResponseController
}

// Read reads from the body. It clears the read deadline at its end.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(noDeadline)
	}
	return n, err
}
