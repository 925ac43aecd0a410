// Package placement selects the target for each request by the expected time
// to its first token. It does no I/O, reads no clock and starts no goroutine.
// The caller serializes access.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

const (
	// fullScanLimit is the size of the largest pool whose engines are all
	// candidates for every request.
	fullScanLimit = 32
	// medianInterval is the minimum time between two updates of the median
	// slowness of a pool.
	medianInterval   = 250 * time.Millisecond
	medianSampleSize = 64
)

// Params configures a Placer.
type Params struct {
	// PreferredCount limits the candidates by cached prefix and, in pools above
	// fullScanLimit, those by rendezvous hash. RandomCount is the number of random
	// candidates in such pools.
	PreferredCount  int
	RandomCount     int
	BlockTokens     int
	IndexEntries    int
	BytesPerToken   float64
	LongSlotPercent float64
	WarmUp          time.Duration
	SlowRatio       float64
	ProbeEvery      time.Duration
	Pace            PaceParams
	Seed            uint64
}

// Placer selects targets from the state of the engines and of the links to
// store hosts, as one entry host knows it.
type Placer struct {
	params  Params
	rng     *rand.Rand
	engines []*engine
	// numbers maps engine names to engine numbers, the indexes of the engines slice.
	numbers map[string]int32
	pools   map[string]*enginePool
	// cached holds the prefixes on engines, stored those on store hosts.
	cached      *prefix.Index
	stored      *prefix.Index
	links       []*link
	linkNumbers map[string]int32

	// round counts the calls of Place.
	round      uint64
	candidates []int32
	scratch    []scored
	holders    []prefix.Holder
	// cachedBlocks is the number of blocks of the current prompt that each
	// engine has cached, by engine number.
	cachedBlocks []int
	// anyCold is set if an engine may be cold, and evacuated contains the failure domains whose
	// engines get no new requests.
	anyCold   bool
	evacuated map[string]bool
}

// enginePool is the set of engines that may run one model.
type enginePool struct {
	engines        []*engine
	rendezvous     *rendezvous
	medianSlowness float64
	medianAt       time.Time
	// lateness is the moving average of measured over expected time to first
	// token. It exceeds 1 when other hosts cause waits that this host does not
	// know about.
	lateness float64
	// requestTime and firstTime are low estimates of the time from the placement of a
	// request to its end and to its first token, see observeTime.
	requestTime, firstTime time.Duration
	// meanRequests and meanPrefill are the means of the requests and of the prompt tokens
	// that the other entry hosts reported for each engine, as of meanOf.
	meanRequests, meanPrefill float64
	meanOf                    time.Time
	pace                      pacePool
}

// Weight and upper bound of one sample in the moving average of the lateness.
const (
	latenessWeight = 0.02
	maxLateness    = 5
)

// observeFirst adds a measured time to first token to the lateness.
func (p *enginePool) observeFirst(measured, expected time.Duration) {
	ratio := min(maxLateness, float64(measured)/float64(expected))
	p.lateness = max(1, p.lateness+(ratio-p.lateness)*latenessWeight)
}

// NewPlacer returns a Placer without engines.
func NewPlacer(params Params) *Placer {
	return &Placer{
		params:      params,
		rng:         rand.New(rand.NewPCG(params.Seed, params.Seed^0x5bd1e995)),
		numbers:     map[string]int32{},
		pools:       map[string]*enginePool{},
		cached:      prefix.NewIndex(params.IndexEntries),
		stored:      prefix.NewIndex(params.IndexEntries),
		linkNumbers: map[string]int32{},
	}
}

// SetEngines replaces the set of engines. Engines that remain keep their
// state. Requests on removed engines end as usual.
func (b *Placer) SetEngines(now time.Time, specs []EngineSpec) {
	removed, before, kept, changed := make([]bool, len(b.engines)), 0, 0, false
	for number, e := range b.engines {
		if !e.removed {
			before++
		}
		removed[number], e.removed = e.removed, true
	}
	// The known engines come first, so that none of them seems free for a new one.
	var added []EngineSpec
	for _, spec := range specs {
		number, known := b.numbers[spec.Name]
		if !known {
			added = append(added, spec)
			continue
		}
		e := b.engines[number]
		changed = changed || removed[number] || e.spec.Slots != spec.Slots || !slices.Equal(e.spec.Models, spec.Models)
		e.spec, e.removed = spec, false
		kept++
		b.setPace(now, e, false)
	}
	for _, spec := range added {
		number := b.freeNumber()
		e := newEngine(number, spec, now)
		b.setPace(now, e, false)
		b.engines[number] = e
		b.numbers[spec.Name] = number
	}
	if changed || len(added) > 0 || kept != before { // Most calls change neither the set of engines nor their pools.
		b.rebuildPools()
	}
}

