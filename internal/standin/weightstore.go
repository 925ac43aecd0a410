package standin

import (
	"sync"
	"time"
)

// loadsAtFullSpeed is the number of concurrent loads that don't slow each other.
const loadsAtFullSpeed = 2

// WeightStore stands in for the platform's rate-limited weight store.
type WeightStore struct {
	mu         sync.Mutex
	loading    int
	maxLoading int
	done       int
}

// begin starts a load and returns its duration. unslowed is the duration of a load
// that no other load slows.
func (s *WeightStore) begin(unslowed time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	s.maxLoading = max(s.maxLoading, s.loading)
	if s.loading > loadsAtFullSpeed {
		return unslowed * time.Duration(s.loading) / loadsAtFullSpeed
	}
	return unslowed
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
	s.done++
}

func (s *WeightStore) counts() (done, maxLoading int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done, s.maxLoading
}
