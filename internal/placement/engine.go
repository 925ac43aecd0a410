package placement

import (
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/slowness"
)

const (
	// requestTimeWeight is the weight of one request in the moving average.
	requestTimeWeight = 0.1
	// defaultRequestTime is assumed until the first request has finished.
	defaultRequestTime = 2 * time.Second
	// maxReportAge is the maximum delay of a load report. The load placed by
	// entry hosts within this time is compared with the report.
	maxReportAge = 3 * time.Second
	// slownessThreshold is the score, absolute or relative to the median of the
	// pool, below which a target counts as normal.
	slownessThreshold = 1.3
	// outcomeWeight is the weight of one request in the failure share.
	outcomeWeight = 0.2
	// failureHalfLife is the half-life of the failure share. The share decays so
	// that a target that has recovered is tried again.
	failureHalfLife = 2 * time.Second
)

// EngineSpec describes an engine. A target of a plain service is described as an
// engine whose model is the service.
type EngineSpec struct {
	Name          string
	FailureDomain string
	Models        []string
	// Build is the version of the software of the engine.
	Build string
	// Unannounced is set while no stream that can be resumed may begin on the engine. Those that
	// began at its build may go on there.
	Unannounced bool
	// Plain is set for a target of a plain service.
	Plain bool
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// PrefillRate is the speed of an idle engine in prompt tokens per second.
	PrefillRate float64
	// TokenGap is the time between two answer tokens of a request on an idle
	// engine, 0 if it is unknown.
	TokenGap time.Duration
	// MemoryTokens is the memory for the prompts and answers of running requests
	// in tokens, 0 for no limit.
	MemoryTokens int
}

// LoadReport is the load that an engine has reported. It arrives with a delay.
type LoadReport struct {
	Running     int
	Waiting     int
	Versions    []string
	Leaving     bool
	Incarnation int64
	// LoadUnknown is set if Running and Waiting are not known.
	LoadUnknown bool
}

// engine is the state of one engine as this host knows it.
type engine struct {
	number  int32
	spec    EngineSpec
	removed bool

	firstSeen   time.Time
	incarnation int64
	versions    []string
	leaving     bool
	leavingAt   time.Time
	unreachable bool
	avoidUntil  time.Time
	drainUntil  time.Time
	// quietUntil is until when the engine wants no requests of this host, and pacedUntil when
	// its limit of requests allows the next one of this host.
	quietUntil, pacedUntil time.Time
	// warmAt is when the engine is warm, and coldUntil when this host may send it the next request
	// while it is cold. Both are zero for a warm engine.
	warmAt, coldUntil time.Time
	// restriction limits the requests of this host, nil for no limit.
	restriction *Restriction
	// failureShare is the share of recent requests that failed, as of
	// failureShareAt.
	failureShare   float64
	failureShareAt time.Time

	// Requests of this host.
	inFlight     int
	longInFlight int
	// suspects is the number of suspects without a first token.
	suspects int
	// suspectEndedAt is when a suspect last ended without a first token.
	suspectEndedAt time.Time
	// prefillTokens is the number of prompt tokens that are still to be computed.
	prefillTokens float64
	// heldTokens is the number of tokens in the prompts and the expected answers.
	heldTokens float64

	// Requests of the other entry hosts, as expected now, see enginePool.expectPeers.
	peerInFlight int
	peerPrefill  float64
	peerHeld     float64
	// reported is what the other entry hosts reported, as of reportedAt.
	reported   TargetLoad
	reportedAt time.Time

	// otherRequests is the number of reported requests that no entry host has
	// placed.
	otherRequests int
	// peakInFlight is the largest number of requests of all entry hosts, at peakAt.
	peakInFlight int
	peakAt       time.Time
	// requestTime is the moving average of the time from placement to end, without
	// long requests.
	requestTime time.Duration

	// pace estimates how many requests the engine handles well, nil if that is off.
	pace *pace.Target
	// share is the share of the requests of its pool that the engine should get, and lacking the
	// number of requests by which it has got less than that.
	share, lacking float64
	paceReported   pacedReport
	tracker        slowness.Tracker
	tokenRate      slowness.TokenRate
	// candidateRound is the round in which the engine was last a candidate.
	candidateRound uint64
}

func newEngine(number int32, spec EngineSpec, now time.Time) *engine {
	return &engine{number: number, spec: spec, firstSeen: now, requestTime: defaultRequestTime}
}

// closedUntil returns until when the engine takes no request of this host.
func (e *engine) closedUntil() time.Time {
	until := e.quietUntil
	if e.pacedUntil.After(until) {
		until = e.pacedUntil
	}
	if e.coldUntil.After(until) {
		until = e.coldUntil
	}
	return until
}

// load returns the number of requests at the engine, including those that are
// known only from its reports.
func (e *engine) load() int {
	return e.inFlight + e.peerInFlight + e.otherRequests
}

func (e *engine) hasVersion(version string) bool {
	return slices.Contains(e.versions, version)
}

