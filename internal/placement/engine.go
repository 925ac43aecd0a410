package placement

import (
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/slowness"
)

const (
	jobSampleWeight = 0.1
	// defaultJobTime is assumed before the first request has finished.
	defaultJobTime = 2 * time.Second
	// reportMemory is how long the load placed by the entry hosts is compared
	// with a load report, which may be that late.
	reportMemory = 3 * time.Second
	// noticeableSlowness is the score below which a target counts as normal.
	noticeableSlowness = 1.3
	// outcomeWeight is the weight of one request in the share that failed.
	outcomeWeight = 0.2
	// failureHalfLife is the time in which half of that share is forgotten, so
	// that a target that has recovered is tried again.
	failureHalfLife = 2 * time.Second
)

// EngineSpec describes an engine that can be chosen.
type EngineSpec struct {
	Name          string
	FailureDomain string
	Models        []string
	Slots         int
	// PrefillRate is in prompt tokens per second, idle.
	PrefillRate float64
	TokenGap    time.Duration
	// MemoryTokens is the room for the prompts and answers of running requests,
	// 0 where it doesn't bind.
	MemoryTokens int
}

// LoadReport is what an engine said of its load, late.
type LoadReport struct {
	Running     int
	Waiting     int
	Versions    []string
	Leaving     bool
	Incarnation int64
}

// engine holds what is known of one engine.
type engine struct {
	number int32
	spec   EngineSpec
	gone   bool

	firstSeen   time.Time
	incarnation int64
	versions    []string
	leaving     bool
	leavingAt   time.Time
	unreachable bool
	avoidUntil  time.Time
	drainUntil  time.Time
	// failed is the share of recent requests that failed, as of failedAt.
	failed   float64
	failedAt time.Time

	inFlight int
	long     int
	suspects int
	// suspectLeft is when a suspect last ended without a first token.
	suspectLeft   time.Time
	prefillTokens float64
	// heldTokens are those of the prompts and answers of own requests.
	heldTokens   float64
	peerInFlight int
	peerPrefill  float64
	peerHeld     float64
	external     int
	peakInFlight int
	peakAt       time.Time
	jobTime      time.Duration

	slow      slowness.Tracker
	tokens    slowness.TokenRate
	candidate uint64
}

func newEngine(number int32, spec EngineSpec, now time.Time) *engine {
	return &engine{number: number, spec: spec, firstSeen: now, jobTime: defaultJobTime}
}

// load returns the requests at the engine, with those that only its reports
// tell of.
func (e *engine) load() int {
	return e.inFlight + e.peerInFlight + e.external
}

func (e *engine) holds(version string) bool {
	return slices.Contains(e.versions, version)
}

// slowness returns the score of the engine by this host's own measurements.
func (e *engine) slowness(now time.Time) float64 {
	if ratio, ok := e.tokens.Window(now, e.spec.TokenGap); ok {
		e.slow.ObserveRate(now, ratio)
	}
	return e.slow.Score(now)
}

// report takes in a load report. Requests that this host and its peers have
// placed in the meantime aren't counted twice.
func (e *engine) report(now time.Time, report LoadReport) {
	if report.Incarnation != e.incarnation {
		e.firstSeen = now
		e.incarnation = report.Incarnation
		e.leaving = false
		e.leavingAt = time.Time{}
	}
	e.versions = report.Versions
	// A report that is late must not revoke a newer sign of leaving.
	if report.Leaving || now.Sub(e.leavingAt) > reportMemory {
		e.leaving = report.Leaving
	}
	e.unreachable = false
	e.external = max(0, report.Running+report.Waiting-max(e.peak(now), e.inFlight+e.peerInFlight))
	e.notePeak(now)
}

// peak returns the most requests placed within the age a report may have.
func (e *engine) peak(now time.Time) int {
	if now.Sub(e.peakAt) > reportMemory {
		return e.inFlight + e.peerInFlight
	}
	return e.peakInFlight
}

func (e *engine) notePeak(now time.Time) {
	placed := e.inFlight + e.peerInFlight
	if placed >= e.peakInFlight || now.Sub(e.peakAt) > reportMemory {
		e.peakInFlight = placed
		e.peakAt = now
	}
}

// expectedWait estimates the time until a new request's prefill begins.
func (e *engine) expectedWait(slow float64) float64 {
	wait := (e.prefillTokens + e.peerPrefill) / e.spec.PrefillRate
	if over := e.load() - e.spec.Slots + 1; over > 0 {
		wait += float64(over) * e.jobTime.Seconds() / float64(e.spec.Slots)
	}
	wait += float64(e.load()) * runningCost
	return wait * slow
}

const (
	// runningCost is the time in seconds by which each running request slows a
	// new one.
	runningCost = 0.0005
	// memoryShare is the part of an engine's memory that may be taken before
	// new requests wait. The rest is for answers that grow.
	memoryShare = 0.9
)

// heldTokensOfAll returns the tokens of all requests at the engine. Those whose
// size nobody told are taken to be as large as the known ones.
func (e *engine) heldTokensOfAll() float64 {
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

// memoryTaken returns the part of the memory that is taken with a request.
func (e *engine) memoryTaken(req *Request) float64 {
	if e.spec.MemoryTokens == 0 {
		return 0
	}
	return (e.heldTokensOfAll() + float64(req.PromptTokens)) / float64(e.spec.MemoryTokens)
}

// memoryWait estimates the time in seconds until a request finds room.
func (e *engine) memoryWait(req *Request) float64 {
	held := e.heldTokensOfAll()
	over := (e.memoryTaken(req) - memoryShare) * float64(e.spec.MemoryTokens)
	if over <= 0 || held == 0 {
		return 0
	}
	return over / held * e.jobTime.Seconds()
}

// longSlots returns how many long requests may run at the same time.
func (e *engine) longSlots(percent float64) int {
	return max(1, int(float64(e.spec.Slots)*percent/100))
}

// warmUpSlots returns how many requests a new engine may hold already.
func (e *engine) warmUpSlots(now time.Time, warmUp time.Duration) int {
	age := now.Sub(e.firstSeen)
	if age >= warmUp {
		return 1 << 30
	}
	return max(1, int(float64(e.spec.Slots)*float64(age)/float64(warmUp)))
}

// failures returns the share of recent requests that failed.
func (e *engine) failures(now time.Time) float64 {
	if e.failed == 0 {
		return 0
	}
	return e.failed * math.Exp2(-now.Sub(e.failedAt).Seconds()/failureHalfLife.Seconds())
}

func (e *engine) outcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := e.failures(now)
	e.failed = share + (sample-share)*outcomeWeight
	e.failedAt = now
}
