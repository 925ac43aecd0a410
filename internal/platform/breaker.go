package platform

import (
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// Breaker is a circuit breaker. It opens after the given number of consecutive
// failures and then refuses calls for the duration of the pause. After that it allows
// a single call to probe whether the service is available again.
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

// Done records the outcome of an allowed call.
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
