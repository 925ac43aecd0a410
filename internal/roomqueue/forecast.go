package roomqueue

import (
	"math"
	"time"
)

// rateTime is the time constant of measured rates. Bursts last some seconds.
const rateTime = time.Second

// rate is an exponentially weighted rate per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.perSecond(now) + amount/rateTime.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// demand is the measured arrival of requests of one priority that can meet their objective.
type demand struct {
	requests, tokens, prefill rate
}

func (d *demand) add(now time.Time, j *Job) {
	d.requests.add(now, 1)
	d.tokens.add(now, float64(j.Tokens))
	d.prefill.add(now, float64(j.Prefill))
}

// observeHold adds the time for which a job has held its memory to the mean, weighted
// with its memory.
func (q *Queue) observeHold(now time.Time, j *Job) {
	const weight = 0.05
	hold := now.Sub(j.placedAt).Seconds()
	if hold <= 0 {
		return
	}
	q.holdTokens += weight * (float64(j.reserved) - q.holdTokens)
	q.holdSeconds += weight * (float64(j.reserved)*hold - q.holdSeconds)
}

// holdTime returns the mean time for which memory is held.
func (q *Queue) holdTime() float64 {
	if q.holdTokens == 0 {
		return defaultHold.Seconds()
	}
	return q.holdSeconds / q.holdTokens
}

// backlog is work that goes before a job.
type backlog struct {
	tokens, prefill float64
}

func (b *backlog) add(j *Job) {
	b.tokens += float64(j.Tokens)
	b.prefill += float64(j.Prefill)
}

// forecast is the state of all open targets at one time, from which waits are estimated.
type forecast struct {
	q   *Queue
	now time.Time
	// free is the free memory in tokens, freeSlots the number of free slots, total the memory,
	// and memory the share of it in use.
	free, freeSlots, total, memory float64
	// released is the memory that ends of requests release per second: what they hold by
	// the mean time for which they hold it.
	released float64
	// rate is the number of prompt tokens that all targets compute per second, and fastest
	// that of the fastest one.
	rate, fastest float64
	// queued is the number of prompt tokens that all targets compute before a prompt, and
	// least the shortest time until one of them begins with it, by its urgency.
	queued [leastUrgent + 1]float64
	least  [leastUrgent + 1]time.Duration
	// urgent is the demand of the priorities below each level, per second.
	urgent [latePriority + 1]perSecond
}

// perSecond is a demand.
type perSecond struct {
	requests, tokens, prefill float64
}

func (q *Queue) forecast(now time.Time) *forecast {
	f := &forecast{q: q, now: now}
	held, isFirst := 0.0, true
	for _, t := range q.targets {
		t.advance(now)
		if t.Closed {
			continue
		}
		held += float64(t.held + t.OtherTokens)
		f.free += float64(max(t.freeMemory(q.params.MemoryShare), 0))
		f.freeSlots += float64(max(t.Slots-t.running-t.OtherRequests, 0))
		f.total += float64(t.Memory)
		f.rate += t.Rate
		f.fastest = max(f.fastest, t.Rate)
		f.addBacklogs(t, isFirst)
		isFirst = false
	}
	if f.total > 0 {
		f.memory = held / f.total
	}
	f.released = held / max(q.holdTime(), minHold.Seconds())
	for level := range priorities {
		d := &q.demands[level]
		f.urgent[level+1] = f.urgent[level]
		f.urgent[level+1].requests += d.requests.perSecond(now)
		f.urgent[level+1].tokens += d.tokens.perSecond(now)
		f.urgent[level+1].prefill += d.prefill.perSecond(now)
	}
	return f
}

func (f *forecast) addBacklogs(t *target, isFirst bool) {
	tokens, i := 0.0, 0
	for urgency := range f.queued {
		for ; i < len(t.computing) && t.computing[i].urgency <= urgency; i++ {
			tokens += t.computing[i].remaining
		}
		f.queued[urgency] += tokens
		if wait := t.computeTime(tokens); isFirst || wait < f.least[urgency] {
			f.least[urgency] = wait
		}
	}
}

// soonest returns the time to the first event of a job that would begin now on the best
// target.
func (f *forecast) soonest(j *Job, urgency int) time.Duration {
	if f.fastest <= 0 {
		return f.least[urgency]
	}
	return f.least[urgency] + time.Duration(float64(j.Prefill)/f.fastest*float64(time.Second))
}

