package clock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that advances immediately instead of waiting. The zero
// value starts at the zero time.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the current time of the clock.
func (s *Fake) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Advance advances the clock by d.
func (s *Fake) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

// After advances the clock by d and returns a channel that already has the new
// time.
func (s *Fake) After(d time.Duration) <-chan time.Time {
	s.Advance(d)
	ready := make(chan time.Time, 1)
	ready <- s.Now()
	return ready
}
