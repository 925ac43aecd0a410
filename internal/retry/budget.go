// Package retry bounds the extra work that retries and hedges cause, spaces
// retries out, and finds requests that crash the targets they run on.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget allows extra attempts up to a share of the requests. It starts with a
// small reserve so that the first failure can be retried. It isn't safe for
// concurrent use.
type Budget struct {
	// Percent is the number of extra attempts per hundred requests.
	Percent float64
	// Reserve is the most attempts that can be saved up.
	Reserve float64

	saved   float64
	started bool
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.start()
	b.saved = min(b.Reserve, b.saved+b.Percent/100)
}

// Spend takes one extra attempt, or returns false when the budget is spent.
func (b *Budget) Spend() bool {
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.saved = b.Reserve
	}
}

// Backoff spaces retries with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns a random time up to Base doubled for each former attempt.
func (b Backoff) Delay(rng *rand.Rand, attempt int) time.Duration {
	limit := b.Base
	for range attempt - 1 {
		limit = min(b.Max, 2*limit)
	}
	return time.Duration(rng.Int64N(int64(limit) + 1))
}
