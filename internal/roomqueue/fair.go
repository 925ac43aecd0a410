package roomqueue

import (
	"cmp"
	"slices"
)

// flow is the state of one client account in start-time fair queueing.
type flow struct {
	// finishTag is the virtual time at which what the account was given is finished.
	finishTag float64
	// waiting holds its jobs in their order.
	waiting []*Job
}

// flows shares room between client accounts by start-time fair queueing. Each priority
// has flows of its own: the tags of requests that are never compared would only make an
// account wait for what it sent with another priority. Unlike in package admission, the
// order within an account changes: its jobs with the earliest objective go first, or one
// long prompt would make all short ones of its account late.
type flows struct {
	accounts map[string]*flow
	// virtualTime is the highest start tag of the jobs that have begun.
	virtualTime float64
}

// enter adds a job to those of its account that wait.
func (f *flows) enter(j *Job) {
	if f.accounts == nil {
		f.accounts = make(map[string]*flow)
	}
	a := f.accounts[j.Account]
	if a == nil {
		a = &flow{}
		f.accounts[j.Account] = a
	}
	a.waiting = append(a.waiting, j)
	f.tag(a)
}

// tag sets the start tags of the waiting jobs of an account in their order.
func (f *flows) tag(a *flow) {
	slices.SortFunc(a.waiting, compareWithin)
	tag := max(f.virtualTime, a.finishTag)
	for _, j := range a.waiting {
		j.startTag = tag
		tag += j.share()
	}
}

// leave removes a job that waits no longer. A job that doesn't begin took no room, so that
// later ones of its account don't wait for it. Once nothing waits, all accounts begin anew:
// what they were given while there was room for all is not held against them.
func (f *flows) leave(j *Job, begins bool) {
	a := f.accounts[j.Account]
	i := slices.Index(a.waiting, j)
	a.waiting = slices.Delete(a.waiting, i, i+1)
	if begins {
		a.finishTag = max(f.virtualTime, a.finishTag) + j.share()
		f.virtualTime = max(f.virtualTime, j.startTag)
	}
	f.tag(a)
	for _, a := range f.accounts {
		if len(a.waiting) > 0 {
			return
		}
	}
	*f = flows{}
}

// compareWithin orders the jobs of one account and priority.
func compareWithin(a, b *Job) int {
	return cmp.Or(compareBool(a.late, b.late), compareBool(a.Retry, b.Retry), compareObjective(a, b))
}

// compareObjective orders jobs by their objectives, then by arrival.
func compareObjective(a, b *Job) int {
	if a.Objective.IsZero() != b.Objective.IsZero() {
		return compareBool(a.Objective.IsZero(), b.Objective.IsZero())
	}
	return cmp.Or(a.Objective.Compare(b.Objective), cmp.Compare(a.number, b.number))
}

// share returns the memory of a job by the weight of its account.
func (j *Job) share() float64 {
	weight := j.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(max(j.Tokens, 1)) / weight
}
