package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// Stream is the kind of route whose answers are event streams.
const Stream = routing.Stream

// attempt is one try of a request on one target.
type attempt struct {
	// target is the target, or the host that serves the request if byHost is set.
	target fleet.Target
	byHost bool
	// granted is set for an attempt that is counted in the allowance of a cold target.
	granted  bool
	decision placement.Decision
	ticket   placement.Ticket
	// version is the name of the weights in the placer, such as "letters@3" or
	// plainVersion. versionNumber is the number in it, 0 for plainVersion.
	version       string
	versionNumber int64
	// outdatedFor is the time since a newer version was requested, 0 if none was. Older
	// weights are only used while it is known.
	outdatedFor time.Duration
	namespace   string
	chain       []prefix.Key
	// sources contains the fastest source of each prompt part.
	sources []source
	// fetch and save contain the addresses for Call.Fetch and Call.Save.
	fetch, save []string
	// fetchEnd is when reads from stores end, in milliseconds on the clock of the
	// targets; 0 if nothing is read from a store.
	fetchEnd int64
	// events is the number of events received from the target.
	events int
	// shard is the shard of the target, and owner the host that placed the attempt; both are empty
	// if this host placed it by its own view of all targets. remote is set if it was another host.
	shard, owner               string
	remote                     *remoteTicket
	reportedFirst, reportedEnd bool
	// outcome is reported to the host that placed the attempt.
	outcome wire.Outcome
	// queued is the entry of the attempt in a queue of this host, nil if there is none. urgency is its
	// urgency at the target plus one, 0 if the priority of the request holds.
	queued  *queuedJob
	urgency int
	// answered is set once a successful answer is complete, failed once a failure of the
	// target is.
	answered, failed bool
}

// placementRequest returns the input of placement for a request.
func (g *Gateway) placementRequest(w *work.Work) placement.Request {
	req := placement.Request{
		ID:            w.ID,
		Account:       w.Account,
		Model:         w.Service,
		Version:       plainVersion,
		PromptTokens:  max(1, w.PromptTokens),
		MayProbe:      w.Route.Repeatable(),
		FailureDomain: g.FailureDomain,
		Resumable:     w.Route.Kind == Stream && w.Route.Resumable,
	}
	if len(w.Parts) > 0 {
		req.FailureDomain = ""
		req.AnswerTokens = w.AnswerTokens
		req.MaxMemoryShare = max(minMemoryShare, g.Config.MemoryShare-g.Config.MemoryStep*float64(w.Priority))
		req.Long = w.AnswerTokens > g.Config.Placement.LongTokens
		req.ChainTokens = make([]int, 0, len(w.Parts))
		tokens := 0
		for _, part := range w.Parts {
			tokens += part.Tokens
			req.ChainTokens = append(req.ChainTokens, tokens)
		}
		req.Affinity = affinity(w)
	}
	return req
}

// minMemoryShare is the share of a target's memory that requests of any
// priority may use.
const minMemoryShare = 0.5

// affinity returns a hash of the last prompt part that other requests may share.
// The part after it is specific to the request or its session. If there is only
// one part, it is a hash of that part. It is never 0, which would mean that the
// request has no affinity.
func affinity(w *work.Work) uint64 {
	part := w.Parts[max(0, len(w.Parts)-sharedPartFromEnd)]
	sum := sha256.Sum256([]byte(w.Service + "/" + part.Key))
	return max(1, binary.LittleEndian.Uint64(sum[:8]))
}

// sharedPartFromEnd is the position of the last shared part, counted from the
// end of the prompt, where 1 is the last part.
const sharedPartFromEnd = 2

// cacheNamespace returns the cache namespace of the requests of a client account: one for each
// cache that the configuration knows and each version of the weights.
func cacheNamespace(cfg *routing.Config, account, version string) string {
	return namespaceIn(cfg.Cache(account), version)
}

// namespaceIn returns the namespace of a version of the weights in a cache.
func namespaceIn(cache, version string) string { return cache + "/" + url.PathEscape(version) }

// partKey returns the cache key of a prompt part in a namespace. Hosts with many peers
// compute it for thousands of cache events a second. Keys serve as hints only: targets
// and stores look parts up by their names.
func partKey(namespace, part string) prefix.Key {
	name, text := xxhash.Sum64String(namespace), xxhash.Sum64String(part)
	var key prefix.Key
	binary.LittleEndian.PutUint64(key[:8], name*keyFactor1+text)
	binary.LittleEndian.PutUint64(key[8:], (name^text*keyFactor2)*keyFactor1)
	return key
}

