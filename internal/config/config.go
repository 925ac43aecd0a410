// Package config defines the settings of an entry host: the structs, their
// defaults, and the validation that every process runs before it starts.
package config

import (
	"fmt"
	"os"
	"strings"
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
	// MemoryBytes is the memory that this process may use. The memory limit of the Go
	// runtime and the limits of what other parties may hold are parts of it. 0 sets no
	// limit of the runtime, and the others as for 1 GiB.
	MemoryBytes int64 `json:"memoryBytes"`
	// ShutdownDelay is the time between reporting not ready and refusing requests,
	// in which the balancer switches to other hosts.
	ShutdownDelay Duration `json:"stopDelay"`
	// ShutdownTimeout limits a graceful shutdown. Only the notification of peers that
	// this host leaves may take up to 2 s longer.
	ShutdownTimeout Duration `json:"stopWithin"`
}

// Callers configures the listener for callers and its limits.
type Callers struct {
	Listen string `json:"listen"`
	// BodyBytes limits the size of a request body.
	BodyBytes int64 `json:"bodyBytes"`
	// HeaderTimeout and BodyTimeout limit how long a caller may take to send a header
	// and a body. They also apply to operators and peers.
	HeaderTimeout Duration `json:"headerTimeout"`
	BodyTimeout   Duration `json:"bodyTimeout"`
	// PromptTokens limits the length of a prompt.
	PromptTokens int `json:"promptTokens"`
	// StreamIdle is how long an attempt may produce no token before another target is
	// asked, too, and how long writing to a caller may take. For the first token, the limit
	// is HedgeRatio times the expected time if that is longer.
	StreamIdle Duration `json:"streamIdle"`
	// RequestDeadline limits the duration of a request to a model.
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
	// Advertise is the URL at which other entry hosts reach Listen. If it is empty, the
	// URL is http:// and the address of the listener.
	Advertise string `json:"advertise"`
	// Seeds are URLs of peers. While a host knows no live peer, it contacts them in
	// addition to the hosts in the platform's host list.
	Seeds []string `json:"seeds"`
	// Interval is the time between two rounds of exchanges, and FanOut the number of
	// peers that a host contacts in each round.
	Interval Duration `json:"interval"`
	FanOut   int      `json:"fanOut"`
	// SuspicionTimeout is how long a peer that does not answer is a suspect before it is
	// declared dead, and ForgetAfter how long a peer that is dead or has left is remembered.
	SuspicionTimeout Duration `json:"suspectAfter"`
	ForgetAfter      Duration `json:"forgetAfter"`
	// CutOffAfter is how long a host that does not reach a majority of the entry hosts
	// continues to admit requests after it or a peer last reached the table service.
	CutOffAfter Duration `json:"cutOffAfter"`
	// RevisionPoll is the interval between reads of the revision of the records.
	RevisionPoll Duration `json:"configPoll"`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	TableURL    string   `json:"tableURL"`
	ObjectURL   string   `json:"objectURL"`
	HostListURL string   `json:"hostListURL"`
	CallTimeout Duration `json:"callTimeout"`
	// ReadsPerSecond and WritesPerSecond limit the calls of all entry hosts together
	// to the table service.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// After BreakerFailures consecutive failed calls to the table service, a host makes
	// no call to it for BreakerPause.
	BreakerFailures int      `json:"breakerFailures"`
	BreakerPause    Duration `json:"breakerPause"`
}

// Admission configures the queues in front of placement.
type Admission struct {
	// QueuePerAccount limits the waiting requests of one client account.
	QueuePerAccount int `json:"queuePerAccount"`
	// QueueWait limits how long a request to a model waits for admission, and separately
	// how long each of its attempts waits for a target.
	QueueWait Duration `json:"queueWait"`
	// ReservePercent is the percentage of the capacity that is reserved for client
	// accounts within their fair share.
	ReservePercent float64 `json:"reservePercent"`
	// FillFactor is the number of requests that are admitted per engine slot.
	FillFactor float64 `json:"fillFactor"`
}

// Placement configures the choice of a target.
type Placement struct {
	// OwnerTimeout is how long a host waits for a decision that the owner of a pool makes
	// at once, before it decides by itself. Admission may take longer.
	OwnerTimeout Duration `json:"ownerTimeout"`
	// LoadPoll and CacheEventPoll are the intervals between reads of the load and of
	// the cache events of each target.
	LoadPoll       Duration `json:"loadPoll"`
	CacheEventPoll Duration `json:"cacheEventPoll"`
	// BlockTokens is the number of prompt tokens that are cached together.
	BlockTokens int `json:"pieceTokens"`
	// PreferredCount limits the candidates that hold cached blocks of a prompt and, in
	// large pools, those chosen by rendezvous hash. RandomCount is the number of
	// further candidates that are chosen at random in large pools.
	PreferredCount int `json:"preferredCount"`
	RandomCount    int `json:"randomCount"`
	// IndexEntries is the approximate number of cached blocks that the index records.
	IndexEntries int `json:"indexEntries"`
	// LongTokens is the answer length in tokens above which a request is long.
	// LongSlotPercent is the percentage of the slots that long requests may use.
	LongTokens      int     `json:"longTokens"`
	LongSlotPercent float64 `json:"longSlotPercent"`
	// WarmUp is the time in which the usable slots of a new engine grow to all slots.
	WarmUp Duration `json:"warmUp"`
	// LeaveTimeout is accepted but not used. For routed hosts see Table.
	LeaveTimeout Duration `json:"leaveWithin"`
	// Seed is part of the seed of the random choices.
	Seed uint64 `json:"seed"`
}