// freeNumber returns the number of a removed engine that runs no request, or a
// new number. Reuse keeps the numbers small when engines are added and removed.
func (b *Placer) freeNumber() int32 {
	for number, e := range b.engines {
		if e.removed && e.inFlight == 0 && b.numbers[e.spec.Name] == int32(number) {
			delete(b.numbers, e.spec.Name)
			b.cached.RemoveTarget(int32(number))
			return int32(number)
		}
	}
	b.engines = append(b.engines, nil)
	b.cachedBlocks = append(b.cachedBlocks, 0)
	return int32(len(b.engines) - 1)
}

func (b *Placer) rebuildPools() {
	members := map[string][]*engine{}
	for _, e := range b.engines {
		if e.removed {
			continue
		}
		for _, model := range e.spec.Models {
			members[model] = append(members[model], e)
		}
	}
	former := b.pools
	b.pools = make(map[string]*enginePool, len(members))
	for model, engines := range members {
		b.pools[model] = &enginePool{engines: engines, rendezvous: newRendezvous(engines), medianSlowness: 1, lateness: 1}
		if known := former[model]; known != nil {
			b.pools[model].lateness = known.lateness
			b.pools[model].requestTime, b.pools[model].firstTime = known.requestTime, known.firstTime
			b.pools[model].pace = known.pace
		}
	}
}

// SetLinks replaces the set of links to store hosts.
func (b *Placer) SetLinks(specs []LinkSpec) {
	for _, l := range b.links {
		l.down = true
	}
	for _, spec := range specs {
		if number, known := b.linkNumbers[spec.Store]; known {
			b.links[number].spec = spec
			b.links[number].down = false
			continue
		}
		number := int32(len(b.links))
		b.links = append(b.links, &link{number: number, spec: spec, share: 1})
		b.linkNumbers[spec.Store] = number
	}
}

// SetLinkDown records whether a store host is unreachable.
func (b *Placer) SetLinkDown(store string, down bool) {
	if number, ok := b.linkNumbers[store]; ok {
		b.links[number].down = down
	}
}

// ApplyReport applies a load report. A report with a new incarnation clears the
// cache state, since a restarted engine has lost its cache.
func (b *Placer) ApplyReport(now time.Time, target string, report LoadReport) {
	e := b.find(target)
	if e == nil {
		return
	}
	if e.incarnation != 0 && e.incarnation != report.Incarnation {
		b.cached.RemoveTarget(e.number)
	}
	b.setPace(now, e, e.incarnation != report.Incarnation)
	e.applyReport(now, report)
}

// MarkUnreachable records that a target did not answer. The target gets no new
// request until its next load report.
func (b *Placer) MarkUnreachable(target string) {
	if e := b.find(target); e != nil {
		e.unreachable = true
	}
}

// Holder returns a reachable target other than excluded that has cached a prefix, or an
// empty string if none is known.
func (b *Placer) Holder(key prefix.Key, excluded string) string {
	b.holders = b.cached.Holders(b.holders[:0], []prefix.Key{key}, maxHolders)
	for _, holder := range b.holders {
		if e := b.engines[holder.Target]; !e.removed && !e.unreachable && e.spec.Name != excluded {
			return e.spec.Name
		}
	}
	return ""
}

// maxHolders is the number of holders of a prefix among which Holder chooses.
const maxHolders = 4

// RecordOutcome records whether a request failed on a target.
func (b *Placer) RecordOutcome(now time.Time, target string, failed bool) {
	if e := b.find(target); e != nil {
		e.recordOutcome(now, failed)
	}
}

// MarkLeaving records that a target is leaving, according to its own answer or
// to the host list.
func (b *Placer) MarkLeaving(now time.Time, target string) {
	if e := b.find(target); e != nil {
		e.leaving = true
		e.leavingAt = now
	}
}

// RecordCached records that a target has cached a prefix or removed it.
func (b *Placer) RecordCached(target string, key prefix.Key, removed bool) {
	e := b.find(target)
	if e == nil {
		return
	}
	if removed {
		b.cached.Remove(key, e.number)
		return
	}
	b.cached.Add(key, e.number)
}

// ClearCache removes the cache state of a target. It is called when the cache
// events of the target show that it has restarted without data.
func (b *Placer) ClearCache(target string) {
	if e := b.find(target); e != nil {
		b.cached.RemoveTarget(e.number)
	}
}

// RecordStored records that a store host has stored a prefix or removed it.
func (b *Placer) RecordStored(store string, key prefix.Key, removed bool) {
	number, ok := b.linkNumbers[store]
	if !ok {
		return
	}
	if removed {
		b.stored.Remove(key, number)
		return
	}
	b.stored.Add(key, number)
}