// late reports whether the first event of a job can't come within its objective.
func (f *forecast) late(j *Job) bool {
	return !j.Objective.IsZero() && f.now.Add(f.soonest(j, j.urgencyFor(false))+lateMargin).After(j.Objective)
}

// hopeless reports whether a job is expected to miss its objective by far. wait is until
// there is room for it.
func (f *forecast) hopeless(j *Job, wait time.Duration) bool {
	if j.late || j.Objective.IsZero() {
		return false
	}
	left := j.Objective.Sub(f.now) - f.soonest(j, j.urgencyFor(false))
	return wait.Seconds() > hopelessFactor*left.Seconds()
}

// wait estimates the time until there is room for a job with the given work before it,
// while requests that are more urgent go on arriving as they do now.
func (f *forecast) wait(j *Job, before backlog) time.Duration {
	urgent := &f.urgent[j.limitLevel()]
	wait := 0.0
	if missing := before.tokens + float64(j.Tokens) - f.free; missing > 0 {
		wait = missing / max(f.released-urgent.tokens, minReleasedShare*f.released, 1)
	}
	if f.rate > 0 {
		queued := before.prefill + f.queued[j.urgencyFor(j.late)]
		// What a target may have before it is no wait, as other prompts have less.
		queued -= maxBacklog.Seconds() * f.rate
		wait = max(wait, queued/max(f.rate-urgent.prefill, minReleasedShare*f.rate))
	}
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// keepsRoom reports whether enough room for more urgent requests is left if a job begins
// on a target: for those that are expected until running ones have released room, and on
// one target for one of their mean size. Nothing is kept of an idle target.
func (f *forecast) keepsRoom(j *Job, t *target) bool {
	if t.idle() {
		return true
	}
	urgent := &f.urgent[j.limitLevel()]
	expected := urgent.requests * reserveTime.Seconds()
	if expected < minReserved {
		return true
	}
	if f.freeSlots-1 < expected {
		return false
	}
	if f.free-float64(j.Tokens) < min(urgent.tokens*reserveTime.Seconds(), maxReservedShare*f.total) {
		return false
	}
	size := int(urgent.tokens / urgent.requests)
	for _, other := range f.q.targets {
		if other.Closed {
			continue
		}
		free := other.freeMemory(f.q.params.MemoryShare)
		if other == t {
			free -= j.Tokens
		}
		if free >= size {
			return true
		}
	}
	return false
}

const (
	// reserveTime is the time for whose urgent requests room is kept. Ends of requests
	// are reported in batches of 100 ms.
	reserveTime = 100 * time.Millisecond
	// minReserved is the number of urgent requests in this time from which room is kept.
	minReserved = 0.1
	// maxReservedShare bounds the room that is kept, as a share of all memory.
	maxReservedShare = 0.25
)

const (
	// defaultHold is assumed until the first requests have ended.
	defaultHold = 2 * time.Second
	// minHold bounds the release rate when only very short requests have ended.
	minHold = 50 * time.Millisecond
	// minReleasedShare is the share of released room that is expected to be left by
	// more urgent requests. A measured rate of a second may exceed all room.
	minReleasedShare = 0.1
	// maxWait bounds an expected wait.
	maxWait = time.Minute
)

// retryAfter returns when a refused caller should return. Returns are spread over the
// time after which room is expected, by the size of the refused requests: each further
// refusal names a time that is later by as long as its room takes to be released.
func (f *forecast) retryAfter(j *Job, wait time.Duration) time.Duration {
	q := f.q
	turn := 0.0
	if f.released > 0 {
		turn = float64(j.Tokens) / f.released
	}
	if f.rate > 0 {
		turn = max(turn, float64(j.Prefill)/f.rate)
	}
	at := f.now.Add(max(wait, q.params.MinRetryAfter))
	if at.Before(q.nextReturn) {
		at = q.nextReturn
	}
	if at.After(f.now.Add(q.params.MaxRetryAfter)) {
		// No turn is left within the bound. These returns are spread over the second half
		// of the time, so that they don't meet at its end.
		q.overflow++
		const parts = 16
		return q.params.MaxRetryAfter - q.params.MaxRetryAfter*time.Duration(q.overflow%parts)/(2*parts)
	}
	q.nextReturn = at.Add(time.Duration(turn * float64(time.Second)))
	return at.Sub(f.now)
}
