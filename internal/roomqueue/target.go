package roomqueue

import (
	"cmp"
	"slices"
	"time"
)

// Target is an engine of the shard as its owner knows it.
type Target struct {
	ID string
	// Slots is the number of requests that run at once.
	Slots int
	// Memory is the memory for running requests in tokens, 0 for no limit.
	Memory int
	// Rate is the number of prompt tokens that the target computes per second now. A
	// target that has become slower has a lower rate.
	Rate float64
	// OtherRequests and OtherTokens are what runs on the target without having been
	// placed by this queue, as far as it is known.
	OtherRequests int
	OtherTokens   int
	// Closed is set while the target takes no new requests, such as during a swap of its
	// weights. What runs there stays counted.
	Closed bool
}

// target is the state of a target.
type target struct {
	Target
	// since is when the queue got the target.
	since   time.Time
	running int
	held    int
	// computing holds the jobs without a first event, the most urgent first.
	computing []*Job
	// advancedTo is the time up to which the computing of prompts is accounted for.
	advancedTo time.Time
}

// advance subtracts what the target has computed since the last call from the prompts
// that it computes, the most urgent first.
func (t *target) advance(now time.Time) {
	elapsed := now.Sub(t.advancedTo)
	if elapsed <= 0 {
		return
	}
	t.advancedTo = now
	budget := t.Rate * elapsed.Seconds()
	for _, j := range t.computing {
		done := min(budget, j.remaining)
		budget -= done
		j.remaining -= done
	}
}

// start adds a job to the target.
func (t *target) start(now time.Time, j *Job) {
	t.advance(now)
	t.running++
	t.held += j.Tokens
	j.target, j.reserved, j.remaining, j.placedAt = t, j.Tokens, float64(j.Prefill), now
	at, _ := slices.BinarySearchFunc(t.computing, j, func(a, b *Job) int {
		// Equally urgent prompts are computed in the order in which they were placed.
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), -1)
	})
	t.computing = slices.Insert(t.computing, at, j)
}

// stopComputing removes a job from the prompts that the target computes.
func (t *target) stopComputing(now time.Time, j *Job) {
	t.advance(now)
	if i := slices.Index(t.computing, j); i >= 0 {
		t.computing = slices.Delete(t.computing, i, i+1)
	}
}

// end removes a job that runs.
func (t *target) end(now time.Time, j *Job) {
	t.stopComputing(now, j)
	t.running--
	t.held -= j.reserved
}

// backlog returns the time until the target begins with a prompt of an urgency.
func (t *target) backlog(urgency int) time.Duration {
	tokens := 0.0
	for _, j := range t.computing {
		if j.urgency > urgency {
			break
		}
		tokens += j.remaining
	}
	return t.computeTime(tokens)
}

// computeTime returns the time in which the target computes a number of prompt tokens.
func (t *target) computeTime(tokens float64) time.Duration {
	if t.Rate <= 0 {
		return 0
	}
	return time.Duration(tokens / t.Rate * float64(time.Second))
}

// freeMemory returns the free memory in tokens up to a share of it.
func (t *target) freeMemory(share float64) int {
	if t.Memory == 0 {
		return unlimited
	}
	return int(share*float64(t.Memory)) - t.held - t.OtherTokens
}

// unlimited is the free memory of a target without a limit. Sums of it don't overflow.
const unlimited = 1 << 40

// idle reports whether nothing is known to run on the target.
func (t *target) idle() bool { return t.running+t.OtherRequests == 0 }

// hasRoom reports whether the target has a slot and memory for a job and begins with its
// prompt soon.
func (t *target) hasRoom(j *Job, share float64) bool {
	switch {
	case t.Closed:
		return false
	case t.idle():
		return true
	case t.running+t.OtherRequests >= t.Slots || t.freeMemory(share) < j.Tokens:
		return false
	default:
		return t.backlog(j.urgencyFor(j.late)) < maxBacklog
	}
}
