// Package clock lets the caller pass in the time source.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the machine. Inside a testing/synctest bubble it
// follows the bubble's time.
type System struct{}

// Now returns the current time of the machine.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d or until ctx ends, and returns the error of ctx.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

// Every calls f once in each interval until ctx ends.
func Every(ctx context.Context, c Clock, interval time.Duration, f func(context.Context)) {
	for Sleep(ctx, c, interval) == nil {
		f(ctx)
	}
}