// Odd factors that spread the two hashes of a key over its halves.
const (
	keyFactor1 = 0x9e3779b97f4a7c15
	keyFactor2 = 0xc2b2ae3d27d4eb4f
)

// noChoice is why a request has no target now, and when that changes, if it is known.
type noChoice struct {
	why   string
	until time.Time
	// loaded is set if targets would take the request with less load.
	loaded bool
	// refused is set if the queue of a shard has refused the request, and interrupted if the context
	// of the request ended while it waited there.
	refused, interrupted bool
}

// choose places a request, or returns why no target can be used.
func (g *Gateway) choose(req *placement.Request, w *work.Work) (*attempt, noChoice) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.chooseTarget(now, req, w)
	if at == nil {
		return nil, noChoice{why: "no target has loaded weights that requests may still use"}
	}
	if at.decision.ColdDeferred {
		g.count("targets.coldDeferred")
	}
	if at.decision.Target == "" {
		return nil, noChoice{why: refusal(&at.decision, req) + g.evacuationNote(), until: at.decision.QuietUntil, loaded: loaded(&at.decision)}
	}
	return g.start(now, req, w, at)
}

// start counts a chosen attempt on its target, or returns why that can't be used. The lock must be
// held.
func (g *Gateway) start(now time.Time, req *placement.Request, w *work.Work, at *attempt) (*attempt, noChoice) {
	t, ok := g.Fleet.Find(at.decision.Target)
	if !ok {
		return nil, noChoice{why: "the chosen target has just been removed from the list of targets"}
	}
	if !g.mayUse(req, &t) {
		return nil, noChoice{why: "the chosen target has just been replaced by one of another build"}
	}
	if g.isEvacuated(t.FailureDomain) {
		return nil, noChoice{why: "the failure domain of the chosen target is evacuated"}
	}
	if !g.takeCold(now, &t) {
		return nil, noChoice{why: "the chosen target has just become cold"}
	}
	at.granted = g.cold.targets.Cold(now, t.ID, t.Started)
	at.target = t
	req.Version = at.version
	req.Chain = at.chain
	if at.chain != nil {
		g.planTransfers(w, at)
	}
	at.ticket = g.placer.Start(now, req, &at.decision)
	g.countPaced(w, &at.decision)
	g.takeCall(now, t.ID)
	return at, noChoice{}
}

// mayUse reports whether the build of a target is one that a request may use.
func (g *Gateway) mayUse(req *placement.Request, t *fleet.Target) bool {
	if req.Build != nil {
		return t.Build == *req.Build
	}
	return !req.Resumable || g.Builds == nil || g.Builds.Usable(t.Service, t.Build)
}

// chooseTarget chooses a target and, for a request with a model, its weights. The decision of
// the attempt may name no target. It returns nil if no loaded weights may be used. The lock
// must be held.
func (g *Gateway) chooseTarget(now time.Time, req *placement.Request, w *work.Work) *attempt {
	g.paceAll(now)
	g.refreshCold(now)
	g.restrictAll()
	if w.Model == "" {
		return g.tryVersion(now, req, w, plainVersion, 0)
	}
	return g.chooseWeights(now, req, w)
}

// refusal describes why a decision names no target, with the values involved.
func refusal(d *placement.Decision, req *placement.Request) string {
	switch d.Reason {
	case placement.ReasonNoMemory:
		return fmt.Sprintf("the least used target's memory would be %.2f full, the limit is %.2f", d.MemoryTaken, req.MaxMemoryShare)
	case placement.ReasonNoLongSlot:
		return "no target has a free slot for a long answer"
	case placement.ReasonNoRoom:
		return "the request might have to wait at each target, and all that take it are brittle"
	case placement.ReasonQuiet:
		return "every usable target takes no further requests of this host for some time"
	default:
		if req.Build != nil {
			return fmt.Sprintf("no target of build %q, which began the stream, is listed, ready and usable", *req.Build)
		}
		return "no target is listed, ready and usable"
	}
}

// loaded reports whether a decision names no target because of the load of those that could be used. It
// is then the same for requests of all hosts.
func loaded(d *placement.Decision) bool {
	return d.Reason == placement.ReasonNoMemory || d.Reason == placement.ReasonNoLongSlot
}

