package placement

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// Request is what placement needs to know of a request.
type Request struct {
	ID      string
	Account string
	Model   string
	Version string
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	Long         bool
	// Suspect tells that a target died while the request ran. No two suspects
	// share a target.
	Suspect bool
	// MayProbe allows the request to be sent to a slowed target.
	MayProbe bool
	// Chain names the cached prefixes of the prompt, the shortest first.
	Chain []prefix.Key
	// ChainTokens are the tokens of each of these prefixes; nil stands for
	// whole pieces.
	ChainTokens []int
	// FetchSeconds are the times in which each piece can be fetched from
	// elsewhere; 0 for pieces that can't.
	FetchSeconds []float64
	// Affinity chooses among targets that are equally good, in the same way on
	// every host; 0 leaves it to chance.
	Affinity uint64
	// FailureDomain is preferred where the difference is small; empty for none.
	FailureDomain string
	// MaxMemoryShare is the part of a target's memory that may be taken with the
	// request; 0 stands for no limit.
	MaxMemoryShare float64
	// Exclude names the targets that were tried already.
	Exclude []string
}

// Source tells where the cached part of a prompt comes from.
type Source string

// The sources of a prompt's cached part.
const (
	SourceNone   Source = "recompute"
	SourceTarget Source = "reuse"
	SourceStore  Source = "import"
	SourceFetch  Source = "fetch"
)

// Reason tells why a target was chosen, or why none was.
type Reason string

// The reasons of decisions.
const (
	ReasonLeastTime  Reason = "leastExpectedTime"
	ReasonProbe      Reason = "probe"
	ReasonNoTarget   Reason = "noTarget"
	ReasonNoLongSlot Reason = "noLongSlot"
	ReasonNoMemory   Reason = "noMemory"
)

// Estimate holds the parts of the expected time to the first token on one
// target. Times are in seconds.
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
	// FirstBlock to EndPiece are the pieces that are fetched from elsewhere.
	FirstBlock int `json:"firstPiece,omitempty"`
	EndBlock   int `json:"endPiece,omitempty"`

	number int32
}

// FirstToken returns the expected time to the first token in seconds.
func (e *Estimate) FirstToken() float64 {
	return max(e.Wait, e.Import) + e.Prefill
}

// Total returns the value by which targets are compared, in seconds.
func (e *Estimate) Total() float64 {
	return e.FirstToken() + e.Penalty
}

// Decision is the outcome of one placement. Its slices are reused when the
// same Decision is passed to Place again.
type Decision struct {
	// Target is empty when no target was found.
	Target string
	Reason Reason
	Chosen Estimate
	// Store and ImportPieces tell what to import, if Chosen.Source says so.
	Store        string
	ImportBlocks int
	Considered   []Estimate
	// MemoryTaken is the part of its memory that would be taken at the target
	// with most room, where the reason is that none has room.
	MemoryTaken float64
}

// Ticket stands for one request on one target from its placement to its end.
type Ticket struct {
	Target        string
	PlacedAt      time.Time
	ExpectedFirst time.Duration
	TokenGap      time.Duration
	Long          bool
	Suspect       bool

	pool       *pool
	number     int32
	prefill    float64
	held       float64
	prefilling bool
	decoding   bool
	active     bool
}

// Source tells where the cached part of the prompt comes from.
func (d *Decision) Source() Source { return d.Chosen.Source }

// prefixTokens returns the tokens in the first pieces of the prompt.
func (r *Request) prefixTokens(pieces, pieceTokens int) int {
	if pieces == 0 {
		return 0
	}
	if r.ChainTokens == nil {
		return min(r.PromptTokens, pieces*pieceTokens)
	}
	return min(r.PromptTokens, r.ChainTokens[pieces-1])
}
