// Package retention decides which parts of a finished prompt are kept on which
// store host and tier. It does no I/O, reads no clock and starts no goroutine;
// its caller serializes access.
package retention

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/store"
)

const (
	// firstGuess is the share of returning prompts assumed of a new account.
	firstGuess   = 0.5
	sampleWeight = 0.02
	// idleBacklog is the longest booking of a link that still counts as idle.
	idleBacklog = 20 * time.Millisecond
	// roomShare is the part of a store host's room that is filled.
	roomShare = 0.9
	// budgetBurst is the time for which unused link budget is saved up.
	budgetBurst = 2 * time.Second
)

// Params are the settings of a Planner.
type Params struct {
	BlockTokens   int
	BytesPerToken float64
	// LinkSharePercent is the part of a link's speed that exports may use.
	LinkSharePercent float64
	// MinimumReuseRatio is the share of returning prompts of an account below
	// which nothing is kept.
	MinimumReuseRatio float64
}

// StoreView is what the planner needs to know of a store host.
type StoreView struct {
	Name           string
	BytesPerSecond float64
	Backlog        time.Duration
	UsedBytes      int64
	MemoryBytes    int64
	DiskBytes      int64
}

// FinishedPrompt describes a prompt that has run.
type FinishedPrompt struct {
	Account string
	Chain   []prefix.Key
	// StoredBlocks is the part of the chain that is kept already.
	StoredBlocks int
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
}

// Reason tells why pieces are kept or not.
type Reason string

// The reasons of plans.
const (
	ReasonKeep       Reason = "keep"
	ReasonNothingNew Reason = "nothingNew"
	ReasonSeldom     Reason = "seldomReturns"
	ReasonCheap      Reason = "cheaperToRecompute"
	ReasonLinkBusy   Reason = "linkBusy"
	ReasonBudget     Reason = "linkBudgetSpent"
	ReasonNoRoom     Reason = "noRoom"
)

// Plan says which pieces of a chain to export, and where to.
type Plan struct {
	Store  string
	Tier   store.Tier
	From   int
	To     int
	Reason Reason
}

// Planner learns which client accounts' prompts return.
type Planner struct {
	params  Params
	returns map[string]float64
	budgets map[string]*budget
}

type budget struct {
	bytes float64
	at    time.Time
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(params Params) *Planner {
	return &Planner{params: params, returns: map[string]float64{}, budgets: map[string]*budget{}}
}

// ObservePrompt learns whether a prompt that came in had a prefix seen before.
func (p *Planner) ObservePrompt(account string, returned bool) {
	value := 0.0
	if returned {
		value = 1
	}
	p.returns[account] = p.ratio(account) + (value-p.ratio(account))*sampleWeight
}

func (p *Planner) ratio(account string) float64 {
	if ratio, ok := p.returns[account]; ok {
		return ratio
	}
	return firstGuess
}

// Plan decides what to keep of a finished prompt. All pieces of one chain go
// to the same store host as long as it has room.
func (p *Planner) Plan(now time.Time, f FinishedPrompt, stores []StoreView) Plan {
	plan := Plan{From: f.StoredBlocks, To: len(f.Chain)}
	if plan.From >= plan.To || len(stores) == 0 {
		plan.Reason = ReasonNothingNew
		return plan
	}
	if p.ratio(f.Account) < p.params.MinimumReuseRatio {
		plan.Reason = ReasonSeldom
		return plan
	}
	home := int(xxhash.Sum64(f.Chain[0][:]) % uint64(len(stores)))
	plan.Reason = ReasonNoRoom
	for i := range stores {
		view := &stores[(home+i)%len(stores)]
		bytes := p.bytes(plan.To - plan.From)
		if float64(view.UsedBytes)+bytes > roomShare*float64(view.MemoryBytes+view.DiskBytes) {
			continue
		}
		return p.planOn(now, f, view, plan, bytes)
	}
	return plan
}

func (p *Planner) planOn(now time.Time, f FinishedPrompt, view *StoreView, plan Plan, bytes float64) Plan {
	plan.Store = view.Name
	plan.Tier = store.TierDisk
	if float64(view.UsedBytes)+bytes <= roomShare*float64(view.MemoryBytes) {
		plan.Tier = store.TierMemory
	}
	tokens := float64((plan.To - plan.From) * p.params.BlockTokens)
	switch {
	case bytes/view.BytesPerSecond >= tokens/f.PrefillRate:
		plan.Reason = ReasonCheap
	case view.Backlog > idleBacklog:
		plan.Reason = ReasonLinkBusy
	case !p.spend(now, view, bytes):
		plan.Reason = ReasonBudget
	default:
		plan.Reason = ReasonKeep
	}
	return plan
}

func (p *Planner) bytes(pieces int) float64 {
	return float64(pieces*p.params.BlockTokens) * p.params.BytesPerToken
}

// spend takes bytes out of the budget of a link. The budget may go below zero
// by one export, so that a long prompt can be kept at all.
func (p *Planner) spend(now time.Time, view *StoreView, bytes float64) bool {
	perSecond := view.BytesPerSecond * p.params.LinkSharePercent / 100
	most := perSecond * budgetBurst.Seconds()
	b := p.budgets[view.Name]
	if b == nil {
		b = &budget{bytes: most, at: now}
		p.budgets[view.Name] = b
	}
	b.bytes = min(most, b.bytes+perSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.bytes <= 0 {
		return false
	}
	b.bytes -= bytes
	return true
}
