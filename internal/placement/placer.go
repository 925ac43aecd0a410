// Package placement chooses the target for each request by the expected time
// to its first token. It does no I/O, reads no clock and starts no goroutine;
// its caller serializes access.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

const (
	// scanLimit is the size of a pool up to which every target is compared.
	scanLimit = 32
	// medianEvery is the time between two looks at the pool's usual slowness.
	medianEvery  = 250 * time.Millisecond
	medianSample = 64
)

// Params are the settings of a Board.
type Params struct {
	PreferredCount  int
	RandomCount     int
	BlockTokens     int
	IndexEntries    int
	BytesPerToken   float64
	LongSlotPercent float64
	WarmUp          time.Duration
	SlowRatio       float64
	ProbeEvery      time.Duration
	Seed            uint64
}

// Placer holds what one entry host knows of the engines and the store links.
type Placer struct {
	params  Params
	rng     *rand.Rand
	engines []*engine
	numbers map[string]int32
	pools   map[string]*pool
	index   *prefix.Index
	stored  *prefix.Index
	links   []*link
	linkNo  map[string]int32

	stamp   uint64
	picked  []int32
	scratch []scored
	holders []prefix.Holder
	depths  []int
}

// pool is the set of engines that may run one model.
type pool struct {
	engines  []*engine
	ring     *ring
	median   float64
	medianAt time.Time
	// lateness is the usual ratio of measured to expected first tokens. It is
	// above one when other hosts cause waits that this one doesn't know of.
	lateness float64
}

// Bounds and weight of the usual lateness.
const (
	latenessWeight = 0.02
	mostLateness   = 5
)

// observeFirst takes the measured time of a first token into the usual ratio.
func (p *pool) observeFirst(measured, expected time.Duration) {
	ratio := min(mostLateness, float64(measured)/float64(expected))
	p.lateness = max(1, p.lateness+(ratio-p.lateness)*latenessWeight)
}

// NewPlacer returns a board without engines.
func NewPlacer(params Params) *Placer {
	return &Placer{
		params:  params,
		rng:     rand.New(rand.NewPCG(params.Seed, params.Seed^0x5bd1e995)),
		numbers: map[string]int32{},
		pools:   map[string]*pool{},
		index:   prefix.NewIndex(params.IndexEntries),
		stored:  prefix.NewIndex(params.IndexEntries),
		linkNo:  map[string]int32{},
	}
}

// SetEngines replaces the set of engines. What is known of engines that stay
// is kept; requests on engines that go end as usual.
func (b *Placer) SetEngines(now time.Time, specs []EngineSpec) {
	for _, e := range b.engines {
		e.gone = true
	}
	for _, spec := range specs {
		number, known := b.numbers[spec.Name]
		if known {
			b.engines[number].spec = spec
			b.engines[number].gone = false
			continue
		}
		number = b.freeNumber()
		e := newEngine(number, spec, now)
		b.engines[number] = e
		b.numbers[spec.Name] = number
	}
	b.rebuildPools()
}

// freeNumber returns the number of an engine that is gone and empty, or a new
// one, so that numbers stay small when engines come and go.
func (b *Placer) freeNumber() int32 {
	for number, e := range b.engines {
		if e.gone && e.inFlight == 0 && b.numbers[e.spec.Name] == int32(number) {
			delete(b.numbers, e.spec.Name)
			b.index.RemoveTarget(int32(number))
			return int32(number)
		}
	}
	b.engines = append(b.engines, nil)
	b.depths = append(b.depths, 0)
	return int32(len(b.engines) - 1)
}

func (b *Placer) rebuildPools() {
	members := map[string][]*engine{}
	for _, e := range b.engines {
		if e.gone {
			continue
		}
		for _, model := range e.spec.Models {
			members[model] = append(members[model], e)
		}
	}
	former := b.pools
	b.pools = make(map[string]*pool, len(members))
	for model, engines := range members {
		b.pools[model] = &pool{engines: engines, ring: newRing(engines), median: 1, lateness: 1}
		if known := former[model]; known != nil {
			b.pools[model].lateness = known.lateness
		}
	}
}

