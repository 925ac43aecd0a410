// Package lengths estimates how long the answer to a request will be.
package lengths

import (
	"math/bits"
)

const (
	sampleWeight = 0.1
	// accountsKept bounds the number of client accounts remembered.
	accountsKept = 4096
	bucketCount  = 24
	// defaultTokens is assumed before the first answer of an account.
	defaultTokens = 128
)

// Estimator learns the usual length of answers for each client account and
// size of the answer that the caller allows. It isn't safe for concurrent use.
type Estimator struct {
	accounts map[string]*[bucketCount]float64
}

// NewEstimator returns an estimator that knows nothing yet.
func NewEstimator() *Estimator {
	return &Estimator{accounts: map[string]*[bucketCount]float64{}}
}

// Estimate returns the expected number of answer tokens, at most maxTokens.
func (e *Estimator) Estimate(account string, maxTokens int) int {
	known := float64(0)
	if buckets := e.accounts[account]; buckets != nil {
		known = buckets[bucket(maxTokens)]
	}
	if known == 0 {
		known = defaultTokens
	}
	return min(maxTokens, max(1, int(known)))
}

// Observe learns from a finished answer.
func (e *Estimator) Observe(account string, maxTokens, tokens int) {
	buckets := e.accounts[account]
	if buckets == nil {
		if len(e.accounts) >= accountsKept {
			return
		}
		buckets = &[bucketCount]float64{}
		e.accounts[account] = buckets
	}
	known := &buckets[bucket(maxTokens)]
	if *known == 0 {
		*known = float64(tokens)
		return
	}
	*known += (float64(tokens) - *known) * sampleWeight
}

func bucket(maxTokens int) int {
	return min(bucketCount-1, bits.Len(uint(max(0, maxTokens))))
}
