package platform

import (
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// Breaker refuses calls for a pause after a number of failures in a row, then
// lets one call through to find out whether the service is back.
type Breaker struct {
	Clock    clock.Clock
	Failures int
	Pause    time.Duration

	mu       sync.Mutex
	failed   int
	openedAt time.Time
	probing  bool
}

// Allow reports whether a call may be made now.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed < b.Failures {
		return true
	}
	if b.probing || b.Clock.Now().Sub(b.openedAt) < b.Pause {
		return false
	}
	b.probing = true
	return true
}

// Done records how an allowed call ended.
func (b *Breaker) Done(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if ok {
		b.failed = 0
		return
	}
	b.failed++
	if b.failed >= b.Failures {
		b.openedAt = b.Clock.Now()
	}
}
