package placement_test

import (
	"container/heap"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// The fakes are a virtual clock, engines and links. They take as long as the
// engines and links of the specified deployments, without network or processes.

const (
	fakeBlockTokens   = 2048
	fakeBytesPerToken = 128 << 10
	fakeGapTokens     = 2
)

// fakeClock runs events in order of time.
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
	// importBlocks is the number of blocks to import over link before the
	// prefill.
	importBlocks int
	link         *fakeLink
	onFirstToken func()
	onTokens     func()
	onDone       func()

	cancelled  bool
	imported   bool
	hasSlot    bool
	remaining  int
	recomputed int
	delivered  int
}

// fakeEngine runs requests in slots and computes prompts one after the other, in
// chunks, by priority.
type fakeEngine struct {
	clock     *fakeClock
	slots     int
	rate      float64
	gap       time.Duration
	cacheSize int
	slow      float64
	// memory is the limit for running requests in tokens, 0 for none.
	memory int

	heldTokens int
	running    int
	waiting    []*fakeRun
	prefills   []*fakeRun
	computing  bool
	cache      map[prefix.Key]int
	useCount   int
	onAdded    func(prefix.Key)
	onRemoved  func(prefix.Key)
}

func (e *fakeEngine) load() int { return e.running + len(e.waiting) }

func (e *fakeEngine) submit(r *fakeRun) {
	r.imported = r.importBlocks == 0
	if !r.imported {
		blocks := r.importBlocks - e.cachedBlocks(r.chain)
		wait := r.link.transfer(float64(max(0, blocks)*fakeBlockTokens) * fakeBytesPerToken)
		e.clock.after(wait, func() {
			e.addToCache(r.chain[:r.importBlocks])
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
		if !r.cancelled && e.running > 0 && e.memory > 0 && e.heldTokens+r.size() > e.memory {
			return
		}
		e.waiting = e.waiting[1:]
		if r.cancelled {
			continue
		}
		e.running++
		e.heldTokens += r.size()
		r.hasSlot = true
		e.startPrefill(r)
	}
}

// size is the memory in tokens that a request takes while it runs.
func (r *fakeRun) size() int { return r.prompt + r.answer }

func (e *fakeEngine) release(r *fakeRun) {
	e.running--
	e.heldTokens -= r.size()
	e.fillSlots()
}

// startPrefill queues the uncached part of the prompt once the request has a
// slot and its import is done.
func (e *fakeEngine) startPrefill(r *fakeRun) {
	if !r.hasSlot || !r.imported {
		return
	}
	r.recomputed = max(1, r.prompt-e.cachedBlocks(r.chain)*fakeBlockTokens)
	r.remaining = r.recomputed
	e.prefills = insert(e.prefills, r)
	e.startChunk()
}

func (e *fakeEngine) startChunk() {
	for !e.computing && len(e.prefills) > 0 {
		r := e.prefills[0]
		if r.cancelled {
			e.prefills = e.prefills[1:]
			e.release(r)
			continue
		}
		chunk := min(r.remaining, fakeBlockTokens)
		e.computing = true
		e.clock.after(seconds(float64(chunk)/e.rate*e.slow), func() { e.finishChunk(r, chunk) })
	}
}

func (e *fakeEngine) finishChunk(r *fakeRun, chunk int) {
	e.computing = false
	r.remaining -= chunk
	if r.remaining == 0 {
		e.prefills = slices.DeleteFunc(e.prefills, func(other *fakeRun) bool { return other == r })
		e.addToCache(r.chain)
		if r.cancelled {
			e.release(r)
		} else {
			r.onFirstToken()
			e.decode(r)
		}
	}
	e.startChunk()
}

// decode delivers the answer, fakeGapTokens tokens at a time.
func (e *fakeEngine) decode(r *fakeRun) {
	tokens := min(fakeGapTokens, r.answer-r.delivered)
	gap := time.Duration(float64(e.gap) * e.slow)
	e.clock.after(time.Duration(tokens)*gap, func() {
		r.delivered += tokens
		switch {
		case r.cancelled:
			e.release(r)
		case r.delivered >= r.answer:
			e.release(r)
			r.onDone()
		default:
			r.onTokens()
			e.decode(r)
		}
	})
}

func (e *fakeEngine) cachedBlocks(chain []prefix.Key) int {
	for i, key := range chain {
		if _, ok := e.cache[key]; !ok {
			return i
		}
	}
	return len(chain)
}

// addToCache caches a prefix and evicts the least recently used keys above the
// cache size.
func (e *fakeEngine) addToCache(chain []prefix.Key) {
	e.useCount++
	for _, key := range chain {
		if _, known := e.cache[key]; !known {
			e.onAdded(key)
		}
		e.cache[key] = e.useCount
	}
	excess := len(e.cache) - e.cacheSize
	if excess <= e.cacheSize/10 {
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
	for _, u := range all[:excess] {
		delete(e.cache, u.key)
		e.onRemoved(u.key)
	}
}

// fakeLink moves bytes to and from one store host, one transfer at a time.
type fakeLink struct {
	clock  *fakeClock
	rate   float64
	freeAt time.Time
	busy   time.Duration
}

func (l *fakeLink) transfer(bytes float64) time.Duration {
	if l.freeAt.Before(l.clock.now) {
		l.freeAt = l.clock.now
	}
	took := seconds(bytes / l.rate)
	l.freeAt = l.freeAt.Add(took)
	l.busy += took
	return l.freeAt.Sub(l.clock.now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
