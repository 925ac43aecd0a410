// Package admission queues requests before placement. It has a bounded queue for
// each client account, shares capacity by weighted fair queueing of the estimated
// work, and refuses requests early, such as those that would probably miss their
// deadline. It does no I/O, reads no clock and starts no goroutine. The caller
// serializes access.
package admission

import (
	"time"
)

// Params configures a Queue.
type Params struct {
	// QueuePerAccount is the maximum number of waiting requests of one client
	// account.
	QueuePerAccount int
	// ReservePercent is the percentage of the capacity that is reserved for
	// accounts within their fair share.
	ReservePercent float64
	// LongPercent is the maximum percentage of the capacity for long requests. At
	// least one long request may run at a time.
	LongPercent float64
}

// maxWaitShare is the maximum expected wait of a job, as a share of the time to
// its deadline. The rest is a margin for the error of the estimate.
const maxWaitShare = 0.5

// Job is a request that waits for admission or runs.
type Job struct {
	Account string
	// Work is the estimated work in tokens.
	Work float64
	Long bool
	// Deadline is the latest time at which the request may start.
	Deadline time.Time

	// finishTag is the virtual finish time of weighted fair queueing.
	finishTag float64
	// index is the position in the waiting jobs of the account. It is valid only
	// between firstAllowed and admit.
	index    int
	entered  time.Time
	admitted bool
	inShare  bool
}

// InShare reports whether the client account was within its fair share when
// the job was admitted.
func (j *Job) InShare() bool { return j.inShare }

// RefusalReason is why a request was refused before it ran.
type RefusalReason string

// Reasons of a Refusal.
const (
	RefusedQueueFull RefusalReason = "queueFull"
	RefusedDeadline  RefusalReason = "deadline"
	RefusedRate      RefusalReason = "rateLimit"
	// RefusedInFlight is not used by Queue, in which jobs above the limit wait.
	RefusedInFlight RefusalReason = "inFlightLimit"
)

// Refusal reports that a request did not run and when it may be retried.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Error returns the reason of the refusal.
func (r *Refusal) Error() string { return "refused: " + string(r.Reason) }

// account is the state of one client account.
type account struct {
	weight float64
	limits Limits
	// lastFinishTag is the finish tag of the last enqueued job, corrected for the
	// actual work of ended jobs and for jobs that were removed before they ran.
	lastFinishTag float64
	waiting       []*Job
	running       int
	// work is the estimated work of the running jobs in tokens.
	work float64
	// spent is the level of the leaky bucket of the rate limit at spentAt, in tokens.
	spent   float64
	spentAt time.Time
	// demand is the measured demand at demandAt, in tokens per second.
	demand   float64
	demandAt time.Time
}

// Limits holds the share of the limits of an account that this host may use.
// Zero means no limit.
type Limits struct {
	TokensPerSecond float64
	// InFlight is the maximum number of running jobs. Waiting jobs do not count.
	InFlight int
}

// Queue admits jobs in the order of weighted fair queueing.
type Queue struct {
	params      Params
	capacity    int
	accounts    map[string]*account
	virtualTime float64
	running     int
	runningLong int
	waiting     int
	rate        admissionRate
}

// NewQueue returns an empty queue without capacity.
func NewQueue(params Params) *Queue {
	return &Queue{params: params, accounts: map[string]*account{}}
}

// SetCapacity sets the maximum number of running jobs.
func (q *Queue) SetCapacity(n int) { q.capacity = n }

// Capacity returns the maximum number of running jobs.
func (q *Queue) Capacity() int { return q.capacity }

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of admitted jobs that have not ended.
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

// Enqueue adds a job to the queue of its account, or refuses it immediately.
func (q *Queue) Enqueue(now time.Time, job *Job) *Refusal {
	a := q.account(job.Account)
	a.addDemand(now, job.Work)
	if len(a.waiting) >= q.params.QueuePerAccount {
		return &Refusal{Reason: RefusedQueueFull, RetryAfter: q.expectedWait(now, a)}
	}
	if wait := a.rateWait(now, job.Work); wait > 0 && now.Add(wait).After(job.Deadline) {
		return &Refusal{Reason: RefusedRate, RetryAfter: wait}
	}
	if q.running >= q.capacity {
		wait := q.expectedWait(now, a)
		if wait.Seconds() > maxWaitShare*job.Deadline.Sub(now).Seconds() {
			return &Refusal{Reason: RefusedDeadline, RetryAfter: wait}
		}
	}
	job.finishTag = max(q.virtualTime, a.lastFinishTag) + job.Work/a.weight
	job.entered = now
	a.lastFinishTag = job.finishTag
	a.waiting = append(a.waiting, job)
	q.waiting++
	return nil
}

// Next admits the next job that may run now. It returns nil if there is none.
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
	if a.finishTag != b.finishTag {
		return a.finishTag < b.finishTag
	}
	return a.Account < b.Account
}

// firstAllowed returns the first waiting job that the limits of the account and
// the limit of long jobs allow now, or nil, and sets its index.
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
	return q.runningLong >= max(1, int(float64(q.capacity)*q.params.LongPercent/100))
}

func (q *Queue) admit(now time.Time, a *account, job *Job) {
	a.remove(job.index)
	q.waiting--
	q.running++
	a.running++
	a.work += job.Work
	a.spend(now, job.Work)
	if job.Long {
		q.runningLong++
	}
	job.admitted = true
	job.inShare = q.withinShare(a, 0)
	q.virtualTime = max(q.virtualTime, job.finishTag-job.Work/a.weight)
	q.rate.record(now)
}

// inReserve reports whether only the reserved part of the capacity is free.
func (q *Queue) inReserve() bool {
	return float64(q.running) >= float64(q.capacity)*(1-q.params.ReservePercent/100)
}

// withinShare reports whether an account would be within its fair share if it had
// extra more running jobs. The fair shares divide the capacity by weight among the
// accounts that have running or waiting jobs.
func (q *Queue) withinShare(a *account, extra int) bool {
	total := 0.0
	for _, other := range q.accounts {
		if other.running > 0 || len(other.waiting) > 0 {
			total += other.weight
		}
	}
	return float64(a.running+extra) <= float64(q.capacity)*a.weight/total
}

// Done ends an admitted job. Its actual work in tokens replaces the estimate in
// the fair queueing of later jobs of the account.
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
		q.runningLong--
	}
	a.lastFinishTag += (actualWork - job.Work) / a.weight
}

// MarkLong records that a running job turned out to be long.
func (q *Queue) MarkLong(job *Job) {
	if job.admitted && !job.Long {
		job.Long = true
		q.runningLong++
	}
}

// Remove removes a waiting job from the queue. It returns false if the job is no
// longer waiting.
func (q *Queue) Remove(job *Job) bool {
	a := q.account(job.Account)
	for i, waiting := range a.waiting {
		if waiting == job {
			a.remove(i)
			q.waiting--
			a.lastFinishTag = max(q.virtualTime, a.lastFinishTag-job.Work/a.weight)
			return true
		}
	}
	return false
}

// RemoveExpired removes and returns the jobs whose deadline has passed.
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
			a.lastFinishTag = max(q.virtualTime, a.lastFinishTag-job.Work/a.weight)
			expired = append(expired, job)
		}
	}
	return expired
}

// expectedWait estimates how long a new job of an account would wait, from the
// share of the account in the admission rate. It returns 0 if the rate is unknown.
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
