// Package retention decides which blocks of a finished prompt are exported to
// which store host and tier. It does no I/O, reads no clock and starts no
// goroutine. The caller serializes access.
package retention

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/store"
)

const (
	// defaultReturnRatio is the share of returning prompts that is assumed for a
	// new account.
	defaultReturnRatio = 0.5
	// sampleWeight is the weight of one prompt in the moving average.
	sampleWeight = 0.02
	// maxIdleBacklog is the longest backlog of a link that still counts as idle.
	maxIdleBacklog = 20 * time.Millisecond
	// maxFillShare is the share of the space of a store host, or of its memory, that
	// exports may fill.
	maxFillShare = 0.9
	// budgetBurstTime is the time over which unused link budget accumulates.
	budgetBurstTime = 2 * time.Second
)

// Params configures a Planner.
type Params struct {
	BlockTokens int
	// BytesPerToken is the size of the cached state of one prompt token, unlike
	// prefix.BytesPerToken, which is the size of its text.
	BytesPerToken float64
	// LinkSharePercent is the percentage of the speed of a link that exports may
	// use.
	LinkSharePercent float64
	// MinimumReuseRatio is the share of returning prompts of an account below
	// which nothing is exported.
	MinimumReuseRatio float64
}

// StoreView is the state of a store host and of its link as this host knows it.
type StoreView struct {
	Name string
	// BytesPerSecond is the speed of the link.
	BytesPerSecond float64
	// Backlog is the time until the transfers on the link are expected to be done.
	Backlog     time.Duration
	UsedBytes   int64
	MemoryBytes int64
	DiskBytes   int64
}

// FinishedPrompt describes a prompt that has run.
type FinishedPrompt struct {
	Account string
	// Chain holds the key of each block of the prompt, as from prefix.Chain.
	Chain []prefix.Key
	// StoredBlocks is the number of blocks of the chain that are already stored.
	StoredBlocks int
	// PrefillRate is the speed of an idle target in prompt tokens per second.
	PrefillRate float64
}

// Reason is why blocks are exported or not.
type Reason string

// Reasons of a Plan.
const (
	ReasonKeep Reason = "keep"
	// ReasonNothingNew means that all blocks are stored already, or that no store
	// host is available.
	ReasonNothingNew         Reason = "nothingNew"
	ReasonSeldomReturns      Reason = "seldomReturns"
	ReasonCheaperToRecompute Reason = "cheaperToRecompute"
	ReasonLinkBusy           Reason = "linkBusy"
	ReasonLinkBudgetSpent    Reason = "linkBudgetSpent"
	ReasonNoRoom             Reason = "noRoom"
)

// Plan describes which blocks of a chain to export, and the store host and tier to
// export them to. Blocks are exported only if Reason is ReasonKeep.
type Plan struct {
	Store string
	Tier  store.Tier
	// From is the index of the first block to export, and To that after the last.
	From   int
	To     int
	Reason Reason
}

// Planner selects the blocks to export. It learns how often the prompts of each
// client account return.
type Planner struct {
	params       Params
	returnRatios map[string]float64
	budgets      map[string]*budget
}

// budget limits the exports over one link.
type budget struct {
	// bytes is the number of bytes that exports could still send at the time at.
	bytes float64
	at    time.Time
}

// NewPlanner returns a Planner that has observed no prompts.
func NewPlanner(params Params) *Planner {
	return &Planner{params: params, returnRatios: map[string]float64{}, budgets: map[string]*budget{}}
}

// ObservePrompt records whether a new prompt has a prefix that was seen before.
func (p *Planner) ObservePrompt(account string, returned bool) {
	sample := 0.0
	if returned {
		sample = 1
	}
	p.returnRatios[account] = p.returnRatio(account) + (sample-p.returnRatio(account))*sampleWeight
}

func (p *Planner) returnRatio(account string) float64 {
	if ratio, ok := p.returnRatios[account]; ok {
		return ratio
	}
	return defaultReturnRatio
}

// Plan selects the blocks of a finished prompt to export. All blocks of one chain
// go to the same store host as long as it has space.
func (p *Planner) Plan(now time.Time, f FinishedPrompt, stores []StoreView) Plan {
	plan := Plan{From: f.StoredBlocks, To: len(f.Chain)}
	if plan.From >= plan.To || len(stores) == 0 {
		plan.Reason = ReasonNothingNew
		return plan
	}
	if p.returnRatio(f.Account) < p.params.MinimumReuseRatio {
		plan.Reason = ReasonSeldomReturns
		return plan
	}
	first := int(xxhash.Sum64(f.Chain[0][:]) % uint64(len(stores)))
	plan.Reason = ReasonNoRoom
	for i := range stores {
		view := &stores[(first+i)%len(stores)]
		bytes := p.bytes(plan.To - plan.From)
		if float64(view.UsedBytes)+bytes > maxFillShare*float64(view.MemoryBytes+view.DiskBytes) {
			continue
		}
		return p.planStore(now, f, view, plan, bytes)
	}
	return plan
}

// planStore completes the plan for a store host that has space for the blocks.
func (p *Planner) planStore(now time.Time, f FinishedPrompt, view *StoreView, plan Plan, bytes float64) Plan {
	plan.Store = view.Name
	plan.Tier = store.TierDisk
	if float64(view.UsedBytes)+bytes <= maxFillShare*float64(view.MemoryBytes) {
		plan.Tier = store.TierMemory
	}
	tokens := float64((plan.To - plan.From) * p.params.BlockTokens)
	switch {
	case bytes/view.BytesPerSecond >= tokens/f.PrefillRate:
		plan.Reason = ReasonCheaperToRecompute
	case view.Backlog > maxIdleBacklog:
		plan.Reason = ReasonLinkBusy
	case !p.spend(now, view, bytes):
		plan.Reason = ReasonLinkBudgetSpent
	default:
		plan.Reason = ReasonKeep
	}
	return plan
}

func (p *Planner) bytes(blocks int) float64 {
	return float64(blocks*p.params.BlockTokens) * p.params.BytesPerToken
}

// spend takes bytes from the budget of a link. It returns false and takes nothing
// if the budget is exhausted. One export may bring the budget below zero, since
// long prompts could not be exported otherwise.
func (p *Planner) spend(now time.Time, view *StoreView, bytes float64) bool {
	bytesPerSecond := view.BytesPerSecond * p.params.LinkSharePercent / 100
	limit := bytesPerSecond * budgetBurstTime.Seconds()
	b := p.budgets[view.Name]
	if b == nil {
		b = &budget{bytes: limit, at: now}
		p.budgets[view.Name] = b
	}
	b.bytes = min(limit, b.bytes+bytesPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.bytes <= 0 {
		return false
	}
	b.bytes -= bytes
	return true
}
