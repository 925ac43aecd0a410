// Package wait waits for groups of goroutines.
package wait

import (
	"context"
	"sync"
)

// Group waits until the group has ended, or returns the error of ctx.
func Group(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
