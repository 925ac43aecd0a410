package roomqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Params configures a Queue.
type Params struct {
	// MemoryShare is the share of the memory of a target up to which requests are placed.
	// It is above 1 where prompts share parts, which are held once.
	MemoryShare float64
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// MinRetryAfter and MaxRetryAfter bound the time after which refused callers are asked
	// to return.
	MinRetryAfter, MaxRetryAfter time.Duration
}

const (
	// maxBacklog is the time until a target begins with a prompt from which it has no room.
	// First events are reported in batches of 100 ms, during which a target must not run
	// out of prompts.
	maxBacklog = 200 * time.Millisecond
	// learnTime is the time after which a queue knows what runs on a target that it was
	// given: requests that it doesn't know have ended. Before, nothing is refused because
	// of an estimate.
	learnTime = 4 * time.Second
	// lateMargin is by how much earlier than its objective a first event has to be expected.
	// It covers the report of the decision and the error of the estimate.
	lateMargin = 50 * time.Millisecond
	// hopelessFactor is the multiple of the time to its objective by which the expected wait
	// of a job has to exceed it before the job counts as late by an estimate alone, when it
	// decides about a refusal. With 1, prompts were refused that would have met their objective.
	hopelessFactor = 2
)

// Reason is why a request is refused.
type Reason string

// Reasons of a Decision that refuses a request.
const (
	// RefusedExpired means that the deadline has passed.
	RefusedExpired Reason = "expired"
	// RefusedDeadline means that the answer can't be complete at the deadline.
	RefusedDeadline Reason = "deadline"
	// RefusedQueueFull means that too many requests wait.
	RefusedQueueFull Reason = "queueFull"
)

// Decision is what happens to a job that waits no longer.
type Decision struct {
	Job *Job
	// Target is where the job runs now, empty if it is refused. Urgency is its urgency
	// there, from 0, the most urgent, to 9.
	Target  string
	Urgency int
	// Refused is why the job is refused, empty if it runs, and RetryAfter when the caller
	// should return.
	Refused    Reason
	RetryAfter time.Duration
	// Wait is the expected time until there would have been room for a refused job.
	Wait time.Duration
}

// Queue holds the requests that wait for room on the targets of a shard, and those that
// run there.
type Queue struct {
	params  Params
	targets []*target
	// waiting is sorted by rank.
	waiting []*Job
	flows   [priorities]flows
	demands [priorities]demand
	arrived uint64

	// holdTokens and holdSeconds are moving averages of the memory of ended requests in
	// tokens and in tokens times seconds.
	holdTokens, holdSeconds float64
	// nextReturn is when the next refused caller may return.
	nextReturn time.Time
	overflow   uint64
}

// New returns a queue without targets.
func New(params Params) *Queue {
	return &Queue{params: params}
}

// SetTargets replaces the list of targets. What runs on those that stay remains counted.
func (q *Queue) SetTargets(now time.Time, targets []Target) {
	old := q.targets
	q.targets = make([]*target, 0, len(targets))
	for _, given := range targets {
		i := slices.IndexFunc(old, func(t *target) bool { return t.ID == given.ID })
		if i < 0 {
			q.targets = append(q.targets, &target{Target: given, since: now, advancedTo: now})
			continue
		}
		old[i].advance(now)
		old[i].Target = given
		q.targets = append(q.targets, old[i])
	}
}

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of jobs that run on a target and the tokens that they hold,
// 0 if the target is unknown.
func (q *Queue) Running(id string) (requests, tokens int) {
	for _, t := range q.targets {
		if t.ID == id {
			return t.running, t.held
		}
	}
	return 0, 0
}

// Waits returns the expected waits of prompts that arrive now, for each distinct priority from
// 0 on.
func (q *Queue) Waits(now time.Time) []time.Duration {
	f := q.forecast(now)
	var waits []time.Duration
	var before backlog
	next := 0
	for level := range priorities {
		for ; next < len(q.waiting) && !q.waiting[next].late && q.waiting[next].level() <= level; next++ {
			before.add(q.waiting[next])
		}
		j := Job{Priority: level}
		waits = append(waits, f.least[j.urgencyFor(false)]+f.wait(&j, before))
	}
	return waits
}

// Load returns the expected wait of a prompt that arrives now, and the share of memory in
// use.
func (q *Queue) Load(now time.Time) (wait time.Duration, memory float64) {
	f := q.forecast(now)
	var before backlog
	for _, j := range q.waiting {
		if !j.late {
			before.add(j)
		}
	}
	last := Job{Priority: lateUrgency - 1}
	return f.least[lateUrgency-1] + f.wait(&last, before), f.memory
}

