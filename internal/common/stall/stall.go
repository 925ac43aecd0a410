// Package stall limits the time in which nothing of an answer arrives, instead of the time that
// all of it takes. A long answer over a slow link is then not given up and begun again.
package stall

import (
	"context"
	"io"
	"sync"
	"time"
)

// Timer ends a call whose answer doesn't arrive.
type Timer struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// idle is the time in which something must arrive, until end.
	idle time.Duration
	end  time.Time
}

// Context returns a context that ends with context.DeadlineExceeded when its call has not been answered within
// first, or later when nothing of the answer has been read for the time idle, at the latest after first and most.
// The caller must call Stop once it has read the answer.
func Context(ctx context.Context, first, idle, most time.Duration) (context.Context, *Timer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Timer{cancel: cancel, idle: idle, end: time.Now().Add(first + most)}
	t.timer = time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, timerKey{}, t), t
}

type timerKey struct{}

// Stop releases the timer.
func (t *Timer) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Reader returns a reader like r, the body of the answer to the call of ctx. Without a Timer in ctx,
// it is r.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	if t, ok := ctx.Value(timerKey{}).(*Timer); ok {
		t.arrived()
		return &reader{r, t}
	}
	return r
}

type reader struct {
	io.Reader

	timer *Timer
}

// Read reads from the answer.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.arrived()
	}
	return n, err
}

// arrived gives the answer more time, unless the call has ended already.
func (t *Timer) arrived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer.Stop() {
		t.timer.Reset(min(t.idle, max(0, time.Until(t.end))))
	}
}