// ObserveLink updates the speed of the link to a store host from the expected
// and the measured time of a finished transfer.
func (b *Placer) ObserveLink(store string, expected, measured time.Duration) {
	if number, ok := b.linkNumbers[store]; ok {
		b.links[number].observe(expected, measured)
	}
}

// LinkBacklog returns the time until all transfers on the link to a store host
// are expected to be done.
func (b *Placer) LinkBacklog(now time.Time, store string) time.Duration {
	number, ok := b.linkNumbers[store]
	if !ok {
		return 0
	}
	return max(0, b.links[number].busyUntil.Sub(now))
}

// ReserveLink adds a transfer that is requested now to the backlog of the link.
func (b *Placer) ReserveLink(now time.Time, store string, bytes float64) {
	if number, ok := b.linkNumbers[store]; ok {
		b.links[number].reserve(now, bytes)
	}
}

// VersionShare returns the share of the engines of a model that can serve a
// version, from 0 to 1.
func (b *Placer) VersionShare(model, version string) float64 {
	pool := b.pools[model]
	if pool == nil || len(pool.engines) == 0 {
		return 0
	}
	ready := 0
	for _, e := range pool.engines {
		if e.usable() && e.hasVersion(version) {
			ready++
		}
	}
	return float64(ready) / float64(len(pool.engines))
}

// Slots returns the number of slots of all usable engines.
func (b *Placer) Slots() int {
	slots := 0
	for _, e := range b.engines {
		if !e.removed && e.usable() {
			slots += e.spec.Slots
		}
	}
	return slots
}

// TargetLoad is the load that one or several hosts have placed on a target.
type TargetLoad struct {
	Target        string
	Requests      int
	PrefillTokens float64
	Slowness      float64
	// HeldTokens is the number of tokens in the prompts and expected answers of the
	// requests, 0 if unknown.
	HeldTokens float64
	// Age is the time since the load was as described.
	Age time.Duration
	// Pace are the times that requests took, empty if unknown.
	Pace pace.Sums
}

// Loads lists up to limit targets that run requests of this host or are slowed,
// in descending order of the prompt tokens to compute.
func (b *Placer) Loads(now time.Time, limit int) []TargetLoad {
	var list []TargetLoad
	for _, e := range b.engines {
		score := e.tracker.Score(now)
		paced := e.reportPace(now)
		if e.removed || (e.inFlight == 0 && score < slownessThreshold && paced.Empty()) {
			continue
		}
		list = append(list, TargetLoad{
			Target: e.spec.Name, Requests: e.inFlight, PrefillTokens: e.prefillTokens, Slowness: score, HeldTokens: e.heldTokens, Pace: paced,
		})
	}
	// Times of targets come first: those of plain services have few tokens to compute.
	slices.SortFunc(list, func(a, b TargetLoad) int {
		if a.Pace.Empty() != b.Pace.Empty() {
			if b.Pace.Empty() {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.PrefillTokens, a.PrefillTokens)
	})
	return list[:min(limit, len(list))]
}

// IsCached reports whether any target or store host is known to hold a prefix.
func (b *Placer) IsCached(key prefix.Key) bool {
	return b.cached.Contains(key) || b.stored.Contains(key)
}

// LinkDown reports whether a store host is unreachable or unknown.
func (b *Placer) LinkDown(store string) bool {
	number, ok := b.linkNumbers[store]
	return !ok || b.links[number].down
}

// Usable reports whether a target is in the set of engines, reachable and not
// leaving. It does not consider Avoid and Drain.
func (b *Placer) Usable(target string) bool {
	e := b.find(target)
	return e != nil && !e.removed && e.usable()
}

// HasVersion reports whether a target has loaded a version.
func (b *Placer) HasVersion(target, version string) bool {
	e := b.find(target)
	return e != nil && e.hasVersion(version)
}

func (b *Placer) find(target string) *engine {
	number, ok := b.numbers[target]
	if !ok {
		return nil
	}
	return b.engines[number]
}

func (e *engine) usable() bool {
	return !e.leaving && !e.unreachable
}

// refreshMedianSlowness updates the median slowness of a pool from a sample of
// its engines, at most once per medianInterval.
func (b *Placer) refreshMedianSlowness(now time.Time, pool *enginePool) {
	if now.Sub(pool.medianAt) < medianInterval {
		return
	}
	pool.medianAt = now
	step := max(1, len(pool.engines)/medianSampleSize)
	scores := make([]float64, 0, medianSampleSize+1)
	for i := 0; i < len(pool.engines); i += step {
		scores = append(scores, pool.engines[i].tracker.Score(now))
	}
	slices.Sort(scores)
	pool.medianSlowness = max(1, scores[len(scores)/2])
}
