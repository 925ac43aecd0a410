// Package slowness finds targets that are slower than their peers, by the
// times this host measured itself.
package slowness

import (
	"time"
)

const (
	// sampleWeight is the weight of one new sample in the moving average.
	sampleWeight = 0.25
	// rateWeight is the weight of one window of tokens.
	rateWeight = 0.5
	// recoverHalfLife is the time in which an unconfirmed score loses half of
	// its distance from one.
	recoverHalfLife = 3 * time.Second
	// maxScore bounds the score of a target that doesn't answer at all.
	maxScore = 50
)

// Tracker holds the slowness of one target: the ratio of measured to expected
// time. One means as fast as expected. The zero value is ready to use.
type Tracker struct {
	score    float64
	sampleAt time.Time
	probedAt time.Time
}

// Observe adds a measured time for work that was expected to take a while.
func (t *Tracker) Observe(now time.Time, measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(measured)/float64(expected), maxScore)
	t.score = t.Score(now)*(1-sampleWeight) + ratio*sampleWeight
	t.sampleAt = now
}

// ObserveRate adds the ratio of expected to delivered tokens in one window over
// all streams of the target. It counts more than the time of one request.
func (t *Tracker) ObserveRate(now time.Time, ratio float64) {
	t.score = t.Score(now)*(1-rateWeight) + min(max(1, ratio), maxScore)*rateWeight
	t.sampleAt = now
}

// ObservePending adds what is known of work that isn't finished: the time is
// at least elapsed. It only raises the score.
func (t *Tracker) ObservePending(now time.Time, elapsed, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(elapsed)/float64(expected), maxScore)
	if ratio > t.Score(now) {
		t.score = ratio
		t.sampleAt = now
	}
}

// Score returns the present ratio. Without new samples it returns to one.
func (t *Tracker) Score(now time.Time) float64 {
	if t.sampleAt.IsZero() {
		return 1
	}
	halves := float64(now.Sub(t.sampleAt)) / float64(recoverHalfLife)
	return 1 + (t.score-1)*halve(halves)
}

// ProbeDue reports whether a slowed target may get one request to find out
// whether it has recovered, and counts the probe.
func (t *Tracker) ProbeDue(now time.Time, every time.Duration) bool {
	if now.Sub(t.probedAt) < every {
		return false
	}
	t.probedAt = now
	return true
}

// halve returns two to the power of minus n.
func halve(n float64) float64 {
	result := 1.0
	for n >= 1 {
		result /= 2
		n--
		if result < 1e-6 {
			return 0
		}
	}
	// Linear between whole powers is close enough for a decay.
	return result * (1 - n/2)
}