// SetLinks replaces the set of links to store hosts.
func (b *Placer) SetLinks(specs []LinkSpec) {
	for _, l := range b.links {
		l.down = true
	}
	for _, spec := range specs {
		if number, known := b.linkNo[spec.Store]; known {
			b.links[number].spec = spec
			b.links[number].down = false
			continue
		}
		number := int32(len(b.links))
		b.links = append(b.links, &link{number: number, spec: spec, share: 1})
		b.linkNo[spec.Store] = number
	}
}

// SetLinkDown notes whether a store host can be reached.
func (b *Placer) SetLinkDown(store string, down bool) {
	if number, ok := b.linkNo[store]; ok {
		b.links[number].down = down
	}
}

// ApplyReport takes in a load report. A restarted engine has lost its cache.
func (b *Placer) ApplyReport(now time.Time, target string, report LoadReport) {
	e := b.find(target)
	if e == nil {
		return
	}
	if e.incarnation != 0 && e.incarnation != report.Incarnation {
		b.index.RemoveTarget(e.number)
	}
	e.report(now, report)
}

// MarkUnreachable notes that a target didn't answer. It gets no new request until
// its next load report.
func (b *Placer) MarkUnreachable(target string) {
	if e := b.find(target); e != nil {
		e.unreachable = true
	}
}

// Holder returns a target that is known to hold a prefix and can be reached,
// or an empty name.
func (b *Placer) Holder(key prefix.Key) string {
	b.holders = b.index.Holders(b.holders[:0], []prefix.Key{key}, 1)
	for _, holder := range b.holders {
		if e := b.engines[holder.Target]; !e.gone && !e.unreachable {
			return e.spec.Name
		}
	}
	return ""
}

