// Package config defines the settings of an entry host: the structs, their
// defaults, and the validation that every process runs before it starts.
package config

import (
	"fmt"
	"os"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Config holds all settings of an entry host.
type Config struct {
	// Host is the name of this host. It must be unique among the entry hosts.
	Host string `json:"host"`
	// FailureDomain is the failure domain in which this host runs.
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
	// ShutdownDelay is the time between reporting not ready and refusing requests,
	// in which the balancer switches to other hosts.
	ShutdownDelay Duration `json:"stopDelay"`
	// ShutdownTimeout limits a graceful shutdown.
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

// OperatorKey is the name of an operator and the SHA-256 of the operator's key in
// hexadecimal digits.
type OperatorKey struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// Peers configures the membership protocol among the entry hosts.
type Peers struct {
	// Listen is the address of the listener for other entry hosts.
	Listen string `json:"listen"`
	// Advertise is the URL at which other entry hosts reach Listen.
	Advertise string `json:"advertise"`
	// Seeds are URLs of peers to contact in addition to the platform's host list.
	Seeds        []string `json:"seeds"`
	Interval     Duration `json:"interval"`
	FanOut       int      `json:"fanOut"`
	SuspectAfter Duration `json:"suspectAfter"`
	ForgetAfter  Duration `json:"forgetAfter"`
	// CutOffAfter is how long a host continues to admit requests when it reaches
	// neither the table service nor a majority of its peers.
	CutOffAfter Duration `json:"cutOffAfter"`
	// ConfigPoll is the interval between reads of the configuration revision.
	ConfigPoll Duration `json:"configPoll"`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	TableURL    string   `json:"tableURL"`
	ObjectURL   string   `json:"objectURL"`
	HostListURL string   `json:"hostListURL"`
	CallTimeout Duration `json:"callTimeout"`
	// ReadsPerSecond and WritesPerSecond limit the calls of all entry hosts together
	// to the table service.
	ReadsPerSecond  float64  `json:"readsPerSecond"`
	WritesPerSecond float64  `json:"writesPerSecond"`
	BreakerFailures int      `json:"breakerFailures"`
	BreakerPause    Duration `json:"breakerPause"`
}

// Admission configures the queues in front of placement.
type Admission struct {
	QueuePerAccount int      `json:"queuePerAccount"`
	QueueWait       Duration `json:"queueWait"`
	// ReservePercent is the percentage of the capacity that is reserved for client
	// accounts within their fair share.
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

// Slowness configures how slow targets are detected and used.
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

// Retention configures which cache blocks are stored on store hosts.
type Retention struct {
	BytesPerToken     int64    `json:"bytesPerToken"`
	LinkSharePercent  float64  `json:"linkSharePercent"`
	MemoryTTL         Duration `json:"memoryFor"`
	FreeGrace         Duration `json:"freeGrace"`
	MinimumReuseRatio float64  `json:"minimumReuseRatio"`
}

// Bookings configures the records of non-idempotent calls.
type Bookings struct {
	KeepFor Duration `json:"keepFor"`
}

// Ledger configures how placements are counted.
type Ledger struct {
	FlushEvery Duration `json:"flushEvery"`
	BatchRows  int      `json:"batchRows"`
	// WritesPerSecond limits the writes of all entry hosts together. With many
	// hosts, each one writes less often than FlushEvery.
	WritesPerSecond float64 `json:"writesPerSecond"`
	// BufferRows limits the rows held in memory while the table service is
	// unavailable. When it is reached, new work is refused.
	BufferRows int `json:"bufferRows"`
}

// Default returns the default settings.
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

// Load reads and validates a settings file. All findings are returned together as a
// *finding.Error.
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

// Decode applies the settings in data to the defaults and validates them.
func Decode(source string, data []byte) (Config, error) {
	cfg := Default()
	err := decodeInto(source, data, &cfg, cfg.check)
	return cfg, err
}

// decodeInto applies the settings in data to cfg and validates them.
func decodeInto(source string, data []byte, cfg any, check func(locator) finding.List) error {
	doc, err := jsonc.Parse(source, data)
	if err != nil {
		return err
	}
	if findings := doc.Decode(cfg); len(findings) > 0 {
		return findings.Err()
	}
	return check(doc.Place).Err()
}