// chooseWeights chooses the newest weights with a target that is expected to
// answer within newVersionGoalShare of the goal. If there is none, it chooses the
// fastest target whose weights are still allowed when it begins, so that a swap doesn't
// overload the first targets that have finished it. If no target can be used, it returns
// the last attempt, whose decision names none, or nil if no loaded version may be
// used. The lock must be held.
func (g *Gateway) chooseWeights(now time.Time, req *placement.Request, w *work.Work) *attempt {
	weights := g.weightsOf(w.Model)
	requested, steady := g.Requested.Of(w.Model), g.Steady.Now()
	var best, refused *attempt
	for _, version := range weights.loaded {
		if !g.allowed(steady, &requested, version) {
			break
		}
		at := g.tryVersion(now, req, w, versionName(w.Model, version), version)
		if version < requested.Version {
			at.outdatedFor = steady.Sub(requested.OutdatedSince(version))
		}
		if at.decision.Target == "" {
			refused = at
			continue
		}
		expectedFirst := time.Duration(at.decision.Chosen.FirstToken() * float64(time.Second))
		if version < requested.Version && at.outdatedFor+expectedFirst > g.Config.Rollout.LatestBegin() {
			continue
		}
		if best == nil || at.decision.Chosen.Total() < best.decision.Chosen.Total() {
			best = at
		}
		if best.decision.Chosen.Total() < newVersionGoalShare*w.Route.Goal.Seconds() {
			break
		}
	}
	if best == nil {
		return refused
	}
	return best
}

// tryVersion asks the placer for a target with one version of the weights. The
// decision may name no target. The lock must be held.
func (g *Gateway) tryVersion(now time.Time, req *placement.Request, w *work.Work, version string, number int64) *attempt {
	at := &attempt{version: version, versionNumber: number}
	req.Version = version
	req.Chain, req.FetchSeconds = nil, nil
	if len(w.Parts) > 0 {
		// The configuration may have changed since the request was received.
		at.namespace = namespaceIn(g.cacheOf(w), version)
		at.chain = g.chainKeys(w, at)
		at.sources = g.findSources(w, at.chain)
		req.Chain = at.chain
		req.FetchSeconds = make([]float64, len(at.sources))
		for i := range at.sources {
			req.FetchSeconds[i] = at.sources[i].seconds
		}
	}
	g.placer.Place(now, req, &at.decision)
	return at
}

// cacheOf returns the cache in which the parts of a request are kept.
func (g *Gateway) cacheOf(w *work.Work) string {
	if w.Cache != "" {
		return w.Cache
	}
	return g.Routes().Cache(w.Account)
}

// planTransfers decides which parts are fetched from stores or other targets,
// and which are saved to stores. To the placer, each part is one block. A target fetches
// only what it does not hold, so parts that it is expected to hold get a source as well:
// it may have dropped them meanwhile for running requests. The lock must be held.
func (g *Gateway) planTransfers(w *work.Work, at *attempt) {
	at.fetch = make([]string, len(w.Parts))
	any := false
	for i, part := range w.Parts[:len(w.Parts)-1] {
		s := at.sources[i]
		if s.address == at.target.Address {
			s = g.findSource(at.chain[i], part.Tokens, at.target.ID)
		}
		if s.address == "" || s.seconds > float64(part.Tokens)/g.Config.PrefillTokensPerSecond {
			continue
		}
		any = true
		at.fetch[i] = s.address
		if s.store == nil {
			continue
		}
		if until := s.store.targetClock + readLease.Milliseconds(); at.fetchEnd == 0 || until < at.fetchEnd {
			at.fetchEnd = until
		}
	}
	if !any {
		at.fetch = nil
	}
	if g.sharded() {
		g.shards.unstored.add(g.storedTokens(w, at.chain))
		if at.versionNumber < g.Requested.Of(w.Model).Version {
			return // Replaced weights are in use for some seconds more, and their parts take the room of newer ones.
		}
	}
	at.save = g.chooseStores(w, at.chain)
}

func (g *Gateway) chainKeys(w *work.Work, at *attempt) []prefix.Key {
	keys := make([]prefix.Key, 0, len(w.Parts))
	for _, part := range w.Parts {
		keys = append(keys, partKey(at.namespace, part.Key))
	}
	return keys
}

// newCall returns the call that an attempt makes to its target. after is the ID of the last event
// that the caller has received.
func (g *Gateway) newCall(w *work.Work, at *attempt, after int64) *Call {
	return &Call{
		Work:      w,
		Target:    at.target,
		Remaining: w.Deadline.Sub(g.Clock.Now()),
		Namespace: at.namespace,
		Version:   at.versionNumber,
		Priority:  at.priority(w),
		Fetch:     at.fetch,
		FetchEnd:  at.fetchEnd,
		Save:      at.save,
		After:     after,
	}
}