// Avoid gives a target no new request until a time.
func (b *Placer) Avoid(target string, until time.Time) {
	if e := b.find(target); e != nil && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// Drain gives a target no new long request until a time.
func (b *Placer) Drain(target string, until time.Time) {
	if e := b.find(target); e != nil {
		e.drainUntil = until
	}
}

// Resume ends what Avoid began.
func (b *Placer) Resume(target string) {
	if e := b.find(target); e != nil {
		e.avoidUntil = time.Time{}
	}
}

// RecordOutcome notes whether a request on a target failed there.
func (b *Placer) RecordOutcome(now time.Time, target string, failed bool) {
	if e := b.find(target); e != nil {
		e.outcome(now, failed)
	}
}

// MarkLeaving notes that a target is going away, from its own answer or from the
// host list.
func (b *Placer) MarkLeaving(now time.Time, target string) {
	if e := b.find(target); e != nil {
		e.leaving = true
		e.leavingAt = now
	}
}

// SetPeerLoad notes what the other entry hosts tell of a target.
func (b *Placer) SetPeerLoad(now time.Time, target string, load TargetLoad) {
	if e := b.find(target); e != nil {
		e.peerInFlight = load.Requests
		e.peerPrefill = load.PrefillTokens
		e.peerHeld = load.HeldTokens
		e.notePeak(now)
	}
}

// RecordCached notes that a target holds a prefix, or no longer does.
func (b *Placer) RecordCached(target string, key prefix.Key, removed bool) {
	e := b.find(target)
	if e == nil {
		return
	}
	if removed {
		b.index.Remove(key, e.number)
		return
	}
	b.index.Add(key, e.number)
}

// ClearCache drops what is known of a target's cache, after a gap in its
// events that can't be closed.
func (b *Placer) ClearCache(target string) {
	if e := b.find(target); e != nil {
		b.index.RemoveTarget(e.number)
	}
}

// RecordStored notes that a store host holds a prefix, or no longer does.
func (b *Placer) RecordStored(store string, key prefix.Key, removed bool) {
	number, ok := b.linkNo[store]
	if !ok {
		return
	}
	if removed {
		b.stored.Remove(key, number)
		return
	}
	b.stored.Add(key, number)
}

// ObserveLink compares a finished transfer with its estimate.
func (b *Placer) ObserveLink(store string, expected, measured time.Duration) {
	if number, ok := b.linkNo[store]; ok {
		b.links[number].observe(expected, measured)
	}
}

// LinkBacklog returns how long a store host's link is booked.
func (b *Placer) LinkBacklog(now time.Time, store string) time.Duration {
	number, ok := b.linkNo[store]
	if !ok {
		return 0
	}
	return max(0, b.links[number].busyTil.Sub(now))
}

// ReserveLink counts a transfer that is ordered now.
func (b *Placer) ReserveLink(now time.Time, store string, bytes float64) {
	if number, ok := b.linkNo[store]; ok {
		b.links[number].book(now, bytes)
	}
}

// VersionShare returns the share of the model's engines that can serve a
// version, from 0 to 1.
func (b *Placer) VersionShare(model, version string) float64 {
	p := b.pools[model]
	if p == nil || len(p.engines) == 0 {
		return 0
	}
	ready := 0
	for _, e := range p.engines {
		if e.usable() && e.holds(version) {
			ready++
		}
	}
	return float64(ready) / float64(len(p.engines))
}

// Slots returns the slots of all engines that can be used.
func (b *Placer) Slots() int {
	slots := 0
	for _, e := range b.engines {
		if !e.gone && e.usable() {
			slots += e.spec.Slots
		}
	}
	return slots
}

// TargetLoad is what one host, or several together, have placed on a target.
type TargetLoad struct {
	Target        string
	Requests      int
	PrefillTokens float64
	Slowness      float64
	// HeldTokens are those of the prompts and answers of the requests, 0 if
	// unknown.
	HeldTokens float64
}

// Loads lists the targets that run requests of this host, or are slowed, those
// with most prompt tokens to compute first and at most so many.
func (b *Placer) Loads(now time.Time, most int) []TargetLoad {
	var list []TargetLoad
	for _, e := range b.engines {
		score := e.slow.Score(now)
		if e.gone || (e.inFlight == 0 && score < noticeableSlowness) {
			continue
		}
		list = append(list, TargetLoad{
			Target: e.spec.Name, Requests: e.inFlight, PrefillTokens: e.prefillTokens, Slowness: score, HeldTokens: e.heldTokens,
		})
	}
	slices.SortFunc(list, func(a, b TargetLoad) int { return cmp.Compare(b.PrefillTokens, a.PrefillTokens) })
	return list[:min(most, len(list))]
}

// IsCached reports whether a key was seen on any target or store host.
func (b *Placer) IsCached(key prefix.Key) bool {
	return b.index.Contains(key) || b.stored.Contains(key)
}

// LinkDown reports whether a store host is known to be out of reach.
func (b *Placer) LinkDown(store string) bool {
	number, ok := b.linkNo[store]
	return !ok || b.links[number].down
}

// Usable reports whether a target may get new requests.
func (b *Placer) Usable(target string) bool {
	e := b.find(target)
	return e != nil && !e.gone && e.usable()
}

// HasVersion reports whether an engine has loaded a version.
func (b *Placer) HasVersion(target, version string) bool {
	e := b.find(target)
	return e != nil && e.holds(version)
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

// refreshMedian looks at the usual slowness of a pool's engines now and then.
func (b *Placer) refreshMedian(now time.Time, p *pool) {
	if now.Sub(p.medianAt) < medianEvery {
		return
	}
	p.medianAt = now
	step := max(1, len(p.engines)/medianSample)
	scores := make([]float64, 0, medianSample+1)
	for i := 0; i < len(p.engines); i += step {
		scores = append(scores, p.engines[i].slow.Score(now))
	}
	slices.Sort(scores)
	p.median = max(1, scores[len(scores)/2])
}
