package placement_test

import (
	"container/heap"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// The fake is a virtual clock with engines and links that take the time which
// the deployments of the brief would take. It knows no network and no process.

const (
	fakePieceTokens   = 2048
	fakeBytesPerToken = 128 << 10
	fakeGapTokens     = 2
)

// fakeClock runs events in the order of their times.
type fakeClock struct {
	now    time.Time
	events eventHeap
	count  int
}

type fakeEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []fakeEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(fakeEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (c *fakeClock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, fakeEvent{at: c.now.Add(d), seq: c.count, run: run})
}

func (c *fakeClock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		event := heap.Pop(&c.events).(fakeEvent)
		c.now = event.at
		event.run()
	}
	c.now = end
}

// fakeRun is one attempt on one engine.
type fakeRun struct {
	chain    []prefix.Key
	prompt   int
	answer   int
	priority int
	// importPieces is the prefix to import over link before the prefill.
	importPieces int
	link         *fakeLink
	first        func()
	gap          func()
	done         func()

	cancelled  bool
	imported   bool
	slotted    bool
	remaining  int
	recomputed int
	delivered  int
}

// fakeEngine batches requests in slots and computes prompts one after the
// other, in pieces, by priority.
type fakeEngine struct {
	clock     *fakeClock
	slots     int
	rate      float64
	gap       time.Duration
	cacheSize int
	slow      float64
	// memory is the room in tokens for requests that run, 0 for no bound.
	memory int

	held      int
	running   int
	waiting   []*fakeRun
	prefills  []*fakeRun
	computing bool
	cache     map[prefix.Key]int
	uses      int
	added     func(prefix.Key)
	removed   func(prefix.Key)
}

func (e *fakeEngine) load() int { return e.running + len(e.waiting) }

func (e *fakeEngine) submit(r *fakeRun) {
	r.imported = r.importPieces == 0
	if !r.imported {
		pieces := r.importPieces - e.cached(r.chain)
		wait := r.link.transfer(float64(max(0, pieces)*fakePieceTokens) * fakeBytesPerToken)
		e.clock.after(wait, func() {
			e.keep(r.chain[:r.importPieces])
			r.imported = true
			e.startPrefill(r)
		})
	}
	e.waiting = insert(e.waiting, r)
	e.fillSlots()
}

func insert(queue []*fakeRun, r *fakeRun) []*fakeRun {
	i := len(queue)
	for i > 0 && queue[i-1].priority < r.priority {
		i--
	}
	return slices.Insert(queue, i, r)
}

func (e *fakeEngine) fillSlots() {
	for e.running < e.slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		if !r.cancelled && e.running > 0 && e.memory > 0 && e.held+r.size() > e.memory {
			return
		}
		e.waiting = e.waiting[1:]
		if r.cancelled {
			continue
		}
		e.running++
		e.held += r.size()
		r.slotted = true
		e.startPrefill(r)
	}
}

// size is the room in tokens that a request takes while it runs.
func (r *fakeRun) size() int { return r.prompt + r.answer }

func (e *fakeEngine) leave(r *fakeRun) {
	e.running--
	e.held -= r.size()
	e.fillSlots()
}

// startPrefill queues the part of the prompt that isn't cached, once the
// request has its slot and its import.
func (e *fakeEngine) startPrefill(r *fakeRun) {
	if !r.slotted || !r.imported {
		return
	}
	r.recomputed = max(1, r.prompt-e.cached(r.chain)*fakePieceTokens)
	r.remaining = r.recomputed
	e.prefills = insert(e.prefills, r)
	e.compute()
}

func (e *fakeEngine) compute() {
	for !e.computing && len(e.prefills) > 0 {
		r := e.prefills[0]
		if r.cancelled {
			e.prefills = e.prefills[1:]
			e.leave(r)
			continue
		}
		piece := min(r.remaining, fakePieceTokens)
		e.computing = true
		e.clock.after(seconds(float64(piece)/e.rate*e.slow), func() { e.computed(r, piece) })
	}
}

func (e *fakeEngine) computed(r *fakeRun, piece int) {
	e.computing = false
	r.remaining -= piece
	if r.remaining == 0 {
		e.prefills = slices.DeleteFunc(e.prefills, func(other *fakeRun) bool { return other == r })
		e.keep(r.chain)
		if r.cancelled {
			e.leave(r)
		} else {
			r.first()
			e.decode(r)
		}
	}
	e.compute()
}

// decode delivers tokens, a few at a time.
func (e *fakeEngine) decode(r *fakeRun) {
	tokens := min(fakeGapTokens, r.answer-r.delivered)
	gap := time.Duration(float64(e.gap) * e.slow)
	e.clock.after(time.Duration(tokens)*gap, func() {
		r.delivered += tokens
		switch {
		case r.cancelled:
			e.leave(r)
		case r.delivered >= r.answer:
			e.leave(r)
			r.done()
		default:
			r.gap()
			e.decode(r)
		}
	})
}

func (e *fakeEngine) cached(chain []prefix.Key) int {
	for i, key := range chain {
		if _, ok := e.cache[key]; !ok {
			return i
		}
	}
	return len(chain)
}

// keep caches a prefix and drops the least recently used keys beyond the size.
func (e *fakeEngine) keep(chain []prefix.Key) {
	e.uses++
	for _, key := range chain {
		if _, known := e.cache[key]; !known {
			e.added(key)
		}
		e.cache[key] = e.uses
	}
	over := len(e.cache) - e.cacheSize
	if over <= e.cacheSize/10 {
		return
	}
	type use struct {
		key prefix.Key
		at  int
	}
	all := make([]use, 0, len(e.cache))
	for key, at := range e.cache {
		all = append(all, use{key, at})
	}
	slices.SortFunc(all, func(a, b use) int {
		if a.at != b.at {
			return a.at - b.at
		}
		return slices.Compare(a.key[:], b.key[:])
	})
	for _, u := range all[:over] {
		delete(e.cache, u.key)
		e.removed(u.key)
	}
}

// fakeLink moves bytes to and from one store host, one transfer at a time.
type fakeLink struct {
	clock *fakeClock
	rate  float64
	free  time.Time
	busy  time.Duration
}

func (l *fakeLink) transfer(bytes float64) time.Duration {
	if l.free.Before(l.clock.now) {
		l.free = l.clock.now
	}
	took := seconds(bytes / l.rate)
	l.free = l.free.Add(took)
	l.busy += took
	return l.free.Sub(l.clock.now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
