package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tieMargin is the relative difference up to which two targets count as equal.
const tieMargin = 0.01

// answerWeight is multiplied by the time by which a slowed target delays the answer
// after its first token. The product is part of the penalty.
const answerWeight = 0.1

// suspectLoadPenaltySeconds is the penalty of a target for each request on it
// when a suspect is placed, so that a crash affects few other requests.
const suspectLoadPenaltySeconds = 1

const (
	// failurePenaltySeconds is the penalty of a target whose recent requests all
	// failed.
	failurePenaltySeconds = 2
	// crossDomainPenaltySeconds is the penalty of a target in another failure
	// domain. It covers the round trip and the cost of the traffic.
	crossDomainPenaltySeconds = 0.008
	// copyPenaltySeconds is the penalty for each fetched token, since its second
	// copy takes cache space from other prompts.
	copyPenaltySeconds = 1e-6
)

// affinityScore returns the rendezvous hash that ranks equally good targets.
func affinityScore(affinity uint64, target string) uint64 {
	return mix(affinity ^ xxhash.Sum64String(target))
}

// Place selects a target for a request and writes the decision to d.
func (b *Placer) Place(now time.Time, req *Request, d *Decision) {
	considered := d.Considered[:0]
	*d = Decision{Reason: ReasonNoTarget, Considered: considered}
	pool := b.pools[req.Model]
	if pool == nil {
		return
	}
	b.refreshMedianSlowness(now, pool)
	b.gatherCandidates(pool, req)
	storedBlocks, storeLink := b.storedPrefix(req)
	b.consider(now, pool, req, d, storedBlocks, storeLink)
	if len(pool.engines) > len(b.candidates) && (len(d.Considered) == 0 || b.leastIsCold(now, d)) {
		// A few candidates can all be unusable, or all but busy ones cold, while others are not.
		for _, e := range pool.engines {
			b.addCandidate(e.number)
		}
		d.Considered = d.Considered[:0]
		b.consider(now, pool, req, d, storedBlocks, storeLink)
	}
	if len(d.Considered) == 0 {
		return
	}
	b.choose(now, req, d)
	if d.Chosen.Source == SourceStore {
		d.Store = storeLink.spec.Store
		d.ImportBlocks = storedBlocks
	}
}

// consider estimates the candidates that may run a request. If there are none, it sets
// the reason.
func (b *Placer) consider(now time.Time, pool *enginePool, req *Request, d *Decision, storedBlocks int, storeLink *link) {
	obstacle := len(obstacles)
	d.QuietUntil = time.Time{}
	for _, number := range b.candidates {
		e := b.engines[number]
		if !b.eligible(now, e, req) {
			continue
		}
		if until := e.closedUntil(); now.Before(until) {
			d.recordQuiet(until)
			d.ColdDeferred = d.ColdDeferred || now.Before(e.coldUntil)
			obstacle = min(obstacle, slices.Index(obstacles, ReasonQuiet))
			continue
		}
		pool.expectPeers(now, e)
		if reason := b.obstacle(e, req, d); reason != "" {
			obstacle = min(obstacle, slices.Index(obstacles, reason))
			continue
		}
		d.Considered = append(d.Considered, b.estimate(now, pool, e, req, storedBlocks, storeLink))
	}
	if len(d.Considered) == 0 && obstacle < len(obstacles) {
		d.Reason = obstacles[obstacle]
	}
}

// obstacles are the reasons why eligible engines take no request, in the order in which they are
// stated.
var obstacles = []Reason{ReasonNoMemory, ReasonNoLongSlot, ReasonNoRoom, ReasonQuiet}

// obstacle returns why a request may not be placed on an engine now, or an empty string if it may.
func (b *Placer) obstacle(e *engine, req *Request, d *Decision) Reason {
	if !e.hasRoom(req) {
		return ReasonNoRoom
	}
	if req.Long && e.longInFlight >= e.longSlots(b.params.LongSlotPercent) {
		return ReasonNoLongSlot
	}
	if taken := e.memoryTaken(req); req.MaxMemoryShare > 0 && taken > req.MaxMemoryShare {
		if d.MemoryTaken == 0 || taken < d.MemoryTaken {
			d.MemoryTaken = taken
		}
		return ReasonNoMemory
	}
	return ""
}

