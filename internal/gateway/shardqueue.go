package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/roomqueue"
	"sassafrasplank.example/sassafrasplank/internal/shard"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

const (
	// queueInterval is the time between two decisions about waiting requests without an event, and
	// the age at which the targets of a queue are set again.
	queueInterval = 20 * time.Millisecond
	// askAgainWithin is the time after which a waiting request is ended whose host hasn't asked again.
	// It covers a call that was lost and the pause of a small host that isn't scheduled.
	askAgainWithin = 500 * time.Millisecond
	// refusedPause is the time after which the placer is asked again about a waiting request that
	// it has refused on the targets with room. Hundreds may wait, and each placement takes some 20 us.
	refusedPause = 60 * time.Millisecond
	// maxQueued limits the requests that wait in one queue.
	maxQueued = 300
	// maxQueueRetryAfter limits the time after which a refused caller may return.
	maxQueueRetryAfter = 5 * time.Second
)

// shardQueues are the requests that wait for room on targets of shards, or that run there and were
// placed by a queue. The lock of the gateway protects them. The zero value is ready to use.
type shardQueues struct {
	byShard map[string]*shardQueue
	// remote contains the requests of other hosts that wait or whose hosts don't know the decision.
	remote map[ownedRequest]*queuedJob
	// ticking is set while a goroutine decides at intervals.
	ticking bool
}

// shardQueue is the queue of one shard.
type shardQueue struct {
	service, name string
	queue         *roomqueue.Queue
	waiting       map[*roomqueue.Job]*queuedJob
	// entries counts the requests that wait or run.
	entries int
	// changed is set after an event on which decisions depend. placed counts placed requests.
	changed bool
	placed  int
	// targetsAt is when the targets were set, open how many of them take requests.
	targetsAt time.Time
	open      int
}

// queuedJob is a request in the queue of a shard.
type queuedJob struct {
	job     roomqueue.Job
	shard   *shardQueue
	request placement.Request
	work    *work.Work
	addedAt time.Time
	// ask is the latest question of another host, nil for a request of this host. calls counts the
	// calls that wait for the decision, askedAt is when the last one ended.
	ask     *wire.PlaceRequest
	calls   int
	askedAt time.Time
	// expected is the attempt that was expected when the request arrived, as of that number of
	// placed requests. refusedAt is when the placer last refused the request.
	expected   *attempt
	expectedOf int
	refusedAt  time.Time

	state queuedState
	// decided is closed when the request waits no longer. Then at or, for another host, response is
	// its placement, or else none says why there is none. taken is set once the host knows.
	decided  chan struct{}
	at       *attempt
	response *wire.PlaceResponse
	none     noChoice
	taken    bool
}

type queuedState int

const (
	queuedWaiting queuedState = iota
	queuedDecided
	queuedEnded
)

// registerQueues registers the metrics of queues.
func (g *Gateway) registerQueues() {
	if !g.Config.Shards.Queue {
		return
	}
	metrics.NewRegisteredFunctionalGauge("shards.waiting", g.Metrics, func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		n := 0
		for _, sq := range g.queues.byShard {
			n += sq.queue.Waiting()
		}
		return int64(n)
	})
}

// queueOf returns the queue of a shard, nil if this host doesn't know the shard. The lock must be
// held.
func (g *Gateway) queueOf(service, name string) *shardQueue {
	if sq := g.queues.byShard[name]; sq != nil {
		return sq
	}
	if len(g.shardMembers(service, name)) == 0 {
		return nil
	}
	sq := &shardQueue{
		service: service, name: name, waiting: map[*roomqueue.Job]*queuedJob{},
		queue: roomqueue.New(roomqueue.Params{
			MemoryShare: g.Config.MemoryShare, MaxWaiting: maxQueued,
			MinRetryAfter: g.Config.Retries.MinRetryAfter.Duration, MaxRetryAfter: maxQueueRetryAfter,
		}),
	}
	if g.queues.byShard == nil {
		g.queues.byShard = map[string]*shardQueue{}
	}
	g.queues.byShard[name] = sq
	return sq
}

