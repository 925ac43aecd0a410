// Package admission holds requests before placement: bounded queues for each
// client account, fair sharing in estimated work, and early refusal. It does
// no I/O, reads no clock and starts no goroutine; its caller serializes access.
package admission

import (
	"time"
)

// Params are the settings of a Queue.
type Params struct {
	// QueuePerAccount bounds the waiting requests of one client account.
	QueuePerAccount int
	// ReservePercent is the share of the capacity that only accounts within
	// their fair share may use.
	ReservePercent float64
	// LongPercent is the share of the capacity that long requests may hold.
	LongPercent float64
}

// patience is the part of the time to its deadline that a job may be expected
// to wait. The rest is for the error of the estimate.
const patience = 0.5

// Job is one request that waits for admission or runs.
type Job struct {
	Account string
	// Work is the estimated work in tokens.
	Work float64
	Long bool
	// Deadline is the latest time at which the request may start.
	Deadline time.Time

	tag      float64
	index    int
	entered  time.Time
	admitted bool
	priority bool
}

// InShare reports whether the client account was within its fair share when
// the job was admitted.
func (j *Job) InShare() bool { return j.priority }

// RefusalReason tells why a request was refused before it ran.
type RefusalReason string

// The reasons of refusals.
const (
	RefusedQueueFull RefusalReason = "queueFull"
	RefusedDeadline  RefusalReason = "deadline"
	RefusedRate      RefusalReason = "rateLimit"
	RefusedInFlight  RefusalReason = "inFlightLimit"
)

// Refusal says that a request did not run and when to come back.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string { return "refused: " + string(r.Reason) }

// account is the state of one client account.
type account struct {
	weight   float64
	limits   Limits
	lastTag  float64
	waiting  []*Job
	running  int
	work     float64
	spent    float64
	spentAt  time.Time
	demand   float64
	demandAt time.Time
}

// Limits are the share of an account's limits that this host may use. Zero
// means no limit.
type Limits struct {
	TokensPerSecond float64
	InFlight        int
}

// Queue admits jobs in the order of weighted fair sharing.
type Queue struct {
	params   Params
	capacity int
	accounts map[string]*account
	virtual  float64
	running  int
	long     int
	waiting  int
	rate     drainRate
}

// NewQueue returns an empty queue without capacity.
func NewQueue(params Params) *Queue {
	return &Queue{params: params, accounts: map[string]*account{}}
}

// SetCapacity sets how many jobs may run at the same time.
func (q *Queue) SetCapacity(n int) { q.capacity = n }

// Capacity returns how many jobs may run at the same time.
func (q *Queue) Capacity() int { return q.capacity }

// Waiting returns the number of jobs that wait.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of admitted jobs that haven't ended.
func (q *Queue) Running() int { return q.running }

// SetAccount sets the weight and the limits of an account on this host.
func (q *Queue) SetAccount(name string, weight float64, limits Limits) {
	a := q.account(name)
	a.weight = weight
	a.limits = limits
}

func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{weight: 1}
		q.accounts[name] = a
	}
	return a
}

// Enqueue puts a job into its account's queue, or refuses it at once.
func (q *Queue) Enqueue(now time.Time, job *Job) *Refusal {
	a := q.account(job.Account)
	a.noteDemand(now, job.Work)
	if len(a.waiting) >= q.params.QueuePerAccount {
		return &Refusal{Reason: RefusedQueueFull, RetryAfter: q.expectedWait(now, a)}
	}
	if wait := a.rateWait(now, job.Work); wait > 0 && now.Add(wait).After(job.Deadline) {
		return &Refusal{Reason: RefusedRate, RetryAfter: wait}
	}
	if q.running >= q.capacity {
		wait := q.expectedWait(now, a)
		if wait.Seconds() > patience*job.Deadline.Sub(now).Seconds() {
			return &Refusal{Reason: RefusedDeadline, RetryAfter: wait}
		}
	}
	job.tag = max(q.virtual, a.lastTag) + job.Work/a.weight
	job.entered = now
	a.lastTag = job.tag
	a.waiting = append(a.waiting, job)
	q.waiting++
	return nil
}