// gatherCandidates sets the candidates of a request and the number of blocks of
// its prompt that each of them has cached. The number is 0 for candidates that
// are not among the holders that Index.Holders lists.
func (b *Placer) gatherCandidates(pool *enginePool, req *Request) {
	b.round++
	b.candidates = b.candidates[:0]
	b.holders = b.cached.Holders(b.holders[:0], req.Chain, b.params.PreferredCount)
	for _, holder := range b.holders {
		if b.addCandidate(holder.Target) {
			b.cachedBlocks[holder.Target] = holder.Blocks
		}
	}
	if len(pool.engines) <= fullScanLimit {
		for _, e := range pool.engines {
			b.addCandidate(e.number)
		}
		return
	}
	first := len(b.candidates)
	b.candidates, b.scratch = pool.rendezvous.pick(b.candidates, b.scratch, rendezvousKey(req), b.params.PreferredCount)
	added := b.candidates[first:]
	b.candidates = b.candidates[:first]
	for _, number := range added {
		b.addCandidate(number)
	}
	for range b.params.RandomCount {
		b.addCandidate(pool.engines[b.rng.IntN(len(pool.engines))].number)
	}
}

// addCandidate adds an engine to the candidates. It returns false if the engine
// is a candidate already.
func (b *Placer) addCandidate(number int32) bool {
	e := b.engines[number]
	if e.candidateRound == b.round {
		return false
	}
	e.candidateRound = b.round
	b.cachedBlocks[number] = 0
	b.candidates = append(b.candidates, number)
	return true
}

// rendezvousKey returns the rendezvous key of a request. Requests with the same
// affinity or, without one, the same first block have the same key and therefore prefer
// the same targets. The first block of a prompt may be common to all requests of a kind.
func rendezvousKey(req *Request) uint64 {
	if req.Affinity != 0 {
		return req.Affinity
	}
	if len(req.Chain) > 0 {
		return binary.LittleEndian.Uint64(req.Chain[0][:8])
	}
	return xxhash.Sum64String(req.ID)
}

// storedPrefix returns the longest prefix of the prompt found on a reachable store
// host, in blocks, and the link to that host, or 0 and nil if none is found.
func (b *Placer) storedPrefix(req *Request) (int, *link) {
	// Each store host may be listed once for each prefix, also one that is down.
	b.holders = b.stored.Holders(b.holders[:0], req.Chain, len(b.links)*len(req.Chain))
	for _, holder := range b.holders {
		if l := b.links[holder.Target]; !l.down {
			return holder.Blocks, l
		}
	}
	return 0, nil
}

// mayUse reports whether the build of an engine is one that a request may use.
func (e *engine) mayUse(req *Request) bool {
	if req.Build != nil {
		return e.spec.Build == *req.Build
	}
	return !req.Resumable || !e.spec.Unannounced
}

func (b *Placer) eligible(now time.Time, e *engine, req *Request) bool {
	if e.removed || !e.usable() || !e.hasVersion(req.Version) || now.Before(e.avoidUntil) ||
		(req.Long && now.Before(e.drainUntil)) {
		return false
	}
	if req.Suspect && e.suspects > 0 {
		return false
	}
	if slices.Contains(req.Exclude, e.spec.Name) {
		return false
	}
	if !e.mayUse(req) || b.evacuated[e.spec.FailureDomain] {
		return false
	}
	if !slices.Contains(e.spec.Models, req.Model) {
		return false
	}
	return e.load() < e.warmUpSlots(now, b.params.WarmUp)
}

// estimate computes the expected time to first token on one engine. The first
// storedBlocks blocks of the prompt can be imported over l, unless l is nil.
func (b *Placer) estimate(now time.Time, pool *enginePool, e *engine, req *Request, storedBlocks int, l *link) Estimate {
	slow := b.slowness(now, pool, e)
	reused := req.prefixTokens(b.cachedBlocks[e.number], b.params.BlockTokens)
	est := Estimate{
		Target:       e.spec.Name,
		Wait:         e.expectedWait(slow) + e.memoryWait(req),
		Slowness:     slow,
		Source:       SourceNone,
		ReusedTokens: reused,
		engineNumber: e.number,
	}
	if reused > 0 {
		est.Source = SourceTarget
	}
	recompute := float64(req.PromptTokens-reused) / e.spec.PrefillRate
	est.Prefill = recompute * slow
	pool.pacedService(now, e, &est)
	if l != nil && req.prefixTokens(storedBlocks, b.params.BlockTokens) > reused {
		b.considerImport(now, &est, e, req, storedBlocks, l)
	}
	b.considerFetch(&est, e, req)
	est.Penalty += failurePenaltySeconds * e.currentFailureShare(now)
	if req.FailureDomain != "" && req.FailureDomain != e.spec.FailureDomain {
		est.Penalty += crossDomainPenaltySeconds
	}
	if now.Before(e.warmAt) {
		est.Penalty += coldPenaltySeconds
	}
	est.Penalty += answerWeight * (slow - 1) * float64(req.AnswerTokens) * e.spec.TokenGap.Seconds()
	est.Penalty += e.pacePenalty(now)
	if req.Suspect {
		est.Penalty += suspectLoadPenaltySeconds * float64(e.load())
	}
	return est
}