// Wait returns how long a waiting job is expected to wait from now on, 0 if it doesn't wait.
func (q *Queue) Wait(now time.Time, j *Job) time.Duration {
	var before backlog
	for _, other := range q.waiting {
		if other == j {
			return q.forecast(now).wait(j, before)
		}
		if !other.Immediate {
			before.add(other)
		}
	}
	return 0
}

// Add adds a new job to those that wait. Next decides about it.
func (q *Queue) Add(now time.Time, j *Job) {
	q.arrived++
	j.number, j.state, j.late = q.arrived, stateWaiting, false
	if j.late = q.forecast(now).late(j); !j.late && !j.Immediate {
		q.demands[j.level()].add(now, j)
	}
	q.waiting = append(q.waiting, j)
	q.flows[j.level()].enter(j)
	q.sort()
}

// shareUnit is the share of all memory in units of which fair shares are compared. Within
// it, earlier objectives go first: else each short prompt would wait for one long prompt of
// each account.
const shareUnit = 0.1

// sort sorts the waiting jobs by rank: those that can meet their objective before late
// ones, then by priority, first attempts before retries, fair shares of accounts,
// objective, and arrival.
func (q *Queue) sort() {
	total := 0
	for _, t := range q.targets {
		total += t.Memory
	}
	unit := max(shareUnit*float64(total), 1)
	slices.SortFunc(q.waiting, func(a, b *Job) int {
		return cmp.Or(
			compareBool(a.late, b.late),
			cmp.Compare(a.level(), b.level()),
			compareBool(a.Retry, b.Retry),
			cmp.Compare(math.Floor(a.startTag/unit), math.Floor(b.startTag/unit)),
			compareObjective(a, b),
		)
	})
}

// learning reports whether requests that the queue doesn't know may run on its targets,
// or targets that it doesn't know yet may exist.
func (q *Queue) learning(now time.Time) bool {
	return len(q.targets) == 0 || slices.ContainsFunc(q.targets, func(t *target) bool { return now.Sub(t.since) < learnTime })
}

// Next returns the next decision, and false if all jobs that are left go on waiting. A job
// that is placed runs on the target which choose returns: one of the given IDs, all of
// which have room, or any other text if the job can't use them and is to go on waiting. choose
// may reduce Prefill to what the target has to compute.
//
// Next is called until it returns false after each call of another method, and each 20 ms
// while jobs wait.
func (q *Queue) Next(now time.Time, choose func(j *Job, ids []string) string) (Decision, bool) {
	f := q.forecast(now)
	q.markLate(f)
	if d, ok := q.place(f, choose); ok {
		return d, true
	}
	return q.refuse(f)
}

// markLate ranks jobs whose objective can't be met any more behind those that can.
func (q *Queue) markLate(f *forecast) {
	changed := false
	for _, j := range q.waiting {
		if !j.late && f.late(j) {
			j.late, changed = true, true
			q.flows[j.level()].tag(q.flows[j.level()].accounts[j.Account])
		}
	}
	if changed {
		q.sort()
	}
}

// place begins with the first job for which there is room. Less urgent jobs behind it
// don't take the room that it waits for, see claims.
func (q *Queue) place(f *forecast, choose func(j *Job, ids []string) string) (Decision, bool) {
	var claimed claims
	open := 0
	for _, t := range q.targets {
		if !t.Closed {
			open++
		}
	}
	for at, j := range q.waiting {
		claimed.next(q, j)
		if len(claimed.targets) == open {
			return Decision{}, false
		}
		var ids []string
		heldBack := false
		for _, t := range q.targets {
			switch {
			case slices.Contains(claimed.targets, t) || !t.hasRoom(j, q.params.MemoryShare):
			case !f.keepsRoom(j, t):
				heldBack = true
			default:
				ids = append(ids, t.ID)
			}
		}
		if len(ids) > 0 {
			if id := choose(j, ids); slices.Contains(ids, id) {
				return q.start(f.now, at, id), true
			}
			continue
		}
		if j.Immediate {
			continue
		}
		if heldBack {
			// Smaller jobs behind it would use up the room that it is not given.
			return Decision{}, false
		}
		claimed.add(q)
	}
	return Decision{}, false
}

// claims are targets that are kept for jobs without room, so that smaller jobs behind them
// don't take what they wait for. Of equally urgent jobs only the first claims a target: the
// others don't fit into the room that small ones find beside it. Against less urgent jobs
// each one does.
type claims struct {
	level int
	// blocked is the number of jobs without room of this level.
	blocked int
	targets []*target
}