// priority returns the priority of the request of an attempt at its target.
func (at *attempt) priority(w *work.Work) int {
	if at.urgency > 0 {
		return at.urgency - 1
	}
	return w.Priority
}

// finishAttempt removes an attempt from the placer.
func (g *Gateway) finishAttempt(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportEnd(at, at.outcome)
	now := g.Clock.Now()
	g.placer.Finish(now, &at.ticket)
	g.endQueued(now, at.queued)
	g.runQueues(now)
}

func (g *Gateway) recordFirstToken(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportFirst(at)
	now := g.Clock.Now()
	g.placer.RecordFirstToken(now, &at.ticket)
	g.recordQueuedFirst(now, at.queued)
	g.runQueues(now)
}

// recordTokens records one event of a stream as the usual number of tokens of an
// event.
func (r *run) recordTokens(at *attempt) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	at.events++
	if at.events == answeringEvents {
		g.suspects.RecordAnswer(g.Clock.Now(), r.keys)
	}
	n := 1
	if cfg := g.routes.Load(); cfg != nil {
		if e := cfg.Services[at.target.Service].Engine; e != nil {
			n = max(1, e.TokensPerEvent)
		}
	}
	g.placer.RecordTokens(g.Clock.Now(), &at.ticket, n)
}

// recordAnswered records an attempt whose answer was passed on.
func (r *run) recordAnswered(at *attempt) {
	if at.byHost {
		return
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.avoidFactors, at.target.ID)
	g.placer.RecordOutcome(g.Clock.Now(), at.target.ID, at.failed)
	if at.answered {
		g.placer.RecordServed(g.Clock.Now(), &at.ticket)
		g.suspects.RecordAnswer(g.Clock.Now(), r.keys)
	}
}

// maxAvoidFactor is the maximum multiple of AvoidFor for which a target is
// avoided. A dead target is no longer listed by then.
const maxAvoidFactor = 8

// avoidUnreachable places no new requests on a target, for twice as long with
// each failure in a row. A dead target runs nothing and would otherwise seem to
// have the most free slots.
func (g *Gateway) avoidUnreachable(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	factor := min(maxAvoidFactor, max(1, 2*g.avoidFactors[at.target.ID]))
	g.avoidFactors[at.target.ID] = factor
	g.placer.RecordOutcome(now, at.target.ID, true)
	g.placer.Avoid(at.target.ID, now.Add(time.Duration(factor)*g.Config.Retries.AvoidFor.Duration))
}

// avoidMisdirected places no new requests on an address that now belongs to
// another target, or whose weights differ from those listed, until an updated
// list is expected.
func (g *Gateway) avoidMisdirected(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoidAfterMisdirected(g.Clock.Now(), at.target.ID, at.version)
}

// recordFailure records a failure of a target, and returns the number of crashes of which the
// request is suspect. If the connection was lost, the request is suspect of having crashed the
// target. Before the target has begun to answer, so are the parts of its prompt, provided that it
// has crashed: connections are lost for other reasons, too.
func (g *Gateway) recordFailure(ctx context.Context, at *attempt, err error, keys retry.Keys) (crashes int) {
	var broken *BrokenError
	lost := errors.As(err, &broken) && broken.Lost
	if lost && at.events < answeringEvents {
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		lost = g.Targets.Crashed(ctx, at.target)
		cancel()
		if lost {
			g.presumeGone(at.target, coldByCrash)
		}
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordOutcome(now, at.target.ID, true)
	if !lost {
		return 0
	}
	if at.events >= answeringEvents {
		keys.Parts = nil
	}
	crashes, blamed := g.suspects.RecordCrash(now, at.target.ID, keys)
	for _, key := range blamed {
		g.logBlamed(key, "crash")
	}
	return crashes
}

// crashCheckTimeout limits the check whether a target has crashed.
const crashCheckTimeout = 250 * time.Millisecond

// answeringEvents is the number of events after which a target is known not to crash on the
// prompt. It may crash when it begins to answer, after it has sent the first event.
const answeringEvents = 2

// suspectKeys returns the keys by which a request is suspect when its target crashes. Parts
// are the same for all client accounts and weights.
func suspectKeys(w *work.Work) retry.Keys {
	keys := retry.Keys{Request: w.Fingerprint}
	for _, part := range w.Parts[:max(0, len(w.Parts)-1)] {
		keys.Parts = append(keys.Parts, retry.Fingerprint("", w.Model, part.Key))
	}
	return keys
}
