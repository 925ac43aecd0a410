// Package lengths estimates the length of the answer to a request in tokens.
package lengths

import (
	"math/bits"
)

const (
	// sampleWeight is the weight of one answer in the moving average.
	sampleWeight = 0.1
	// maxAccounts is the maximum number of client accounts with estimates.
	maxAccounts = 4096
	// bucketCount is the number of estimates per account.
	bucketCount = 24
	// defaultTokens is the value of an estimate before its first answer.
	defaultTokens = 128
)

// Estimator learns the usual length of answers by client account and by the order
// of magnitude of the maximum length that the caller allows. It is not safe for
// concurrent use.
type Estimator struct {
	accounts map[string]*[bucketCount]float64
}

// NewEstimator returns an Estimator that has observed no answers.
func NewEstimator() *Estimator {
	return &Estimator{accounts: map[string]*[bucketCount]float64{}}
}

// Estimate returns the expected number of answer tokens, at most maxTokens.
func (e *Estimator) Estimate(account string, maxTokens int) int {
	estimate := float64(0)
	if buckets := e.accounts[account]; buckets != nil {
		estimate = buckets[bucket(maxTokens)]
	}
	if estimate == 0 {
		estimate = defaultTokens
	}
	return min(maxTokens, max(1, int(estimate)))
}

// Observe adds the length of a finished answer in tokens. Answers of new accounts
// are ignored once maxAccounts is reached.
func (e *Estimator) Observe(account string, maxTokens, tokens int) {
	buckets := e.accounts[account]
	if buckets == nil {
		if len(e.accounts) >= maxAccounts {
			return
		}
		buckets = &[bucketCount]float64{}
		e.accounts[account] = buckets
	}
	estimate := &buckets[bucket(maxTokens)]
	if *estimate == 0 {
		*estimate = float64(tokens)
		return
	}
	*estimate += (float64(tokens) - *estimate) * sampleWeight
}

// bucket returns the bucket of a maximum length: the number of bits of maxTokens.
// Very large values share the last bucket.
func bucket(maxTokens int) int {
	return min(bucketCount-1, bits.Len(uint(max(0, maxTokens))))
}
