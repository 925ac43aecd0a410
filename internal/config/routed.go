package config

import (
	"time"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Routed holds the settings of an entry host whose routes, services and client
// accounts are written by operators into the platform's table service.
type Routed struct {
	// Host is the name of this host, unique among the entry hosts.
	Host string `json:"host"`
	// FailureDomain is the failure domain this host stands in.
	FailureDomain string `json:"failureDomain"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `json:"logLevel"`

	Callers   Listener `json:"callers"`
	Readiness Listener `json:"readiness"`
	Metrics   Listener `json:"metrics"`

	Peers     RoutedPeers   `json:"peers"`
	Table     Table         `json:"table"`
	Placement Placement     `json:"placement"`
	Slowness  Slowness      `json:"slowness"`
	Retries   RoutedRetries `json:"retries"`
	Ledger    Ledger        `json:"ledger"`
	Rollout   Rollout       `json:"rollout"`

	// PrefillTokensPerSecond is the usual rate at which an engine reads prompts.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	// MemoryShare is the part of an engine's memory up to which the prompts and
	// answers of the most urgent requests may add up, and MemoryStep by how much
	// less those of each lower priority may. Beyond it they are refused, so that
	// those that run don't slow each other down. It may be above 1, as parts that
	// several requests share are held once.
	MemoryShare float64 `json:"memoryShare"`
	MemoryStep  float64 `json:"memoryStep"`
	// TokenGap is the shortest usual time between two tokens of a stream.
	TokenGap Duration `json:"tokenGap"`
	// PlainRate is the number of requests a second that one slot of a plain
	// service is taken to serve.
	PlainRate float64 `json:"plainRate"`
	// MemoryBytes is the memory this process may use, 0 for no bound.
	MemoryBytes int64 `json:"memoryBytes"`
	// StopDelay is the time between becoming unready and closing the listener,
	// in which the balancer turns to other hosts.
	StopDelay Duration `json:"stopDelay"`
	// StopWithin bounds a planned stop.
	StopWithin Duration `json:"stopWithin"`
	// KilledAfter is the time after which a process that was told to stop is
	// killed. A stop is shortened where that is needed.
	KilledAfter Duration `json:"killedAfter"`
}

// lastWrites is the part of KilledAfter that is kept for the last writes of a
// host once its requests have ended.
const lastWrites = 1.0 / 8

// StopTimes returns the time from becoming unready to closing the listener, and
// that in which requests have to end.
func (c *Routed) StopTimes() (delay, within time.Duration) {
	within = min(c.StopWithin.Duration, time.Duration((1-lastWrites)*float64(c.KilledAfter.Duration)))
	return min(c.StopDelay.Duration, within/2), within
}

// Listener is an address that a host serves.
type Listener struct {
	Listen string `json:"listen"`
}

// RoutedPeers configures the exchanges among the entry hosts.
type RoutedPeers struct {
	Listen       string   `json:"listen"`
	Interval     Duration `json:"interval"`
	FanOut       int      `json:"fanOut"`
	SuspectAfter Duration `json:"suspectAfter"`
	ForgetAfter  Duration `json:"forgetAfter"`
	// LoadsFor is how long what a peer said of its load is used.
	LoadsFor Duration `json:"loadsFor"`
}

// Table configures the client of the table service.
type Table struct {
	URL         string   `json:"url"`
	CallTimeout Duration `json:"callTimeout"`
	// ReadsPerSecond and WritesPerSecond bound the calls of this host.
	ReadsPerSecond  float64  `json:"readsPerSecond"`
	WritesPerSecond float64  `json:"writesPerSecond"`
	BreakerFailures int      `json:"breakerFailures"`
	BreakerPause    Duration `json:"breakerPause"`
	// ChangeWait is how long one call waits for a change of the configuration.
	// It also bounds how long a silent connection is believed.
	ChangeWait Duration `json:"changeWait"`
	// TargetPoll is the time between two looks at the list of targets.
	TargetPoll Duration `json:"targetPoll"`
	// LeaveWithin is the time after which a target that leaves gets no request.
	LeaveWithin Duration `json:"leaveWithin"`
}

// RoutedRetries configures further attempts of routed requests.
type RoutedRetries struct {
	// BudgetPercent is the number of further attempts per hundred requests of a
	// service on this host, and Reserve the most beyond it of all hosts together
	// in a window.
	BudgetPercent float64 `json:"budgetPercent"`
	Reserve       float64 `json:"reserve"`
	// MostTries bounds the attempts of one request over all targets.
	MostTries int `json:"mostTries"`
	// SilentGoals is the number of times the goal of its route that an attempt
	// may be silent before the request goes on elsewhere.
	SilentGoals time.Duration `json:"silentGoals"`
	// AvoidFor is how long a target gets no work after it couldn't be reached.
	AvoidFor Duration `json:"avoidFor"`
	// ReturnAfter is the least time that refused callers are asked to wait.
	ReturnAfter     Duration `json:"returnAfter"`
	SuspectAttempts int      `json:"suspectAttempts"`
	SuspectFor      Duration `json:"suspectFor"`
}

// Rollout configures how targets are brought to new weights.
type Rollout struct {
	// Lease is how long a holder of the lease may act after its last renewal.
	Lease Duration `json:"lease"`
	// Quiet is the time between the last act of one holder and the first of the
	// next, and QuietMargin what is added for orders on their way.
	Quiet       Duration `json:"quiet"`
	QuietMargin Duration `json:"quietMargin"`
	// AtOnce is the share of the targets that swap weights at the same time.
	AtOnce float64 `json:"atOnce"`
	// Loads bounds the targets that load weights at the same time.
	Loads int `json:"loads"`
	// Drain is the time in which a target gets short work only before it swaps.
	Drain Duration `json:"drain"`
	// Settle is the time between taking a target out of use and its order, in
	// which all hosts hear of it.
	Settle Duration `json:"settle"`
	// Keep lets the runs that are left after that time go on under the new
	// weights instead of being finished first.
	Keep bool `json:"keep"`
	// Repeat is the time after which an order is given again.
	Repeat Duration `json:"repeat"`
	// Within is the time in which all targets hold the weights asked for.
	Within Duration `json:"within"`
	// Margin is the part of Within at whose beginning no work begins on older
	// weights any more.
	Margin Duration `json:"margin"`
}

// DefaultRouted returns the settings used where a file says nothing.
func DefaultRouted() Routed {
	base := Default()
	cfg := Routed{
		LogLevel:  base.LogLevel,
		Callers:   Listener{Listen: "127.0.0.1:8080"},
		Readiness: Listener{Listen: "127.0.0.1:8081"},
		Metrics:   Listener{Listen: "127.0.0.1:8082"},
		Peers: RoutedPeers{
			Listen: "127.0.0.1:8083", Interval: Of(100 * time.Millisecond), FanOut: 3,
			SuspectAfter: Of(5 * time.Second), ForgetAfter: Of(time.Minute), LoadsFor: Of(1500 * time.Millisecond),
		},
		Table: Table{
			CallTimeout:     Of(time.Second),
			ReadsPerSecond:  20,
			WritesPerSecond: 10,
			BreakerFailures: 8,
			BreakerPause:    Of(300 * time.Millisecond),
			ChangeWait:      Of(1500 * time.Millisecond),
			TargetPoll:      Of(500 * time.Millisecond),
			LeaveWithin:     Of(2 * time.Second),
		},
		Placement: base.Placement,
		Slowness:  base.Slowness,
		Retries: RoutedRetries{
			BudgetPercent:   12,
			Reserve:         48,
			MostTries:       4,
			SilentGoals:     3,
			AvoidFor:        Of(time.Second),
			ReturnAfter:     Of(200 * time.Millisecond),
			SuspectAttempts: 2,
			SuspectFor:      Of(2 * time.Minute),
		},
		Ledger:  Ledger{FlushEvery: Of(3 * time.Second), BatchRows: 512, WritesPerSecond: 20, BufferRows: 20_000},
		Rollout: Rollout{Lease: Of(2 * time.Second), Quiet: Of(3 * time.Second), QuietMargin: Of(800 * time.Millisecond), AtOnce: 0.16, Loads: 2, Drain: Of(300 * time.Millisecond), Settle: Of(150 * time.Millisecond), Keep: true, Repeat: Of(6 * time.Second), Within: Of(12 * time.Second), Margin: Of(1500 * time.Millisecond)},

		PrefillTokensPerSecond: 60_000,
		TokenGap:               Of(4 * time.Millisecond),
		PlainRate:              60,
		MemoryShare:            1.05,
		MemoryStep:             0.03,
		StopDelay:              Of(3 * time.Second),
		StopWithin:             Of(7 * time.Second),
		KilledAfter:            Of(8 * time.Second),
	}
	cfg.Placement.IndexEntries = 40_000
	cfg.Placement.WarmUp = Of(0)
	cfg.Placement.LongSlotPercent = 100
	cfg.Placement.LongTokens = 64
	return cfg
}

// LoadRouted reads and checks a settings file. All findings are returned
// together as a *finding.Error.
func LoadRouted(path string) (Routed, error) { return load(path, DecodeRouted) }

// DecodeRouted reads settings from data over the defaults and checks them.
func DecodeRouted(source string, data []byte) (Routed, error) {
	cfg := DefaultRouted()
	err := decodeOver(source, data, &cfg, cfg.check)
	return cfg, err
}

func (c *Routed) check(place placer) finding.List {
	k := &checker{place: place}
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
	k.positive(float64(c.Table.BreakerFailures), "/table/breakerFailures", "calls")
	k.positive(c.PrefillTokensPerSecond, "/prefillTokensPerSecond", "tokens per second")
	k.positive(c.PlainRate, "/plainRate", "requests per second")
	k.positive(float64(c.Retries.MostTries), "/retries/mostTries", "attempts")
	k.positive(float64(c.Retries.SilentGoals), "/retries/silentGoals", "goals")
	k.positive(float64(c.Ledger.BatchRows), "/ledger/batchRows", "rows")
	k.positive(float64(c.Rollout.Loads), "/rollout/loads", "targets")
	k.positive(c.Rollout.AtOnce, "/rollout/atOnce", "parts of the targets")
	k.percent(c.Retries.BudgetPercent, "/retries/budgetPercent")
	for pointer, value := range map[string]Duration{
		"/table/callTimeout":   c.Table.CallTimeout,
		"/table/changeWait":    c.Table.ChangeWait,
		"/table/targetPoll":    c.Table.TargetPoll,
		"/table/leaveWithin":   c.Table.LeaveWithin,
		"/ledger/flushEvery":   c.Ledger.FlushEvery,
		"/peers/interval":      c.Peers.Interval,
		"/rollout/lease":       c.Rollout.Lease,
		"/rollout/within":      c.Rollout.Within,
		"/retries/avoidFor":    c.Retries.AvoidFor,
		"/retries/returnAfter": c.Retries.ReturnAfter,
		"/stopWithin":          c.StopWithin,
		"/killedAfter":         c.KilledAfter,
	} {
		k.require(value.Duration > 0, pointer, "%s: want a duration above zero", fieldName(pointer))
	}
	k.require(c.StopDelay.Duration < c.StopWithin.Duration, "/stopDelay",
		"stopDelay: %s is not shorter than stopWithin, %s", c.StopDelay, c.StopWithin)
	k.require(c.Rollout.Margin.Duration < c.Rollout.Within.Duration, "/rollout/margin",
		"rollout.margin: %s is not shorter than rollout.within, %s", c.Rollout.Margin, c.Rollout.Within)
	k.require(c.Rollout.AtOnce <= 1, "/rollout/atOnce", "rollout.atOnce: want at most 1, got %g", c.Rollout.AtOnce)
	k.findings.Sort()
	return k.findings
}