// slowness returns the slowness score from the measurements of this host. It
// first adds the token rate to the score if the current window can be closed.
func (e *engine) slowness(now time.Time) float64 {
	if ratio, ok := e.tokenRate.CloseWindow(now, e.spec.TokenGap); ok {
		e.tracker.ObserveRate(now, ratio)
		e.observeGap(now, ratio)
	}
	return e.tracker.Score(now)
}

// applyReport applies a load report. It sets otherRequests to the reported requests
// minus the peak of those that this host and its peers have had in flight: the
// report counts them too and, since it is delayed, also those that have ended
// meanwhile.
func (e *engine) applyReport(now time.Time, report LoadReport) {
	if report.Incarnation != e.incarnation {
		e.firstSeen = now
		e.incarnation = report.Incarnation
		e.leaving = false
		e.leavingAt = time.Time{}
		e.quietUntil, e.pacedUntil, e.restriction = time.Time{}, time.Time{}, nil
		e.warmAt, e.coldUntil = time.Time{}, time.Time{}
		e.otherRequests = 0
	}
	e.versions = report.Versions
	// A delayed report must not revoke a newer MarkLeaving.
	if report.Leaving || now.Sub(e.leavingAt) > maxReportAge {
		e.leaving = report.Leaving
	}
	e.unreachable = false
	if !report.LoadUnknown {
		e.otherRequests = max(0, report.Running+report.Waiting-max(e.peak(now), e.inFlight+e.peerInFlight))
	}
	e.updatePeak(now)
}

// peak returns the largest number of requests that the entry hosts have had in
// flight within maxReportAge.
func (e *engine) peak(now time.Time) int {
	if now.Sub(e.peakAt) > maxReportAge {
		return e.inFlight + e.peerInFlight
	}
	return e.peakInFlight
}

func (e *engine) updatePeak(now time.Time) {
	placed := e.inFlight + e.peerInFlight
	if placed >= e.peakInFlight || now.Sub(e.peakAt) > maxReportAge {
		e.peakInFlight = placed
		e.peakAt = now
	}
}

// expectedWait estimates the time in seconds until the prefill of a new request
// begins.
func (e *engine) expectedWait(slow float64) float64 {
	wait := (e.prefillTokens + e.peerPrefill) / e.spec.PrefillRate
	if excess := e.load() - e.spec.Slots + 1; excess > 0 {
		wait += float64(excess) * e.requestTime.Seconds() / float64(e.spec.Slots)
	}
	wait += float64(e.load()) * runningCostSeconds
	return wait * slow
}

const (
	// runningCostSeconds is the time by which each running request delays a new
	// one.
	runningCostSeconds = 0.0005
	// memoryWaitThreshold is the share of the memory of an engine above which a
	// new request is expected to wait. The rest is left for growing answers.
	memoryWaitThreshold = 0.9
)

// totalHeldTokens returns the number of tokens of all requests at the engine.
// Requests of unknown size are assumed to be as large as the average known one.
// It returns 0 if no size is known.
func (e *engine) totalHeldTokens() float64 {
	held, known := e.heldTokens, e.inFlight
	if e.peerHeld > 0 {
		held += e.peerHeld
		known += e.peerInFlight
	}
	if known == 0 {
		return 0
	}
	return held / float64(known) * float64(e.load())
}

// memoryTaken returns the share of the memory in use with the prompt of req
// included.
func (e *engine) memoryTaken(req *Request) float64 {
	if e.spec.MemoryTokens == 0 {
		return 0
	}
	return (e.totalHeldTokens() + float64(req.PromptTokens)) / float64(e.spec.MemoryTokens)
}

// memoryWait estimates the time in seconds until there is memory for a request.
func (e *engine) memoryWait(req *Request) float64 {
	held := e.totalHeldTokens()
	excess := (e.memoryTaken(req) - memoryWaitThreshold) * float64(e.spec.MemoryTokens)
	if excess <= 0 || held == 0 {
		return 0
	}
	return excess / held * e.requestTime.Seconds()
}

// longSlots returns the maximum number of concurrent long requests that this host
// places on the engine.
func (e *engine) longSlots(percent float64) int {
	return max(1, int(float64(e.spec.Slots)*percent/100))
}

// warmUpSlots returns the maximum number of requests at an engine, which grows
// with the age of the engine during warm-up and is unlimited afterwards. An
// engine that has restarted counts as new.
func (e *engine) warmUpSlots(now time.Time, warmUp time.Duration) int {
	age := now.Sub(e.firstSeen)
	if age >= warmUp {
		return 1 << 30
	}
	return max(1, int(float64(e.spec.Slots)*float64(age)/float64(warmUp)))
}

// currentFailureShare returns the failure share, decayed to now.
func (e *engine) currentFailureShare(now time.Time) float64 {
	if e.failureShare == 0 {
		return 0
	}
	return e.failureShare * math.Exp2(-now.Sub(e.failureShareAt).Seconds()/failureHalfLife.Seconds())
}

func (e *engine) recordOutcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := e.currentFailureShare(now)
	e.failureShare = share + (sample-share)*outcomeWeight
	e.failureShareAt = now
}
