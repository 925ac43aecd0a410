package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tieMargin is the relative difference below which two targets count as equal.
const tieMargin = 0.01

// answerWeight is the weight of the time a slowed target adds to the answer
// behind its first token.
const answerWeight = 0.1

// suspectWeight is the time in seconds that each request of others on a target
// counts against it when a suspect is placed.
const suspectWeight = 1

const (
	// failurePenalty is the time in seconds that a target counts as slower by
	// if all its recent requests failed.
	failurePenalty = 2
	// farPenalty is the time in seconds that a target in another failure domain
	// counts as slower by: the way there and back, and the price of the bytes.
	farPenalty = 0.008
	// copyPenalty is the time in seconds that each fetched token counts for the
	// room that its second copy takes from other prompts.
	copyPenalty = 1e-6
)

// affinityScore ranks targets for a prompt by rendezvous hashing.
func affinityScore(affinity uint64, target string) uint64 {
	return mix(affinity ^ xxhash.Sum64String(target))
}

// Place chooses a target for a request and writes the decision into d.
func (b *Placer) Place(now time.Time, req *Request, d *Decision) {
	considered := d.Considered[:0]
	*d = Decision{Reason: ReasonNoTarget, Considered: considered}
	p := b.pools[req.Model]
	if p == nil {
		return
	}
	b.refreshMedian(now, p)
	b.gather(p, req)
	storePieces, storeLink := b.storedPrefix(req)
	longFull, memoryFull := false, false
	for _, number := range b.picked {
		e := b.engines[number]
		if !b.eligible(now, e, req) {
			continue
		}
		if req.Long && e.long >= e.longSlots(b.params.LongSlotPercent) {
			longFull = true
			continue
		}
		if taken := e.memoryTaken(req); req.MaxMemoryShare > 0 && taken > req.MaxMemoryShare {
			if !memoryFull || taken < d.MemoryTaken {
				d.MemoryTaken = taken
			}
			memoryFull = true
			continue
		}
		d.Considered = append(d.Considered, b.estimate(now, p, e, req, storePieces, storeLink))
	}
	if len(d.Considered) == 0 {
		if longFull {
			d.Reason = ReasonNoLongSlot
		}
		if memoryFull {
			d.Reason = ReasonNoMemory
		}
		return
	}
	b.choose(now, req, d)
	if d.Chosen.Source == SourceStore {
		d.Store = storeLink.spec.Store
		d.ImportBlocks = storePieces
	}
}

// gather fills picked with the candidates of a request and notes how many
// pieces of its prompt each one is known to hold.
func (b *Placer) gather(p *pool, req *Request) {
	b.stamp++
	b.picked = b.picked[:0]
	b.holders = b.index.Holders(b.holders[:0], req.Chain, b.params.PreferredCount)
	for _, holder := range b.holders {
		if b.add(holder.Target) {
			b.depths[holder.Target] = holder.Blocks
		}
	}
	if len(p.engines) <= scanLimit {
		for _, e := range p.engines {
			b.add(e.number)
		}
		return
	}
	first := len(b.picked)
	b.picked, b.scratch = p.ring.pick(b.picked, b.scratch, affinity(req), b.params.PreferredCount)
	added := b.picked[first:]
	b.picked = b.picked[:first]
	for _, number := range added {
		b.add(number)
	}
	for range b.params.RandomCount {
		b.add(p.engines[b.rng.IntN(len(p.engines))].number)
	}
}

// add makes an engine a candidate, once.
func (b *Placer) add(number int32) bool {
	e := b.engines[number]
	if e.candidate == b.stamp {
		return false
	}
	e.candidate = b.stamp
	b.depths[number] = 0
	b.picked = append(b.picked, number)
	return true
}

// affinity returns the hash by which requests with the same beginning prefer
// the same targets.
func affinity(req *Request) uint64 {
	if len(req.Chain) > 0 {
		return binary.LittleEndian.Uint64(req.Chain[0][:8])
	}
	return xxhash.Sum64String(req.ID)
}

// storedPrefix returns the longest prefix of the prompt on a store host that
// can be reached.
func (b *Placer) storedPrefix(req *Request) (int, *link) {
	b.holders = b.stored.Holders(b.holders[:0], req.Chain, len(b.links))
	for _, holder := range b.holders {
		if l := b.links[holder.Target]; !l.down {
			return holder.Blocks, l
		}
	}
	return 0, nil
}

