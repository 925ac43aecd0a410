package standin

import (
	"sync"
	"time"
)

// loadsAtFullSpeed is the number of loads that don't slow each other.
const loadsAtFullSpeed = 2

// WeightStore stands in for the platform's rate-limited weight store.
type WeightStore struct {
	mu      sync.Mutex
	loading int
	most    int
	done    int
}

// begin starts a load and returns how long it takes.
func (s *WeightStore) begin(alone time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	s.most = max(s.most, s.loading)
	if s.loading > loadsAtFullSpeed {
		return alone * time.Duration(s.loading) / loadsAtFullSpeed
	}
	return alone
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
	s.done++
}

func (s *WeightStore) counts() (done, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done, s.most
}
