package clock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that jumps ahead instead of waiting. The zero
// value starts at the zero time.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the time to which the clock has jumped.
func (s *Fake) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Advance jumps ahead.
func (s *Fake) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

// After jumps ahead and returns a channel that is ready.
func (s *Fake) After(d time.Duration) <-chan time.Time {
	s.Advance(d)
	ready := make(chan time.Time, 1)
	ready <- s.Now()
	return ready
}