func (b *Placer) eligible(now time.Time, e *engine, req *Request) bool {
	if e.gone || !e.usable() || !e.holds(req.Version) || now.Before(e.avoidUntil) ||
		(req.Long && now.Before(e.drainUntil)) {
		return false
	}
	if req.Suspect && e.suspects > 0 {
		return false
	}
	if slices.Contains(req.Exclude, e.spec.Name) {
		return false
	}
	if !slices.Contains(e.spec.Models, req.Model) {
		return false
	}
	return e.load() < e.warmUpSlots(now, b.params.WarmUp)
}

// estimate works out the parts of the expected time on one engine.
func (b *Placer) estimate(now time.Time, p *pool, e *engine, req *Request, storePieces int, l *link) Estimate {
	slow := max(1, e.slowness(now)/p.median)
	if slow < noticeableSlowness {
		slow = 1
	}
	reused := req.prefixTokens(b.depths[e.number], b.params.BlockTokens)
	est := Estimate{
		Target:       e.spec.Name,
		Wait:         e.expectedWait(slow) + e.memoryWait(req),
		Slowness:     slow,
		Source:       SourceNone,
		ReusedTokens: reused,
		number:       e.number,
	}
	if reused > 0 {
		est.Source = SourceTarget
	}
	local := float64(req.PromptTokens-reused) / e.spec.PrefillRate
	est.Prefill = local * slow
	if l != nil && req.prefixTokens(storePieces, b.params.BlockTokens) > reused {
		b.considerImport(now, &est, e, req, storePieces, l)
	}
	b.considerFetch(&est, e, req)
	est.Penalty += failurePenalty * e.failures(now)
	if req.FailureDomain != "" && req.FailureDomain != e.spec.FailureDomain {
		est.Penalty += farPenalty
	}
	est.Penalty += answerWeight * (slow - 1) * float64(req.AnswerTokens) * e.spec.TokenGap.Seconds()
	if req.Suspect {
		est.Penalty += suspectWeight * float64(e.load())
	}
	return est
}

// considerImport replaces the recomputation of a stored part by its import
// where that is expected to be cheaper.
func (b *Placer) considerImport(now time.Time, est *Estimate, e *engine, req *Request, storePieces int, l *link) {
	stored := req.prefixTokens(storePieces, b.params.BlockTokens)
	imported := stored - est.ReusedTokens
	bytes := float64(imported) * b.params.BytesPerToken
	rest := float64(req.PromptTokens-stored) / e.spec.PrefillRate
	with := *est
	with.Source = SourceStore
	with.Import = l.transferTime(now, bytes)
	with.Prefill = rest * est.Slowness
	with.ImportedTokens = imported
	if with.Total() < est.Total() {
		*est = with
	}
}

// considerFetch replaces the recomputation of pieces that can be fetched from
// elsewhere, as far as that is expected to be cheaper.
func (b *Placer) considerFetch(est *Estimate, e *engine, req *Request) {
	held := b.depths[e.number]
	best := *est
	seconds := 0.0
	for piece := held; piece < len(req.FetchSeconds) && req.FetchSeconds[piece] > 0; piece++ {
		seconds += req.FetchSeconds[piece]
		tokens := req.prefixTokens(piece+1, b.params.BlockTokens)
		with := *est
		with.Source = SourceFetch
		with.Import = seconds
		with.Prefill = float64(req.PromptTokens-tokens) / e.spec.PrefillRate * est.Slowness
		with.ImportedTokens = tokens - est.ReusedTokens
		with.FirstBlock, with.EndBlock = held, piece+1
		with.Penalty += float64(with.ImportedTokens) * copyPenalty
		if with.Total() < best.Total() {
			best = with
		}
	}
	*est = best
}

// choose takes the least total, a random one of those that are nearly equal.
func (b *Placer) choose(now time.Time, req *Request, d *Decision) {
	if req.MayProbe && b.probe(now, d) {
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

// probe sends a request to a slowed engine that was not tried for a while and
// has no request of this host that would tell.
func (b *Placer) probe(now time.Time, d *Decision) bool {
	for i := range d.Considered {
		est := &d.Considered[i]
		e := b.engines[est.number]
		if est.Slowness < b.params.SlowRatio || e.inFlight > 0 {
			continue
		}
		if e.slow.ProbeDue(now, b.params.ProbeEvery) {
			d.Chosen = *est
			d.Target = est.Target
			d.Reason = ReasonProbe
			return true
		}
	}
	return false
}