// enqueue lets a request wait in the queue of a shard, as a job that says whether it is repeated and
// whether it waits at all. It returns nil and the reason if no target can be used for another reason than
// its load. The lock must be held.
func (g *Gateway) enqueue(now time.Time, name string, req placement.Request, w *work.Work, job roomqueue.Job) (*queuedJob, noChoice) {
	sq := g.queueOf(w.Service, name)
	if sq == nil {
		return nil, noChoice{why: "the shard is unknown"}
	}
	req.Model, req.MaxMemoryShare = name, 0 // The queue knows what is held.
	req.Exclude = slices.Clone(req.Exclude)
	for _, id := range g.shardMembers(w.Service, name) {
		if g.placedLocally(id) {
			req.Exclude = append(req.Exclude, id)
		}
	}
	at := g.chooseTarget(now, &req, w)
	switch {
	case at == nil:
		return nil, noChoice{why: "no target of the shard has loaded weights that requests may still use"}
	case at.decision.Target == "" && at.decision.Reason != placement.ReasonNoLongSlot:
		if at.decision.ColdDeferred {
			g.count("targets.coldDeferred")
		}
		return nil, noChoice{why: refusal(&at.decision, &req) + g.evacuationNote(), until: at.decision.QuietUntil}
	}
	job.Account, job.Priority, job.Tokens, job.Prefill = w.Account, w.Priority, req.PromptTokens+req.AnswerTokens, computedTokens(&req, at)
	job.Deadline, job.Answer = w.Deadline, time.Duration(req.AnswerTokens)*g.Config.TokenGap.Duration
	if w.Route.Goal > 0 {
		job.Objective = w.Received.Add(w.Route.Goal)
	}
	j := &queuedJob{shard: sq, request: req, work: w, addedAt: now, expected: at, expectedOf: sq.placed, decided: make(chan struct{}), job: job}
	if now.Sub(sq.targetsAt) >= queueInterval {
		g.setQueueTargets(now, sq)
	}
	sq.queue.Add(now, &j.job)
	sq.waiting[&j.job] = j
	sq.entries++
	sq.changed = true
	return j, noChoice{}
}

// computedTokens returns the prompt tokens that the target of an attempt has to compute.
func computedTokens(req *placement.Request, at *attempt) int {
	return max(0, req.PromptTokens-at.decision.Chosen.ReusedTokens-at.decision.Chosen.ImportedTokens)
}

// setQueueTargets tells a queue what is known of its targets. The lock must be held.
func (g *Gateway) setQueueTargets(now time.Time, sq *shardQueue) {
	sq.targetsAt, sq.open = now, 0
	memory := 0
	if cfg := g.routes.Load(); cfg != nil && cfg.Services[sq.service].Engine != nil {
		memory = cfg.Services[sq.service].Engine.CacheTokens
	}
	var targets []roomqueue.Target
	for _, id := range g.shardMembers(sq.service, sq.name) {
		t, listed := g.Fleet.Find(id)
		if !listed {
			continue
		}
		room := g.placer.RoomOf(now, sq.name, id)
		closed := room.Closed || t.Leaving || g.placedLocally(id)
		if !closed {
			sq.open++
		}
		target := roomqueue.Target{ID: id, Slots: max(1, t.Slots), Memory: memory, Rate: room.Rate, Closed: closed}
		// What was placed without the queue, or is known from reports only, takes room as well.
		requests, tokens := sq.queue.Running(id)
		if others := room.Requests - requests; others > 0 {
			target.OtherRequests, target.OtherTokens = others, max(0, room.HeldTokens-tokens)
		}
		targets = append(targets, target)
	}
	sq.queue.SetTargets(now, targets)
}

// runQueues decides about the requests of all queues that have changed. The lock must be held.
func (g *Gateway) runQueues(now time.Time) {
	for _, sq := range g.queues.byShard {
		if sq.changed {
			g.runQueue(now, sq)
		}
	}
}

func (g *Gateway) runQueue(now time.Time, sq *shardQueue) {
	sq.changed = false
	if sq.queue.Waiting() == 0 {
		return
	}
	if now.Sub(sq.targetsAt) >= queueInterval {
		g.setQueueTargets(now, sq)
	}
	for {
		d, ok := sq.queue.Next(now, func(job *roomqueue.Job, ids []string) string { return g.beginQueued(now, sq.waiting[job], ids) })
		if !ok {
			break
		}
		g.decideQueued(now, sq.waiting[d.Job], d)
	}
	if sq.queue.Waiting() > 0 {
		g.tickQueues()
	}
}

// beginQueued chooses one of the targets with the given IDs for a waiting request and counts the request
// there. It returns an empty text if the request can't use them now. The lock must be held.
func (g *Gateway) beginQueued(now time.Time, j *queuedJob, ids []string) string {
	if now.Sub(j.refusedAt) < refusedPause || !slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(j.request.Exclude, id) }) {
		return ""
	}
	req, at := j.request, j.expected
	if at == nil || j.expectedOf != j.shard.placed || !now.Equal(j.addedAt) || !slices.Contains(ids, at.decision.Target) {
		req.Exclude = slices.Clone(req.Exclude)
		for _, id := range g.shardMembers(j.shard.service, j.shard.name) {
			if !slices.Contains(ids, id) {
				req.Exclude = append(req.Exclude, id)
			}
		}
		at = g.chooseTarget(now, &req, j.work)
	}
	j.expected = nil
	if at == nil || !slices.Contains(ids, at.decision.Target) || !g.startQueued(now, j, &req, at) {
		j.refusedAt = now
		return ""
	}
	j.shard.placed++
	j.job.Prefill = computedTokens(&req, at)
	return at.decision.Target
}

