package config

import (
	"time"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Routed holds the settings of an entry host that reads its routes, services and
// client accounts from the platform's table service, where operators write them.
type Routed struct {
	// Host is the name of this host. It must be unique among the entry hosts.
	Host string `json:"host"`
	// FailureDomain is the failure domain in which this host runs.
	FailureDomain string `json:"failureDomain"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `json:"logLevel"`

	Callers   Listener `json:"callers"`
	Readiness Listener `json:"readiness"`
	Metrics   Listener `json:"metrics"`

	Peers RoutedPeers `json:"peers"`
	Table Table       `json:"table"`
	// Settings of these groups that routed hosts do not use, see unusedByRouted, are
	// refused.
	Placement Placement     `json:"placement"`
	Slowness  Slowness      `json:"slowness"`
	Retries   RoutedRetries `json:"retries"`
	Ledger    Ledger        `json:"ledger"`
	Rollout   Rollout       `json:"rollout"`
	Shards    Shards        `json:"shards"`

	ColdTargets ColdTargets `json:"coldTargets"`
	Evacuation  Evacuation  `json:"evacuation"`
	Pace        Pace        `json:"pace"`

	// PrefillTokensPerSecond is the expected rate at which an engine processes
	// prompts.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	// MemoryShare is the share of an engine's cache memory that the prompts and answers
	// of its requests may use when a request of the highest priority is placed.
	// MemoryStep is how much smaller the share is for each lower priority. The share is
	// at least 0.5. Requests beyond it are refused, so that the running ones do not slow
	// each other down. MemoryShare may be above 1, because prompt parts that several
	// requests share are stored once.
	MemoryShare float64 `json:"memoryShare"`
	MemoryStep  float64 `json:"memoryStep"`
	// TokenGap is the shortest usual interval between two tokens of a stream. It is
	// expected of an idle engine.
	TokenGap Duration `json:"tokenGap"`
	// PlainSlotRate is the assumed number of requests per second that one slot of a
	// plain service serves.
	PlainSlotRate float64 `json:"plainRate"`
	// MemoryBytes is the memory that this process may use. The memory limit of the Go
	// runtime and the limits of what other parties may hold are parts of it. 0 sets none
	// of them.
	MemoryBytes int64 `json:"memoryBytes"`
	// Capacity is the weight with which this host owns shards of engines, in a unit that is the same
	// for all hosts, such as the rate of its link. 0 counts as 1.
	Capacity float64 `json:"capacity"`
	// ShutdownDelay is the time between reporting not ready and refusing requests, in
	// which the balancer switches to other hosts.
	ShutdownDelay Duration `json:"stopDelay"`
	// ShutdownTimeout limits a graceful shutdown up to the last write to the ledger,
	// which Table.CallTimeout limits.
	ShutdownTimeout Duration `json:"stopWithin"`
	// KillAfter is the time from the stop signal until the platform kills the process.
	// The graceful shutdown is shortened if necessary to end before that.
	KillAfter Duration `json:"killedAfter"`
}

// finalWriteShare is the share of KillAfter that is reserved for the last writes of
// a host after its requests have ended.
const finalWriteShare = 1.0 / 8

// ShutdownTimes returns the time from reporting not ready to closing the listeners,
// and the time, including the delay, in which running requests have to end.
func (c *Routed) ShutdownTimes() (delay, timeout time.Duration) {
	timeout = min(c.ShutdownTimeout.Duration, time.Duration((1-finalWriteShare)*float64(c.KillAfter.Duration)))
	return min(c.ShutdownDelay.Duration, timeout/2), timeout
}

// Listener configures an address on which a host listens.
type Listener struct {
	Listen string `json:"listen"`
}

// RoutedPeers configures the membership protocol among routed hosts.
type RoutedPeers struct {
	// Listen, Interval, FanOut, SuspicionTimeout and ForgetAfter are the same as in Peers.
	Listen           string   `json:"listen"`
	Interval         Duration `json:"interval"`
	FanOut           int      `json:"fanOut"`
	SuspicionTimeout Duration `json:"suspectAfter"`
	ForgetAfter      Duration `json:"forgetAfter"`
	// LoadMaxAge is how long the load that a peer reported is used.
	LoadMaxAge Duration `json:"loadsFor"`
}

// Shards configures the division of engines among hosts that place the requests for them.
type Shards struct {
	// AboveHosts is the number of hosts above which the owners of shards place requests. 0 turns
	// shards off.
	AboveHosts int `json:"aboveHosts"`
	// Targets is the least number of targets of a shard; shards have fewer than twice as many.
	Targets int `json:"targets"`
	// Queue lets requests wait for room at the owner of a shard, which decides about their order and
	// refuses those that it can't serve in time.
	Queue bool `json:"queue"`
}

// Table configures the client of the table service.
type Table struct {
	URL         string   `json:"url"`
	CallTimeout Duration `json:"callTimeout"`
	// ReadsPerSecond and WritesPerSecond limit the calls of this host.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// BreakerFailures and BreakerPause are the same as in Platform.
	BreakerFailures int      `json:"breakerFailures"`
	BreakerPause    Duration `json:"breakerPause"`
	// ChangeWait is how long one call waits for a change of the configuration or of
	// the list of targets. It also limits how long an unresponsive connection goes
	// unnoticed.
	ChangeWait Duration `json:"changeWait"`
	// TargetPoll is the pause between two calls that read the list of targets.
	TargetPoll Duration `json:"targetPoll"`
	// Readers is the number of hosts that read changes from the table service themselves if
	// there are more than ReadAlone hosts. The others follow its tables through their peers.
	// A host does so only while it knows of a recent read of any host.
	Readers   int `json:"readers"`
	ReadAlone int `json:"readAlone"`
	// ChangeWithin is the time in which a change must be in force on all hosts. A read is
	// recent for contactShare of it.
	ChangeWithin Duration `json:"changeWithin"`
	// LeaveTimeout is the time in which a leaving target must stop getting requests. It
	// only limits the delay of removals after an outage of the table service, see package
	// fleet. Otherwise a leaving target gets no more requests as soon as its row is read.
	LeaveTimeout Duration `json:"leaveWithin"`
}

// contactShare is the share of ChangeWithin for which a read of any host is recent. In
// the rest of it, a host reads the change itself.
const contactShare = 0.5

// ContactMaxAge returns for how long a read of any host is recent.
func (t *Table) ContactMaxAge() time.Duration {
	return time.Duration(contactShare * float64(t.ChangeWithin.Duration))
}

// ColdTargets limits the requests to targets that have started a short time ago, in services whose
// configuration states how many requests per second such a target takes. In any second, all hosts
// together send one at most that number x BurstFactor + Burst requests.
type ColdTargets struct {
	BurstFactor float64 `json:"burstFactor"`
	// Burst is a number of requests.
	Burst float64 `json:"burst"`
}

// Evacuation configures the evacuation of failure domains, which operators order.
type Evacuation struct {
	// Within is the time in which no request must be sent any more to a target in a failure domain
	// that is to be evacuated.
	Within Duration `json:"within"`
}

// ContactMaxAge returns for how long a read of the table service by any host is recent. A change is
// then known in time, and so is an order to evacuate.
func (c *Routed) ContactMaxAge() time.Duration {
	return min(c.Table.ContactMaxAge(), time.Duration(contactShare*float64(c.Evacuation.Within.Duration)))
}

// Pace configures the use of what hosts measure of the speed of targets, see package pace.
type Pace struct {
	// Enabled divides the requests of plain services by the speed of their targets and by the
	// number of requests that each handles well at the same time. All hosts of a group need the
	// same value: those without it report no times.
	Enabled bool `json:"enabled"`
	// Engines also measures engines and prefers those that handle a further request well.
	Engines bool `json:"engines"`
}

// RoutedRetries configures the retries of routed requests.
type RoutedRetries struct {
	// BudgetPercent is the allowed number of retries per 100 requests of a service on
	// this host. Reserve is the number by which the retries on all hosts together may
	// exceed that in any 10 s. For this reason a host can save up unused retries only up
	// to its part of Reserve.
	BudgetPercent float64 `json:"budgetPercent"`
	Reserve       float64 `json:"reserve"`
	// MaxAttempts limits the attempts of one request on all targets.
	MaxAttempts int `json:"mostTries"`
	// StallFactor is how long an attempt may send nothing before a repeatable request is
	// sent to another target, too, as a multiple of the longest of three times: the two
	// goals of its route and the expected time to first token. The factor has no unit. It
	// is a time.Duration only because it multiplies durations.
	StallFactor time.Duration `json:"silentGoals"`
	// AvoidFor is how long a target gets no work after it could not be reached, or after
	// another target or other weights were found at its address. With each further
	// failure in a row to reach it, the time doubles, up to 8 times AvoidFor.
	AvoidFor Duration `json:"avoidFor"`
	// MinRetryAfter is the minimum time that refused callers are asked to wait.
	MinRetryAfter Duration `json:"returnAfter"`
	// SuspectAttempts and SuspectTTL are the same as in Retries.
	SuspectAttempts int      `json:"suspectAttempts"`
	SuspectTTL      Duration `json:"suspectFor"`
}

// Rollout configures how targets are switched to new weights.
type Rollout struct {
	// LeaseTTL is how long the holder of the lease may act after its last renewal.
	LeaseTTL Duration `json:"lease"`
	// QuietPeriod is the minimum time between the last action of one lease holder and
	// the first action of the next. QuietMargin is added to it for orders in transit.
	QuietPeriod Duration `json:"quiet"`
	QuietMargin Duration `json:"quietMargin"`
	// SwapShare is the share of the targets of a model that swap weights at the same
	// time, rounded up to whole targets. If that is necessary to meet TimeLimit, up to
	// twice as many swap.
	SwapShare float64 `json:"atOnce"`
	// ConcurrentLoads is the number of targets that may load weights at the same time. It
	// is exceeded if SwapShare lets more targets of a model swap at the same time, for
	// example to meet TimeLimit.
	ConcurrentLoads int `json:"loads"`
	// Drain is the time before a swap in which a target only gets short requests.
	Drain Duration `json:"drain"`
	// SettleDelay is the time between closing a target to requests and sending it the
	// order to swap. In this time all hosts learn that the target is closed.
	SettleDelay Duration `json:"settle"`
	// KeepRuns lets the requests that are still running when the swap is ordered
	// continue with the new weights instead of being completed first.
	KeepRuns bool `json:"keep"`
	// RepeatAfter is the time after which an accepted order is sent again.
	RepeatAfter Duration `json:"repeat"`
	// TimeLimit is the time after a request for a weight version in which all targets
	// have to serve it.
	TimeLimit Duration `json:"within"`
	// Margin is the time before the end of TimeLimit from which no request starts on
	// older weights.
	Margin Duration `json:"margin"`
}

// beginMarginShare is the share of Margin that remains for requests that wait on a target
// longer than expected.
const beginMarginShare = 0.5

// LatestBegin returns the time after a request for a weight version at which requests may
// begin on older weights at the latest.
func (r *Rollout) LatestBegin() time.Duration {
	return r.TimeLimit.Duration - time.Duration(beginMarginShare*float64(r.Margin.Duration))
}

// DefaultRouted returns the default settings.
func DefaultRouted() Routed {
	base := Default()
	cfg := Routed{
		LogLevel:  base.LogLevel,
		Callers:   Listener{Listen: "127.0.0.1:8080"},
		Readiness: Listener{Listen: "127.0.0.1:8081"},
		Metrics:   Listener{Listen: "127.0.0.1:8082"},
		Peers: RoutedPeers{
			Listen: "127.0.0.1:8083", Interval: DurationOf(100 * time.Millisecond), FanOut: 3,
			SuspicionTimeout: DurationOf(5 * time.Second), ForgetAfter: DurationOf(time.Minute), LoadMaxAge: DurationOf(1500 * time.Millisecond),
		},
		Table: Table{
			CallTimeout:     DurationOf(time.Second),
			ReadsPerSecond:  40,
			WritesPerSecond: 20,
			BreakerFailures: 8,
			BreakerPause:    DurationOf(300 * time.Millisecond),
			ChangeWait:      DurationOf(1500 * time.Millisecond),
			TargetPoll:      DurationOf(500 * time.Millisecond),
			LeaveTimeout:    DurationOf(2 * time.Second),
			Readers:         3,
			ReadAlone:       12,
			ChangeWithin:    DurationOf(3 * time.Second),
		},
		Placement: base.Placement,
		Slowness:  base.Slowness,
		Retries: RoutedRetries{
			BudgetPercent:   12,
			Reserve:         48,
			MaxAttempts:     4,
			StallFactor:     3,
			AvoidFor:        DurationOf(time.Second),
			MinRetryAfter:   DurationOf(200 * time.Millisecond),
			SuspectAttempts: 2,
			SuspectTTL:      DurationOf(2 * time.Minute),
		},
		Ledger:  Ledger{FlushEvery: DurationOf(10 * time.Second), CopyEvery: DurationOf(time.Second), BatchRows: 200, WritesPerSecond: 20, BufferRows: 20_000},
		Rollout: Rollout{LeaseTTL: DurationOf(2 * time.Second), QuietPeriod: DurationOf(3 * time.Second), QuietMargin: DurationOf(800 * time.Millisecond), SwapShare: 0.16, ConcurrentLoads: 2, Drain: DurationOf(300 * time.Millisecond), SettleDelay: DurationOf(150 * time.Millisecond), KeepRuns: true, RepeatAfter: DurationOf(6 * time.Second), TimeLimit: DurationOf(12 * time.Second), Margin: DurationOf(1500 * time.Millisecond)},

		Shards:      Shards{Targets: 5},
		ColdTargets: ColdTargets{BurstFactor: 1},
		Evacuation:  Evacuation{Within: DurationOf(5 * time.Second)},

		PrefillTokensPerSecond: 60_000,
		TokenGap:               DurationOf(4 * time.Millisecond),
		PlainSlotRate:          60,
		MemoryShare:            1.05,
		MemoryStep:             0.03,
		ShutdownDelay:          DurationOf(3 * time.Second),
		ShutdownTimeout:        DurationOf(7 * time.Second),
		KillAfter:              DurationOf(8 * time.Second),
	}
	cfg.Placement.IndexEntries = 40_000
	cfg.Placement.WarmUp = DurationOf(0)
	cfg.Placement.LongSlotPercent = 100
	cfg.Placement.LongTokens = 64
	return cfg
}

// LoadRouted reads and validates a settings file. All findings are returned together
// as a *finding.Error.
func LoadRouted(path string) (Routed, error) { return load(path, DecodeRouted) }

// DecodeRouted applies the settings in data to the defaults and validates them.
func DecodeRouted(source string, data []byte) (Routed, error) {
	cfg := DefaultRouted()
	err := decodeInto(source, data, &cfg, cfg.check, unusedByRouted...)
	return cfg, err
}

// unusedByRouted are the settings of the shared groups that routed hosts do not use.
var unusedByRouted = []string{
	"/placement/ownerTimeout", "/placement/loadPoll", "/placement/cacheEventPoll", "/placement/warmUp", "/placement/leaveWithin",
	"/slowness/hedgePercent", "/slowness/hedgeRatio",
}

func (c *Routed) check(locate locator) finding.List {
	k := &checker{locate: locate}
	k.require(c.Host != "", "/host", "host: a name is required")
	k.require(c.FailureDomain != "", "/failureDomain", "failureDomain: a name is required")
	k.require(knownLevel(c.LogLevel), "/logLevel", "logLevel: want debug, info, warn or error, got %q", c.LogLevel)
	k.address(c.Callers.Listen, "/callers/listen")
	k.address(c.Readiness.Listen, "/readiness/listen")
	k.address(c.Metrics.Listen, "/metrics/listen")
	k.address(c.Peers.Listen, "/peers/listen")
	k.positive(float64(c.Peers.FanOut), "/peers/fanOut", "peers")
	k.url(c.Table.URL, "/table/url")
	k.positive(c.Table.ReadsPerSecond, "/table/readsPerSecond", "calls per second")
	k.positive(c.Table.WritesPerSecond, "/table/writesPerSecond", "calls per second")
	k.positive(float64(c.Table.Readers), "/table/readers", "hosts")
	k.require(c.Table.ReadAlone >= 0, "/table/readAlone", "readAlone: want zero or more hosts, got %d", c.Table.ReadAlone)
	k.positive(float64(c.Table.BreakerFailures), "/table/breakerFailures", "calls")
	k.positive(c.PrefillTokensPerSecond, "/prefillTokensPerSecond", "tokens per second")
	k.positive(c.PlainSlotRate, "/plainRate", "requests per second")
	k.positive(float64(c.Retries.MaxAttempts), "/retries/mostTries", "attempts")
	k.positive(float64(c.Retries.StallFactor), "/retries/silentGoals", "goals")
	k.positive(float64(c.Ledger.BatchRows), "/ledger/batchRows", "rows")
	k.positive(float64(c.Rollout.ConcurrentLoads), "/rollout/loads", "targets")
	k.positive(c.Rollout.SwapShare, "/rollout/atOnce", "targets (as a share of all)")
	k.require(c.Shards.AboveHosts >= 0, "/shards/aboveHosts", "aboveHosts: want zero or more hosts, got %d", c.Shards.AboveHosts)
	k.positive(float64(c.Shards.Targets), "/shards/targets", "targets")
	k.require(c.Capacity >= 0, "/capacity", "capacity: want zero or more, got %g", c.Capacity)
	k.percent(c.Retries.BudgetPercent, "/retries/budgetPercent")
	k.positive(c.ColdTargets.BurstFactor, "/coldTargets/burstFactor", "times the stated requests")
	k.require(c.ColdTargets.Burst >= 0, "/coldTargets/burst", "coldTargets.burst: want zero or more requests, got %g", c.ColdTargets.Burst)
	for pointer, value := range map[string]Duration{
		"/table/callTimeout":   c.Table.CallTimeout,
		"/table/changeWait":    c.Table.ChangeWait,
		"/table/targetPoll":    c.Table.TargetPoll,
		"/table/leaveWithin":   c.Table.LeaveTimeout,
		"/table/changeWithin":  c.Table.ChangeWithin,
		"/ledger/flushEvery":   c.Ledger.FlushEvery,
		"/peers/interval":      c.Peers.Interval,
		"/rollout/lease":       c.Rollout.LeaseTTL,
		"/rollout/within":      c.Rollout.TimeLimit,
		"/evacuation/within":   c.Evacuation.Within,
		"/retries/avoidFor":    c.Retries.AvoidFor,
		"/retries/returnAfter": c.Retries.MinRetryAfter,
		"/stopWithin":          c.ShutdownTimeout,
		"/killedAfter":         c.KillAfter,
	} {
		k.require(value.Duration > 0, pointer, "%s: want a duration above zero", fieldName(pointer))
	}
	k.require(c.ShutdownDelay.Duration < c.ShutdownTimeout.Duration, "/stopDelay",
		"stopDelay: %s is not shorter than stopWithin, %s", c.ShutdownDelay, c.ShutdownTimeout)
	k.require(c.Rollout.Margin.Duration < c.Rollout.TimeLimit.Duration, "/rollout/margin",
		"rollout.margin: %s is not shorter than rollout.within, %s", c.Rollout.Margin, c.Rollout.TimeLimit)
	k.require(c.Rollout.SwapShare <= 1, "/rollout/atOnce", "rollout.atOnce: want at most 1, got %g", c.Rollout.SwapShare)
	k.require(c.Pace.Enabled || !c.Pace.Engines, "/pace/engines", "pace.engines: needs pace.enabled")
	k.findings.Sort()
	return k.findings
}
