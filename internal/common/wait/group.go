// Package wait waits for a group of goroutines or the end of a context.
package wait

import (
	"context"
	"sync"
)

// Group waits until all goroutines of the group have ended. If ctx ends first, it
// returns the error of ctx.
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
