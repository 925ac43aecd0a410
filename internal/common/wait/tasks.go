package wait

import (
	"context"
	"sync"
)

// Tasks runs functions in the background. Unlike those of a sync.WaitGroup, the first one may begin
// while Wait is called. The zero value is ready for use.
type Tasks struct {
	mu      sync.Mutex
	running int
	// idle is closed when none runs any more, nil if none runs.
	idle chan struct{}
}

// Go runs a function in a goroutine.
func (t *Tasks) Go(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running++; t.running == 1 {
		t.idle = make(chan struct{})
	}
	go func() {
		defer t.end()
		f()
	}()
}

func (t *Tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running--; t.running == 0 {
		close(t.idle)
		t.idle = nil
	}
}

// Wait waits until no function runs, or returns the error of ctx if ctx ends first.
func (t *Tasks) Wait(ctx context.Context) error {
	t.mu.Lock()
	idle := t.idle
	t.mu.Unlock()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
