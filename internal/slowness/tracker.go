// Package slowness measures how much slower targets are than expected, from times
// and token rates that this host has measured.
package slowness

import (
	"time"
)

const (
	// sampleWeight is the weight of one sample in the moving average.
	sampleWeight = 0.25
	// rateWeight is the weight of one window of a TokenRate in the moving average.
	rateWeight = 0.5
	// recoveryHalfLife is the time in which a score without new samples loses half
	// of its distance from 1.
	recoveryHalfLife = 3 * time.Second
	// maxScore limits the score of a target that does not answer at all.
	maxScore = 50
)

// Tracker tracks the slowness score of one target: the ratio of measured to
// expected time. A score of 1 means as fast as expected. The zero value is ready
// to use.
type Tracker struct {
	score    float64
	sampleAt time.Time
	probedAt time.Time
}

// Observe adds the measured and the expected time of finished work.
func (t *Tracker) Observe(now time.Time, measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(measured)/float64(expected), maxScore)
	t.score = t.Score(now)*(1-sampleWeight) + ratio*sampleWeight
	t.sampleAt = now
}

// ObserveRate adds the ratio of expected to delivered tokens in one window over
// all streams of the target. It has a higher weight than the time of one request.
func (t *Tracker) ObserveRate(now time.Time, ratio float64) {
	t.score = t.Score(now)*(1-rateWeight) + min(max(1, ratio), maxScore)*rateWeight
	t.sampleAt = now
}

// ObservePending adds the elapsed time of unfinished work as a lower bound of its
// time. It can only raise the score.
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

// Score returns the current score. Without new samples it decays to 1.
func (t *Tracker) Score(now time.Time) float64 {
	if t.sampleAt.IsZero() {
		return 1
	}
	halfLives := float64(now.Sub(t.sampleAt)) / float64(recoveryHalfLife)
	return 1 + (t.score-1)*powerOfHalf(halfLives)
}

// TryProbe reports whether a slowed target may get a probe: one request that tests
// whether the target has recovered. It allows and records one probe per interval.
func (t *Tracker) TryProbe(now time.Time, interval time.Duration) bool {
	if now.Sub(t.probedAt) < interval {
		return false
	}
	t.probedAt = now
	return true
}

// powerOfHalf returns approximately 0.5 to the power of n.
func powerOfHalf(n float64) float64 {
	result := 1.0
	for n >= 1 {
		result /= 2
		n--
		if result < 1e-6 {
			return 0
		}
	}
	// Linear interpolation between integer powers is accurate enough for a decay.
	return result * (1 - n/2)
}
