package placement

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// Request describes a request to be placed.
type Request struct {
	ID      string
	Account string
	Model   string
	Version string
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	Long         bool
	// Suspect is true if a target died while the request ran. A target gets no
	// other suspect until this one has its first token or ends.
	Suspect bool
	// MayProbe allows the request to test whether a slowed target has recovered.
	MayProbe bool
	// Chain holds the keys of the cacheable prefixes of the prompt, the shortest
	// first.
	Chain []prefix.Key
	// ChainTokens is the length of each of these prefixes in tokens. It is set if
	// the prompt consists of prompt parts. Each part then counts as a block, and
	// Chain holds the keys of the parts. If ChainTokens is nil, every prefix
	// consists of full blocks.
	ChainTokens []int
	// FetchSeconds is the time to fetch each block from a store host or from
	// another target, 0 for blocks that cannot be fetched.
	FetchSeconds []float64
	// Affinity is the hash key that breaks ties between equally good targets, in
	// the same way on every host. If it is 0, ties are broken at random.
	Affinity uint64
	// FailureDomain is the failure domain whose targets are preferred if others are
	// not much faster; empty for no preference.
	FailureDomain string
	// MaxMemoryShare is the share of the memory of a target that may be in use
	// with the prompt of this request included; 0 for no limit.
	MaxMemoryShare float64
	// Exclude lists the targets that were already tried.
	Exclude []string
	// Build is the build of targets that the request needs, nil for any.
	Build *string
	// Resumable is set for a stream that can be resumed.
	Resumable bool
}

// Source is the origin of the cached part of a prompt.
type Source string

// Sources of the cached part of a prompt: none, the cache of the target, an
// import from a store host, or a fetch of blocks according to
// Request.FetchSeconds.
const (
	SourceNone   Source = "recompute"
	SourceTarget Source = "reuse"
	SourceStore  Source = "import"
	SourceFetch  Source = "fetch"
)

// Reason is why a target was chosen, or why there was none.
type Reason string

// Reasons of a Decision.
const (
	ReasonLeastTime  Reason = "leastExpectedTime"
	ReasonProbe      Reason = "probe"
	ReasonNoTarget   Reason = "noTarget"
	ReasonNoLongSlot Reason = "noLongSlot"
	ReasonNoMemory   Reason = "noMemory"
	ReasonQuiet      Reason = "quiet"
	// ReasonNoRoom means that a request might have to wait on every restricted target.
	ReasonNoRoom Reason = "noRoom"
	// ReasonShare means that the target lacks most requests of its share.
	ReasonShare Reason = "share"
)

// Estimate is the expected time to first token on one target, by component.
// Times are in seconds. Slowness is a factor relative to the pool, at least 1.
// Import and ImportedTokens describe the fetch if Source is SourceFetch.
type Estimate struct {
	Target         string  `json:"target"`
	Wait           float64 `json:"wait"`
	Import         float64 `json:"import"`
	Prefill        float64 `json:"prefill"`
	Penalty        float64 `json:"penalty"`
	Slowness       float64 `json:"slowness"`
	Source         Source  `json:"source"`
	ReusedTokens   int     `json:"reusedTokens"`
	ImportedTokens int     `json:"importedTokens"`
	// FirstBlock and EndBlock are the range of fetched blocks; EndBlock is not
	// included.
	FirstBlock int `json:"firstPiece,omitempty"`
	EndBlock   int `json:"endPiece,omitempty"`

	engineNumber int32
}

// FirstToken returns the expected time to first token in seconds. Imports and
// fetches run while the request waits.
func (e *Estimate) FirstToken() float64 {
	return max(e.Wait, e.Import) + e.Prefill
}

// Total returns the cost by which targets are compared: the expected time to
// first token plus the penalty, in seconds.
func (e *Estimate) Total() float64 {
	return e.FirstToken() + e.Penalty
}

// Decision is the result of one placement. Place reuses the Considered slice of
// the Decision that it gets.
type Decision struct {
	// Target is empty if no target was found.
	Target string
	Reason Reason
	Chosen Estimate
	// Store and ImportBlocks describe the import if Chosen.Source is
	// SourceStore.
	Store        string
	ImportBlocks int
	Considered   []Estimate
	// MemoryTaken is valid if Reason is ReasonNoMemory. It is the lowest share of
	// memory that would be in use on a target with the prompt of the request
	// included.
	MemoryTaken float64
	// QuietUntil is valid if Reason is ReasonQuiet. It is when the first target accepts
	// requests of this host again.
	QuietUntil time.Time
	// ColdDeferred is set if a cold target was excluded, as this host may send it no request yet.
	ColdDeferred bool
}

// recordQuiet records a target that accepts no requests of this host until a time.
func (d *Decision) recordQuiet(until time.Time) {
	if d.QuietUntil.IsZero() || until.Before(d.QuietUntil) {
		d.QuietUntil = until
	}
}

// Ticket tracks one request on one target from its placement to its end.
type Ticket struct {
	Target   string
	PlacedAt time.Time
	// ExpectedFirst is the expected time to first token on a target that is not
	// slowed.
	ExpectedFirst time.Duration
	TokenGap      time.Duration
	Long          bool
	// Suspect is false once the request has its first token or has ended.
	Suspect bool

	pool         *enginePool
	engineNumber int32
	// load is the number of requests on the target when this one was placed, itself included.
	load int
	// first is the time from the placement to the first token, 0 before.
	first         time.Duration
	prefillTokens float64
	heldTokens    float64
	prefilling    bool
	decoding      bool
	active        bool
	// remote is set if another host sends the request to the target.
	remote bool
}

// Source returns the origin of the cached part of the prompt.
func (d *Decision) Source() Source { return d.Chosen.Source }

// prefixTokens returns the number of tokens in the given number of blocks at the
// beginning of the prompt.
func (r *Request) prefixTokens(blocks, blockTokens int) int {
	if blocks == 0 {
		return 0
	}
	if r.ChainTokens == nil {
		return min(r.PromptTokens, blocks*blockTokens)
	}
	return min(r.PromptTokens, r.ChainTokens[blocks-1])
}
