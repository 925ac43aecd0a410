// Package config holds the settings of an entry host: one struct, its
// defaults, and the check that every process makes before it starts.
package config

import (
	"fmt"
	"os"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Config holds all settings of one entry host.
type Config struct {
	// Host is the name of this host, unique among the entry hosts.
	Host string `json:"host"`
	// FailureDomain is the failure domain this host stands in.
	FailureDomain string `json:"failureDomain"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `json:"logLevel"`

	Callers   Callers   `json:"callers"`
	Operators Operators `json:"operators"`
	Peers     Peers     `json:"peers"`
	Platform  Platform  `json:"platform"`
	Admission Admission `json:"admission"`
	Placement Placement `json:"placement"`
	Slowness  Slowness  `json:"slowness"`
	Retries   Retries   `json:"retries"`
	Retention Retention `json:"retention"`
	Bookings  Bookings  `json:"bookings"`
	Ledger    Ledger    `json:"ledger"`
	// ShutdownDelay is the time between becoming unready and refusing requests, in
	// which the balancer turns to other hosts.
	ShutdownDelay Duration `json:"stopDelay"`
	// ShutdownTimeout bounds a planned stop.
	ShutdownTimeout Duration `json:"stopWithin"`
}

// Callers configures the listener for callers and its limits.
type Callers struct {
	Listen          string   `json:"listen"`
	BodyBytes       int64    `json:"bodyBytes"`
	HeaderTimeout   Duration `json:"headerTimeout"`
	BodyTimeout     Duration `json:"bodyTimeout"`
	PromptTokens    int      `json:"promptTokens"`
	StreamIdle      Duration `json:"streamIdle"`
	RequestDeadline Duration `json:"requestDeadline"`
}

// Operators configures the listener for operators.
type Operators struct {
	Listen string        `json:"listen"`
	Keys   []OperatorKey `json:"keys"`
}

// OperatorKey names an operator and the SHA-256 of the operator's key in hex.
type OperatorKey struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// Peers configures membership among the entry hosts.
type Peers struct {
	// Listen is the address of the listener for other entry hosts.
	Listen string `json:"listen"`
	// Advertise is the URL at which other entry hosts reach Listen.
	Advertise string `json:"advertise"`
	// Seeds are URLs of peers used besides the platform's host list.
	Seeds        []string `json:"seeds"`
	Interval     Duration `json:"interval"`
	FanOut       int      `json:"fanOut"`
	SuspectAfter Duration `json:"suspectAfter"`
	ForgetAfter  Duration `json:"forgetAfter"`
	// CutOffAfter is how long a host without the table service and without a
	// majority of its peers goes on admitting requests.
	CutOffAfter Duration `json:"cutOffAfter"`
	// ConfigPoll is the time between two looks at the configuration revision.
	ConfigPoll Duration `json:"configPoll"`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	TableURL    string   `json:"tableURL"`
	ObjectURL   string   `json:"objectURL"`
	HostListURL string   `json:"hostListURL"`
	CallTimeout Duration `json:"callTimeout"`
	// ReadsPerSecond and WritesPerSecond are the budget of all entry hosts
	// together at the table service.
	ReadsPerSecond  float64  `json:"readsPerSecond"`
	WritesPerSecond float64  `json:"writesPerSecond"`
	BreakerFailures int      `json:"breakerFailures"`
	BreakerPause    Duration `json:"breakerPause"`
}

// Admission configures the queues before placement.
type Admission struct {
	QueuePerAccount int      `json:"queuePerAccount"`
	QueueWait       Duration `json:"queueWait"`
	// ReservePercent is the share of the capacity that only client accounts
	// within their fair share may use.
	ReservePercent float64 `json:"reservePercent"`
	// FillFactor is the number of requests in flight per engine slot.
	FillFactor float64 `json:"fillFactor"`
}

// Placement configures the choice of a target.
type Placement struct {
	LoadPoll        Duration `json:"loadPoll"`
	CacheEventPoll  Duration `json:"cacheEventPoll"`
	BlockTokens     int      `json:"pieceTokens"`
	PreferredCount  int      `json:"preferredCount"`
	RandomCount     int      `json:"randomCount"`
	IndexEntries    int      `json:"indexEntries"`
	LongTokens      int      `json:"longTokens"`
	LongSlotPercent float64  `json:"longSlotPercent"`
	WarmUp          Duration `json:"warmUp"`
	LeaveTimeout    Duration `json:"leaveWithin"`
	Seed            uint64   `json:"seed"`
}

// Slowness configures how slowed targets are found and used.
type Slowness struct {
	SlowRatio    float64  `json:"slowRatio"`
	ProbeEvery   Duration `json:"probeEvery"`
	HedgePercent float64  `json:"hedgePercent"`
	HedgeRatio   float64  `json:"hedgeRatio"`
}

// Retries configures the retry budget and the handling of suspects.
type Retries struct {
	BudgetPercent   float64  `json:"budgetPercent"`
	BaseDelay       Duration `json:"baseDelay"`
	MaxDelay        Duration `json:"maxDelay"`
	SuspectAttempts int      `json:"suspectAttempts"`
	SuspectFor      Duration `json:"suspectFor"`
}

// Retention configures which cache blocks are kept on store hosts.
type Retention struct {
	BytesPerToken     int64    `json:"bytesPerToken"`
	LinkSharePercent  float64  `json:"linkSharePercent"`
	MemoryTTL         Duration `json:"memoryFor"`
	FreeGrace         Duration `json:"freeGrace"`
	MinimumReuseRatio float64  `json:"minimumReuseRatio"`
}

// Bookings configures the records of calls that may not be repeated.
type Bookings struct {
	KeepFor Duration `json:"keepFor"`
}

// Ledger configures the counting of placements.
type Ledger struct {
	FlushEvery Duration `json:"flushEvery"`
	BatchRows  int      `json:"batchRows"`
	// WritesPerSecond is the budget of all entry hosts together; with many
	// hosts each one writes less often than FlushEvery.
	WritesPerSecond float64 `json:"writesPerSecond"`
	// BufferRows bounds the rows held in memory while the table service is
	// down; beyond it new work is refused.
	BufferRows int `json:"bufferRows"`
}

// Default returns the settings used where a file says nothing.
func Default() Config {
	return Config{
		LogLevel: "info",
		Callers: Callers{
			Listen:          "127.0.0.1:8080",
			BodyBytes:       4 << 20,
			HeaderTimeout:   DurationOf(5 * time.Second),
			BodyTimeout:     DurationOf(30 * time.Second),
			PromptTokens:    128 << 10,
			StreamIdle:      DurationOf(30 * time.Second),
			RequestDeadline: DurationOf(10 * time.Minute),
		},
		Operators: Operators{Listen: "127.0.0.1:8081"},
		Peers: Peers{
			Listen:       "127.0.0.1:8082",
			Interval:     DurationOf(time.Second),
			FanOut:       2,
			SuspectAfter: DurationOf(5 * time.Second),
			ForgetAfter:  DurationOf(time.Minute),
			CutOffAfter:  DurationOf(8 * time.Second),
			ConfigPoll:   DurationOf(2 * time.Second),
		},
		Platform: Platform{
			CallTimeout:     DurationOf(2 * time.Second),
			ReadsPerSecond:  1600,
			WritesPerSecond: 240,
			BreakerFailures: 5,
			BreakerPause:    DurationOf(time.Second),
		},
		Admission: Admission{
			QueuePerAccount: 256,
			QueueWait:       DurationOf(20 * time.Second),
			FillFactor:      1,
			ReservePercent:  6.5,
		},
		Placement: Placement{
			LoadPoll:        DurationOf(500 * time.Millisecond),
			CacheEventPoll:  DurationOf(500 * time.Millisecond),
			BlockTokens:     2048,
			PreferredCount:  8,
			RandomCount:     8,
			IndexEntries:    250_000,
			LongTokens:      4096,
			LongSlotPercent: 50,
			WarmUp:          DurationOf(10 * time.Second),
			LeaveTimeout:    DurationOf(3 * time.Second),
		},
		Slowness: Slowness{
			SlowRatio:    2,
			ProbeEvery:   DurationOf(500 * time.Millisecond),
			HedgePercent: 3,
			HedgeRatio:   3,
		},
		Retries: Retries{
			BudgetPercent:   10,
			BaseDelay:       DurationOf(50 * time.Millisecond),
			MaxDelay:        DurationOf(2 * time.Second),
			SuspectAttempts: 2,
			SuspectFor:      DurationOf(30 * time.Minute),
		},
		Retention: Retention{
			BytesPerToken:     128 << 10,
			LinkSharePercent:  50,
			MemoryTTL:         DurationOf(10 * time.Minute),
			FreeGrace:         DurationOf(2 * time.Minute),
			MinimumReuseRatio: 0.05,
		},
		Bookings:        Bookings{KeepFor: DurationOf(7 * 24 * time.Hour)},
		Ledger:          Ledger{FlushEvery: DurationOf(time.Second), BatchRows: 512, WritesPerSecond: 100, BufferRows: 100_000},
		ShutdownDelay:   DurationOf(2 * time.Second),
		ShutdownTimeout: DurationOf(15 * time.Minute),
	}
}

// Load reads and checks a settings file. All findings are returned together
// as a *finding.Error.
func Load(path string) (Config, error) { return load(path, Decode) }

// load reads a settings file and decodes it.
func load[T any](path string, decode func(source string, data []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, fmt.Errorf("reading settings: %w", err)
	}
	return decode(path, data)
}

// Decode reads settings from data over the defaults and checks them.
func Decode(source string, data []byte) (Config, error) {
	cfg := Default()
	err := decodeOver(source, data, &cfg, cfg.check)
	return cfg, err
}

// decodeOver reads settings over those in cfg and checks them.
func decodeOver(source string, data []byte, cfg any, check func(placer) finding.List) error {
	doc, err := jsonc.Parse(source, data)
	if err != nil {
		return err
	}
	if findings := doc.Decode(cfg); len(findings) > 0 {
		return findings.Err()
	}
	return check(doc.Place).Err()
}
