package gateway

import (
	"math"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

const (
	// saveTimeout is how long to wait for a store to report a part that was sent to it.
	saveTimeout = 4 * time.Second
	// hiddenHalfLife is the half-life of the space that is counted as taken because of
	// saves that were not reported. A store may have room again once it has freed parts.
	hiddenHalfLife = 10 * time.Second
)

// saves tracks the parts that this host has sent to a store until the store reports
// them. A part that is not reported found no room, or broke off and keeps its space
// without any event. Either way the store has less room than its events tell. The zero
// value is ready for use.
type saves struct {
	sent   map[prefix.Key]sentPart
	tokens int
	// hidden is the space of parts that were not reported, as of hiddenAt.
	hidden   float64
	hiddenAt time.Time
}

type sentPart struct {
	at     time.Time
	tokens int
}

// start records that a part is sent.
func (s *saves) start(now time.Time, key prefix.Key, tokens int) {
	if s.sent == nil {
		s.sent = map[prefix.Key]sentPart{}
	}
	s.reported(key)
	s.sent[key] = sentPart{at: now, tokens: roundUp(tokens)}
	s.tokens += roundUp(tokens)
}

// running reports whether a part was sent and may still be reported.
func (s *saves) running(now time.Time, key prefix.Key) bool {
	part, ok := s.sent[key]
	return ok && now.Sub(part.at) < saveTimeout
}

// reported records that the store has a part.
func (s *saves) reported(key prefix.Key) {
	s.tokens -= s.sent[key].tokens
	delete(s.sent, key)
}

// expire gives up the parts that were not reported in time, and returns their number.
func (s *saves) expire(now time.Time) (n int) {
	for key, part := range s.sent {
		if now.Sub(part.at) < saveTimeout {
			continue
		}
		s.hidden, s.hiddenAt = s.hiddenSpace(now)+float64(part.tokens), now
		s.reported(key)
		n++
	}
	return n
}

// hiddenSpace returns the space of parts that were not reported, in tokens.
func (s *saves) hiddenSpace(now time.Time) float64 {
	return s.hidden * math.Exp2(-now.Sub(s.hiddenAt).Seconds()/hiddenHalfLife.Seconds())
}
