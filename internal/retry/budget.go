// Package retry limits the extra work caused by retries and hedges, computes
// backoff delays, and detects requests that crash the targets they run on.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget limits extra attempts to a share of the requests. It starts with a full
// reserve so that the first failures can be retried. It is not safe for
// concurrent use.
type Budget struct {
	// Percent is the number of extra attempts per 100 requests.
	Percent float64
	// Reserve is the maximum number of unused attempts that can accumulate.
	Reserve float64

	balance     float64
	initialized bool
}

// Earn adds the share of one request to the budget.
func (b *Budget) Earn() {
	b.initialize()
	b.balance = min(b.Reserve, b.balance+b.Percent/100)
}

// Spend uses one extra attempt. It returns false if the budget is exhausted.
func (b *Budget) Spend() bool {
	b.initialize()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Return gives back an extra attempt that was not made.
func (b *Budget) Return() {
	b.balance = min(b.Reserve, b.balance+1)
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.balance = b.Reserve
	}
}

// Backoff computes the delays of retries: exponential with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns a random delay before the retry that follows the given attempt,
// which is counted from 1. The delay is between 0 and Base after the first attempt.
// The upper limit doubles with each attempt and is at most Max.
func (b Backoff) Delay(rng *rand.Rand, attempt int) time.Duration {
	limit := b.Base
	for range attempt - 1 {
		limit = min(b.Max, 2*limit)
	}
	return time.Duration(rng.Int64N(int64(limit) + 1))
}