// next passes on to a job, which ranks behind those before.
func (c *claims) next(q *Queue, j *Job) {
	if level := j.urgencyFor(j.late); level != c.level {
		for range c.blocked - 1 {
			c.claim(q)
		}
		c.level, c.blocked = level, 0
	}
}

// add claims a target for a job without room.
func (c *claims) add(q *Queue) {
	if c.blocked++; c.blocked == 1 {
		c.claim(q)
	}
}

// claim adds the target with most free memory of those that are not claimed.
func (c *claims) claim(q *Queue) {
	var best *target
	for _, t := range q.targets {
		if t.Closed || slices.Contains(c.targets, t) {
			continue
		}
		if best == nil || t.freeMemory(q.params.MemoryShare) > best.freeMemory(q.params.MemoryShare) {
			best = t
		}
	}
	if best != nil {
		c.targets = append(c.targets, best)
	}
}

// start begins with a waiting job on a target.
func (q *Queue) start(now time.Time, at int, id string) Decision {
	j := q.waiting[at]
	t := q.targets[slices.IndexFunc(q.targets, func(t *target) bool { return t.ID == id })]
	q.remove(at, true)
	if j.Immediate && !j.late {
		q.demands[j.level()].add(now, j)
	}
	late := !j.Objective.IsZero() && now.Add(t.backlog(j.urgencyFor(false))+t.computeTime(float64(j.Prefill))).After(j.Objective)
	j.urgency = j.urgencyFor(late)
	j.state = stateComputing
	t.start(now, j)
	return Decision{Job: j, Target: id, Urgency: j.urgency}
}

// remove removes the waiting job at a position.
func (q *Queue) remove(at int, begins bool) {
	j := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.flows[j.level()].leave(j, begins)
	q.sort()
}

// refuse refuses the first job that can't be served. No job is refused because of its
// deadline while a target has room for it. The number of waiting jobs is bounded in any
// case: those at its end may wait for room that is kept for more urgent ones.
func (q *Queue) refuse(f *forecast) (Decision, bool) {
	learning := q.learning(f.now)
	var before, all backlog
	for _, j := range q.waiting {
		all.add(j)
	}
	waiting := 0
	for at, j := range q.waiting {
		wait := f.wait(j, before)
		if !j.Immediate {
			waiting++
			before.add(j)
		}
		if f.hopeless(j, wait) {
			late := *j
			late.late = true
			wait = max(wait, f.wait(&late, all))
		}
		reason := refusal(f, j, wait, learning)
		if reason == RefusedDeadline && q.anyRoom(j) {
			reason = ""
		}
		if reason == "" && waiting > q.params.MaxWaiting {
			reason = RefusedQueueFull
		}
		if reason == "" {
			continue
		}
		q.remove(at, false)
		j.state = stateEnded
		return Decision{Job: j, Refused: reason, RetryAfter: f.retryAfter(j, wait), Wait: wait}, true
	}
	return Decision{}, false
}

// refusal returns why a job can't be answered by its deadline, empty if it can.
func refusal(f *forecast, j *Job, wait time.Duration, learning bool) Reason {
	if j.Deadline.IsZero() {
		return ""
	}
	left := j.Deadline.Sub(f.now)
	if left <= 0 {
		return RefusedExpired
	}
	left -= f.soonest(j, j.urgencyFor(j.late)) + j.Answer
	if left < 0 || wait > left && !learning {
		return RefusedDeadline
	}
	return ""
}

// anyRoom reports whether a target has room for a job.
func (q *Queue) anyRoom(j *Job) bool {
	return slices.ContainsFunc(q.targets, func(t *target) bool {
		return t.hasRoom(j, q.params.MemoryShare)
	})
}

// FirstEvent records the first event of a job that runs.
func (q *Queue) FirstEvent(now time.Time, j *Job) {
	if j.state != stateComputing {
		return
	}
	j.state = stateAnswering
	j.target.stopComputing(now, j)
}

// End ends a job, whether it runs or waits, such as when its caller has disconnected.
// Further calls have no effect.
func (q *Queue) End(now time.Time, j *Job) {
	switch j.state {
	case stateWaiting:
		q.remove(slices.Index(q.waiting, j), false)
	case stateComputing:
		j.target.end(now, j)
	case stateAnswering:
		j.target.end(now, j)
		q.observeHold(now, j)
	default:
		return
	}
	j.state = stateEnded
}