// Slowness configures how slow targets are detected and used.
type Slowness struct {
	// SlowRatio is the ratio to the expected time from which a target counts as slow.
	SlowRatio float64 `json:"slowRatio"`
	// ProbeEvery is the time between two requests that probe an idle slow target.
	ProbeEvery Duration `json:"probeEvery"`
	// HedgePercent is the allowed number of hedges per 100 requests.
	HedgePercent float64 `json:"hedgePercent"`
	// HedgeRatio is the ratio to the expected time from which a late first token
	// causes a hedge.
	HedgeRatio float64 `json:"hedgeRatio"`
}

// Retries configures the retry budget and the handling of suspect requests, which may
// have crashed targets.
type Retries struct {
	// BudgetPercent is the allowed number of retries per 100 requests.
	BudgetPercent float64 `json:"budgetPercent"`
	// BaseDelay is the maximum delay before the first retry. It doubles with each
	// further retry up to MaxDelay.
	BaseDelay Duration `json:"baseDelay"`
	MaxDelay  Duration `json:"maxDelay"`
	// A request, or a part that prompts share, is refused once more than SuspectAttempts
	// targets have crashed while they ran it. That expires SuspectTTL after the last crash
	// or refusal.
	SuspectAttempts int      `json:"suspectAttempts"`
	SuspectTTL      Duration `json:"suspectFor"`
}

// Retention configures which cache blocks are stored on store hosts.
type Retention struct {
	// BytesPerToken is the size of a cached token.
	BytesPerToken int64 `json:"bytesPerToken"`
	// LinkSharePercent is the percentage of a link's bandwidth that exports may use.
	LinkSharePercent float64 `json:"linkSharePercent"`
	// MemoryTTL is accepted but not used.
	MemoryTTL Duration `json:"memoryFor"`
	// FreeGrace is the minimum time between the deletion of a block's commit record and
	// that of the block.
	FreeGrace Duration `json:"freeGrace"`
	// MinimumReuseRatio is the share of returning prompts of a client account below
	// which none of its blocks is stored.
	MinimumReuseRatio float64 `json:"minimumReuseRatio"`
}

// Bookings configures the records of non-idempotent calls.
type Bookings struct {
	// KeepFor is how long a record is valid.
	KeepFor Duration `json:"keepFor"`
}

// Ledger configures how placements are counted.
type Ledger struct {
	// FlushEvery is the minimum time between two writes of a host, and BatchRows the
	// maximum number of rows in a batch.
	FlushEvery Duration `json:"flushEvery"`
	// CopyEvery is the time between two copies of unwritten placements to another host. 0
	// makes copies only after a failed write.
	CopyEvery Duration `json:"copyEvery"`
	BatchRows int      `json:"batchRows"`
	// WritesPerSecond limits the writes of all entry hosts together. With many hosts,
	// the time between two writes of a host is longer than FlushEvery.
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
			Listen:           "127.0.0.1:8082",
			Interval:         DurationOf(time.Second),
			FanOut:           2,
			SuspicionTimeout: DurationOf(5 * time.Second),
			ForgetAfter:      DurationOf(time.Minute),
			CutOffAfter:      DurationOf(8 * time.Second),
			RevisionPoll:     DurationOf(2 * time.Second),
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
			OwnerTimeout:    DurationOf(300 * time.Millisecond),
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
			SuspectTTL:      DurationOf(30 * time.Minute),
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
func decodeInto(source string, data []byte, cfg any, check func(locator) finding.List, unused ...string) error {
	doc, err := jsonc.Parse(source, data)
	if err != nil {
		return err
	}
	if findings := doc.Decode(cfg); len(findings) > 0 {
		return findings.Err()
	}
	findings := check(doc.Place)
	for _, pointer := range unused {
		if doc.Has(pointer) {
			findings = append(findings, finding.Finding{Place: doc.Place(pointer), Message: strings.ReplaceAll(pointer[1:], "/", ".") + ": this kind of host does not use this setting"})
		}
	}
	findings.Sort()
	return findings.Err()
}
