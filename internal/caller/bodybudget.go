package caller

import (
	"errors"
	"io"
	"net/http"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
)

// WithBodyBudget returns a handler like next whose requests take the memory of their bodies from a
// budget. The handler holds copies of a body while it runs, which are counted. A read for which the
// budget has no room returns bounded.ErrNoRoom.
func WithBodyBudget(next http.Handler, budget *bounded.Budget, copies int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			body := &budgetedBody{ReadCloser: r.Body, copies: copies, hold: bounded.Hold{Budget: budget}}
			defer body.hold.Release()
			r.Body = body
		}
		next.ServeHTTP(w, r)
	})
}

type budgetedBody struct {
	io.ReadCloser

	copies, read int64
	hold         bounded.Hold
}

// TakeRoom takes bytes from the budget of the body of a request, besides the copies of what was read, until the
// request ends. It returns bounded.ErrNoRoom if the budget has no room for them now, and bounded.ErrTooLong if
// it never has. A request without a budget has room for any.
func TakeRoom(r *http.Request, bytes int64) error {
	if body, ok := r.Body.(*budgetedBody); ok {
		return body.extend(bytes)
	}
	return nil
}

// extend takes bytes beyond the copies of what was read. It returns bounded.ErrNoRoom if the budget has no room
// for them now, and bounded.ErrTooLong if it never has.
func (b *budgetedBody) extend(more int64) error {
	n := b.copies*b.read + more
	switch {
	case b.hold.Budget != nil && n > b.hold.Budget.Limit:
		return bounded.ErrTooLong
	case !b.hold.Extend(n):
		return bounded.ErrNoRoom
	default:
		return nil
	}
}

// Read reads from the body.
func (b *budgetedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if !b.hold.Extend(b.copies * b.read) {
		return 0, errors.Join(bounded.ErrNoRoom, err)
	}
	return n, err
}