// Next admits the next job that may run now. It returns nil when none may.
func (q *Queue) Next(now time.Time) *Job {
	if q.running >= q.capacity {
		return nil
	}
	var best *account
	var bestJob *Job
	for _, a := range q.accounts {
		if q.inReserve() && !q.withinShare(a, 1) {
			continue
		}
		job := q.firstAllowed(now, a)
		if job != nil && (bestJob == nil || before(job, bestJob)) {
			best, bestJob = a, job
		}
	}
	if bestJob == nil {
		return nil
	}
	q.admit(now, best, bestJob)
	return bestJob
}

func before(a, b *Job) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.Account < b.Account
}

// firstAllowed returns the first job of an account that its limits and the
// cap on long work allow now.
func (q *Queue) firstAllowed(now time.Time, a *account) *Job {
	if len(a.waiting) == 0 || (a.limits.InFlight > 0 && a.running >= a.limits.InFlight) {
		return nil
	}
	for i, job := range a.waiting {
		if job.Long && q.longFull() {
			continue
		}
		if a.rateWait(now, job.Work) > 0 {
			return nil
		}
		job.index = i
		return job
	}
	return nil
}

func (q *Queue) longFull() bool {
	return q.long >= max(1, int(float64(q.capacity)*q.params.LongPercent/100))
}

func (q *Queue) admit(now time.Time, a *account, job *Job) {
	a.remove(job.index)
	q.waiting--
	q.running++
	a.running++
	a.work += job.Work
	a.spend(now, job.Work)
	if job.Long {
		q.long++
	}
	job.admitted = true
	job.priority = q.withinShare(a, 0)
	q.virtual = max(q.virtual, job.tag-job.Work/a.weight)
	q.rate.note(now)
}

// inReserve reports whether only the reserved part of the capacity is free.
func (q *Queue) inReserve() bool {
	return float64(q.running) >= float64(q.capacity)*(1-q.params.ReservePercent/100)
}

// withinShare reports whether an account with further more jobs holds no more
// than its weight's part of the capacity among the accounts that have work.
func (q *Queue) withinShare(a *account, further int) bool {
	total := 0.0
	for _, other := range q.accounts {
		if other.running > 0 || len(other.waiting) > 0 {
			total += other.weight
		}
	}
	return float64(a.running+further) <= float64(q.capacity)*a.weight/total
}

// Done ends an admitted job. The actual work corrects the account's share.
func (q *Queue) Done(job *Job, actualWork float64) {
	if !job.admitted {
		return
	}
	job.admitted = false
	a := q.account(job.Account)
	q.running--
	a.running--
	a.work -= job.Work
	if job.Long {
		q.long--
	}
	a.lastTag += (actualWork - job.Work) / a.weight
}

// MarkLong notes that a running job turned out to be long.
func (q *Queue) MarkLong(job *Job) {
	if job.admitted && !job.Long {
		job.Long = true
		q.long++
	}
}

// Remove takes a waiting job out of the queue. It returns false when the job
// is no longer waiting.
func (q *Queue) Remove(job *Job) bool {
	a := q.account(job.Account)
	for i, waiting := range a.waiting {
		if waiting == job {
			a.remove(i)
			q.waiting--
			a.lastTag = max(q.virtual, a.lastTag-job.Work/a.weight)
			return true
		}
	}
	return false
}

// RemoveExpired withdraws and returns the jobs whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []*Job {
	var expired []*Job
	for _, a := range q.accounts {
		for i := 0; i < len(a.waiting); {
			job := a.waiting[i]
			if !now.After(job.Deadline) {
				i++
				continue
			}
			a.remove(i)
			q.waiting--
			expired = append(expired, job)
		}
	}
	return expired
}

// expectedWait estimates how long a new job of an account would wait, from
// the account's share of the rate at which jobs are admitted.
func (q *Queue) expectedWait(now time.Time, a *account) time.Duration {
	perSecond := q.rate.perSecond(now)
	if perSecond == 0 {
		return 0
	}
	total := a.weight
	for _, other := range q.accounts {
		if other != a && len(other.waiting) > 0 {
			total += other.weight
		}
	}
	share := perSecond * a.weight / total
	return time.Duration(float64(len(a.waiting)+1) / share * float64(time.Second))
}

func (a *account) remove(i int) {
	copy(a.waiting[i:], a.waiting[i+1:])
	a.waiting[len(a.waiting)-1] = nil
	a.waiting = a.waiting[:len(a.waiting)-1]
}
