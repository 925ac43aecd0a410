package shard

import "time"

const (
	// loadAge is how long a load counts as known. Loads come with every answer of an
	// owner; an older one is that of an owner that answers nobody.
	loadAge = time.Second
	// margin is by how much the second shard has to be earlier apart from the cost of
	// reading the prompt. Progress of requests is reported in batches of 100 ms, so that
	// smaller differences are not measurable.
	margin = 100 * time.Millisecond
	// fullMemory is the share of memory at which a shard is full.
	fullMemory = 1.0
)

// Load is what the owner of a shard reports about it.
type Load struct {
	// Wait is the expected time until the least loaded target begins with a prompt that
	// arrives now.
	Wait time.Duration
	// Waits are the expected waits of prompts of the priorities from 0 on, the most urgent
	// first. Prompts of other priorities wait for Wait.
	Waits []time.Duration
	// Memory is the share of the memory of running requests in use. It exceeds 1 while
	// targets have been given more than they can hold.
	Memory float64
	// Unstored is the share of the shared tokens of prompts placed lately that no store
	// holds, so that another shard has to compute them. 0 means unknown.
	Unstored float64
}

// waitOf returns the expected wait of a prompt of a priority.
func (l *Load) waitOf(priority int) time.Duration {
	if priority >= 0 && priority < len(l.Waits) {
		return l.Waits[priority]
	}
	return l.Wait
}

// Loads holds the latest load of each shard and decides between two shards. The zero
// value holds none. It is not safe for concurrent use.
type Loads struct {
	reports map[string]report
}

type report struct {
	load Load
	at   time.Time
}

// Record stores the load that the owner of a shard reported at a time. A load that is
// older than the stored one is ignored.
func (l *Loads) Record(now time.Time, name string, load Load) {
	if l.reports == nil {
		l.reports = make(map[string]report)
	}
	if old, ok := l.reports[name]; ok && now.Before(old.at) {
		return
	}
	l.reports[name] = report{load: load, at: now}
}

// Choose returns which of two shards of Map.Pick is to serve a request of a priority: the second if the
// first is expected to begin later by more than reread, the time that it takes to read the
// prompt anew, plus a margin, or if only the first has no memory left. It returns the
// first if there is no second or if either load is unknown.
func (l *Loads) Choose(now time.Time, first, second string, priority int, reread time.Duration) string {
	if second == "" {
		return first
	}
	a, ok := l.known(now, first)
	if !ok {
		return first
	}
	b, ok := l.known(now, second)
	if !ok {
		return first
	}
	aFull, bFull := a.Memory >= fullMemory, b.Memory >= fullMemory
	if aFull != bFull {
		if aFull {
			return second
		}
		return first
	}
	if a.waitOf(priority)-b.waitOf(priority) > reread+margin {
		return second
	}
	return first
}

// AskSecond reports whether the owner of the second shard is to be asked to place a request that waits
// at the first, whose owner expects it to wait for the given time: if Choose prefers the second, or if
// its load is unknown and the request would wait for at least as long as reading the prompt anew takes.
// known is false in the latter case. As the answer states the load, callers ask no more than once for a
// request without knowing it.
func (l *Loads) AskSecond(now time.Time, first, second string, priority int, wait, reread time.Duration) (ask, known bool) {
	if _, known = l.known(now, second); known || second == "" {
		return l.Choose(now, first, second, priority, reread) != first, known
	}
	if a, ok := l.known(now, first); ok {
		// Owners of earlier builds state only the load, which leaves out requests that are late.
		wait = max(wait, a.waitOf(priority))
	}
	return wait >= reread, false
}

// unknownUnstored is the share of shared tokens that are taken not to be stored while no
// owner states it.
const unknownUnstored = 0.5

// Unstored returns the share of the shared tokens of prompts that have to be computed if a
// shard serves them in place of the given one.
func (l *Loads) Unstored(now time.Time, name string) float64 {
	if load, ok := l.known(now, name); ok && load.Unstored > 0 {
		return min(load.Unstored, 1)
	}
	return unknownUnstored
}

// known returns the load of a shard if it is at most loadAge old.
func (l *Loads) known(now time.Time, name string) (Load, bool) {
	r, ok := l.reports[name]
	if !ok || now.Sub(r.at) > loadAge {
		return Load{}, false
	}
	return r.load, true
}

// Retain removes the loads of all shards that keep doesn't report. Names change with the
// number of shards, so that loads of earlier shards would accumulate.
func (l *Loads) Retain(keep func(name string) bool) {
	for name := range l.reports {
		if !keep(name) {
			delete(l.reports, name)
		}
	}
}
