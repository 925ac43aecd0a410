// Package clock provides time sources that can be replaced in tests.
package clock

import (
	"context"
	"time"
)

// Clock is a source of time and timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the system clock. Inside a testing/synctest bubble it follows the time
// of the bubble.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits until d has passed or ctx ends. It returns the error of ctx if ctx
// ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

// Every calls f after each interval until ctx ends, see Tick. The time that f takes is added
// to the interval.
func Every(ctx context.Context, c Clock, interval time.Duration, f func(context.Context)) {
	for Tick(ctx, c, interval) == nil {
		f(ctx)
	}
}