// startQueued counts a request on the target that was chosen for it, and reports whether that can be
// used. The lock must be held.
func (g *Gateway) startQueued(now time.Time, j *queuedJob, req *placement.Request, at *attempt) bool {
	if j.ask == nil {
		if at, _ = g.start(now, req, j.work, at); at == nil {
			return false
		}
		at.shard, at.owner, at.queued = j.shard.name, g.Host, j
		j.at = at
		return true
	}
	response := &wire.PlaceResponse{Ready: true, Cache: j.ask.Cache}
	g.startOwned(now, j.ask, j.work, req, at, response)
	if response.Ticket == 0 {
		return false
	}
	g.shards.owned.tickets[response.Ticket].queued = j
	j.response = response
	return true
}

// decideQueued records the decision about a request. The lock must be held.
func (g *Gateway) decideQueued(now time.Time, j *queuedJob, d roomqueue.Decision) {
	delete(j.shard.waiting, d.Job)
	j.state = queuedDecided
	waited := now.Sub(j.addedAt)
	switch {
	case d.Target == "":
		j.shard.entries--
		g.count("shards.refused." + string(d.Refused))
		why := fmt.Sprintf("refused by the queue of shard %s: %s, expected wait %s after %s", j.shard.name, d.Refused, d.Wait.Round(time.Millisecond), waited.Round(time.Millisecond))
		j.none = noChoice{why: why, until: now.Add(d.RetryAfter), loaded: true, refused: true}
		if j.ask != nil {
			j.response = &wire.PlaceResponse{Ready: true, Cache: j.ask.Cache, Refusal: why, Refused: string(d.Refused), RetryAfterMillis: d.RetryAfter.Milliseconds()}
		}
	case j.ask == nil:
		j.at.urgency = d.Urgency + 1
		g.measure("shards.queueWaitMicros", waited)
	default:
		j.response.Urgency = int32(d.Urgency + 1)
		g.measure("shards.queueWaitMicros", waited)
	}
	close(j.decided)
}

// recordQueuedFirst records the first event of a request that a queue has placed. The lock must be held.
func (g *Gateway) recordQueuedFirst(now time.Time, j *queuedJob) {
	if j != nil {
		j.shard.queue.FirstEvent(now, &j.job)
		j.shard.changed = true
	}
}

// endQueued ends a request that waits or runs. Further calls have no effect. The lock must be held.
func (g *Gateway) endQueued(now time.Time, j *queuedJob) {
	if j == nil || j.state == queuedEnded {
		return
	}
	if j.state == queuedWaiting {
		delete(j.shard.waiting, &j.job)
		close(j.decided)
	}
	j.state = queuedEnded
	j.shard.queue.End(now, &j.job)
	j.shard.entries--
	j.shard.changed = true
}

// tickQueues decides at intervals until no request waits. The lock must be held.
func (g *Gateway) tickQueues() {
	if g.queues.ticking {
		return
	}
	g.queues.ticking = true
	go func() {
		for g.tick() {
			select {
			case <-g.Clock.After(queueInterval):
			case <-g.ended.Done():
				return
			}
		}
	}()
}

// tick ends the requests whose hosts don't ask again, decides about the others, and reports whether
// any are left.
func (g *Gateway) tick() bool {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, j := range g.queues.remote {
		if j.calls == 0 && now.Sub(j.askedAt) > askAgainWithin {
			g.leaveRemote(now, j)
			g.count("shards.waitsAbandoned")
		}
	}
	left := len(g.queues.remote) > 0
	for _, sq := range g.queues.byShard {
		if sq.queue.Waiting() > 0 {
			sq.changed, left = true, true
		}
	}
	g.runQueues(now)
	g.queues.ticking = left
	return left
}

// updateQueues applies a change of the list of targets. The lock must be held.
func (g *Gateway) updateQueues(now time.Time) {
	for name, sq := range g.queues.byShard {
		if len(g.shardMembers(sq.service, name)) == 0 {
			delete(g.queues.byShard, name)
			for _, j := range sq.waiting {
				j.none = noChoice{why: "the targets have been divided differently"}
				g.endQueued(now, j)
			}
			continue
		}
		sq.targetsAt, sq.changed = time.Time{}, true
	}
	g.runQueues(now)
}

// dropQueues removes the queues without requests of shards that this host doesn't own. One that takes a
// shard over again knows nothing of what was placed meanwhile. The lock must be held.
func (g *Gateway) dropQueues() {
	for name, sq := range g.queues.byShard {
		if sq.entries == 0 && g.ownerOf(name) != g.Host {
			delete(g.queues.byShard, name)
		}
	}
}

// queueLoad returns the load of a shard according to its queue, and false without one. The lock must
// be held.
func (g *Gateway) queueLoad(name string) (shard.Load, bool) {
	sq := g.queues.byShard[name]
	if sq == nil {
		return shard.Load{}, false
	}
	wait, memory := sq.queue.Load(g.Clock.Now())
	if sq.open == 0 {
		memory = 1
	}
	return shard.Load{Wait: wait, Waits: sq.queue.Waits(g.Clock.Now()), Memory: memory, Unstored: g.shards.unstored.share()}, true
}