// slowness returns how much slower than usual an engine is, relative to its pool.
func (b *Placer) slowness(now time.Time, pool *enginePool, e *engine) float64 {
	slow := max(1, e.slowness(now)/pool.medianSlowness)
	if slow < slownessThreshold {
		return 1
	}
	return slow
}

// considerImport replaces the recomputation of a stored prefix with its import
// if that is expected to be cheaper.
func (b *Placer) considerImport(now time.Time, est *Estimate, e *engine, req *Request, storedBlocks int, l *link) {
	stored := req.prefixTokens(storedBlocks, b.params.BlockTokens)
	imported := stored - est.ReusedTokens
	bytes := float64(imported) * b.params.BytesPerToken
	remaining := float64(req.PromptTokens-stored) / e.spec.PrefillRate
	alternative := *est
	alternative.Source = SourceStore
	alternative.Import = l.transferTime(now, bytes)
	alternative.Prefill = remaining * est.Slowness
	alternative.ImportedTokens = imported
	if alternative.Total() < est.Total() {
		*est = alternative
	}
}

// considerFetch replaces the recomputation of blocks with their fetch, up to the
// block that gives the lowest expected cost.
func (b *Placer) considerFetch(est *Estimate, e *engine, req *Request) {
	cached := b.cachedBlocks[e.number]
	best := *est
	seconds := 0.0
	for block := cached; block < len(req.FetchSeconds) && req.FetchSeconds[block] > 0; block++ {
		seconds += req.FetchSeconds[block]
		tokens := req.prefixTokens(block+1, b.params.BlockTokens)
		alternative := *est
		alternative.Source = SourceFetch
		alternative.Import = seconds
		alternative.Prefill = float64(req.PromptTokens-tokens) / e.spec.PrefillRate * est.Slowness
		alternative.ImportedTokens = tokens - est.ReusedTokens
		alternative.FirstBlock, alternative.EndBlock = cached, block+1
		alternative.Penalty += float64(alternative.ImportedTokens) * copyPenaltySeconds
		if alternative.Total() < best.Total() {
			best = alternative
		}
	}
	*est = best
}

// choose selects a target that is due for a probe or, if there is none, the one
// with the lowest cost. Targets within tieMargin of it are ranked by affinity, or
// selected at random if the request has none.
func (b *Placer) choose(now time.Time, req *Request, d *Decision) {
	if req.MayProbe && b.chooseProbe(now, d) {
		return
	}
	if b.choosePaced(now, req, d) {
		return
	}
	least := math.Inf(1)
	for i := range d.Considered {
		least = min(least, d.Considered[i].Total())
	}
	limit := least + least*tieMargin
	ties := 0
	chosen := 0
	for i := range d.Considered {
		if d.Considered[i].Total() > limit {
			continue
		}
		ties++
		switch {
		case ties == 1:
			chosen = i
		case req.Affinity != 0:
			if affinityScore(req.Affinity, d.Considered[i].Target) > affinityScore(req.Affinity, d.Considered[chosen].Target) {
				chosen = i
			}
		case b.rng.IntN(ties) == 0:
			chosen = i
		}
	}
	d.Chosen = d.Considered[chosen]
	d.Target = d.Chosen.Target
	d.Reason = ReasonLeastTime
}

// chooseProbe selects a slowed engine that was not probed for ProbeEvery. It skips
// engines with requests of this host, since those measure the speed already.
func (b *Placer) chooseProbe(now time.Time, d *Decision) bool {
	for i := range d.Considered {
		est := &d.Considered[i]
		e := b.engines[est.engineNumber]
		if est.Slowness < b.params.SlowRatio || e.inFlight > 0 || now.Before(e.warmAt) {
			continue
		}
		if e.tracker.TryProbe(now, b.params.ProbeEvery) {
			d.Chosen = *est
			d.Target = est.Target
			d.Reason = ReasonProbe
			return true
		}
	}
	return false
}
