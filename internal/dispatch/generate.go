package dispatch

import (
	"context"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Priorities of requests on engines, the highest first.
const (
	priorityInShare   = 2
	priorityOverShare = 1
	priorityLong      = 0
)

// answerTokenWork is the work of one answer token, in prompt tokens.
const answerTokenWork = 8

// GenerationRequest is a request for the answer of a language model.
type GenerationRequest struct {
	Account   string
	Model     string
	Prompt    string
	MaxTokens int
}

// Usage describes an answer, which may be incomplete if Generate has failed.
type Usage struct {
	RequestID    string
	Version      string
	PromptTokens int
	AnswerTokens int
	ReusedTokens int
	FinishReason string
}

// Sink receives an answer while it is generated.
type Sink interface {
	// Begin is called at most once: before the first token, or at the end of an
	// answer without tokens.
	Begin(requestID, version string) error
	// Token receives the next token.
	Token(text string) error
	// Flush is called when no further token is available yet.
	Flush() error
}

// Generate runs a request for a language model. Errors are *failure.Error, except
// for an error of sink.Begin at the end of an answer without tokens, which is
// returned unchanged.
func (d *Dispatcher) Generate(ctx context.Context, g *GenerationRequest, sink Sink) (Usage, error) {
	if err := d.begin(); err != nil {
		return Usage{}, err
	}
	defer d.running.Done()
	if err := d.admissible(); err != nil {
		return Usage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.Config.Callers.RequestDeadline.Duration)
	defer cancel()
	r, err := d.newRun(g, sink)
	if err != nil {
		return Usage{}, err
	}
	if err := r.admit(ctx); err != nil {
		return Usage{}, err
	}
	defer r.releaseJob()
	if err := r.generate(ctx); err != nil {
		if r.tokens > 0 {
			d.recordPlacement(r, true)
		}
		return r.usage(), err
	}
	d.finish(r)
	return r.usage(), nil
}

// admissible returns an error while the host may not admit requests based on
// its records, or can't record further placements.
func (d *Dispatcher) admissible() error {
	if !d.Records.RecentEnough() {
		return failure.Busy(failure.CutOff, time.Second, "this host is cut off from the records in force")
	}
	if d.Ledger.Full() {
		return failure.Busy(failure.LedgerFull, time.Second, "this host can't record further placements in the ledger now")
	}
	return nil
}

// newRun checks a request and computes everything that is the same for all its
// attempts.
func (d *Dispatcher) newRun(g *GenerationRequest, sink Sink) (*run, error) {
	set := d.Records.Current()
	version, err := d.pinVersion(set, g.Model, g.Account)
	if err != nil {
		return nil, err
	}
	promptTokens := prefix.EstimateTokens(g.Prompt)
	limit := min(d.Config.Callers.PromptTokens, set.Models[g.Model].ContextTokens)
	if promptTokens > limit {
		return nil, failure.NotRun(http.StatusRequestEntityTooLarge, failure.PromptTooLong,
			"the prompt has about %d tokens, the limit is %d", promptTokens, limit)
	}
	r := &run{
		d:          d,
		generation: g,
		sink:       sink,
		id:         d.nextID(),
		startedAt:  d.Clock.Now(),
		keys:       d.suspectKeys(g),
		events:     make(chan attemptEvent, eventBuffer),
		active:     map[int]*attempt{},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if key, refused := d.refused(set, r); refused {
		return nil, failure.NotRun(http.StatusUnprocessableEntity, failure.CrashesTargets, crashesTargetsFormat, key)
	}
	r.poolName = d.pools[g.Model]
	answerTokens := d.lengths.Estimate(g.Account, g.MaxTokens)
	seed := prefix.Seed(g.Account, g.Model, version)
	r.request = placement.Request{
		ID:           r.id,
		Account:      g.Account,
		Model:        g.Model,
		Version:      version,
		PromptTokens: promptTokens,
		AnswerTokens: answerTokens,
		Long:         answerTokens > d.Config.Placement.LongTokens,
		Suspect:      d.suspects.CrashCount(r.startedAt, r.keys.Request) > 0,
		MayProbe:     true,
		Chain:        prefix.Chain(nil, seed, g.Prompt, d.Config.Placement.BlockTokens),
	}
	r.job = &admission.Job{
		Account:  g.Account,
		Work:     float64(promptTokens + answerTokenWork*answerTokens),
		Long:     r.request.Long,
		Deadline: r.startedAt.Add(d.Config.Admission.QueueWait.Duration),
	}
	if len(r.request.Chain) > 0 {
		d.retention.ObservePrompt(g.Account, d.placer.IsCached(r.request.Chain[0]))
	}
	d.retries.Earn()
	d.hedges.Earn()
	return r, nil
}

// pinVersion chooses the weight version of a new request. While too few engines
// have loaded the version that the rule names, the previous version is used or, if
// there is none, the version that most engines have loaded.
func (d *Dispatcher) pinVersion(set *record.Set, model, account string) (string, error) {
	if set.Models[model] == nil {
		return "", failure.NotRun(http.StatusNotFound, failure.UnknownModel, "model %q does not exist", model)
	}
	rule, ok := set.RuleFor(model, account)
	if !ok {
		return "", failure.NotRun(http.StatusNotFound, failure.UnknownModel, "model %q has no routing rule", model)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := model + "/" + rule.ClientAccount
	previous := d.pinned[key]
	if previous == rule.Version {
		return previous, nil
	}
	needed := max(rule.ReadyPercent/100, minimumReadyShare)
	if d.placer.VersionShare(model, rule.Version) >= needed {
		d.pinned[key] = rule.Version
		return rule.Version, nil
	}
	if previous != "" && set.Versions[previous] != nil {
		return previous, nil
	}
	return d.mostLoadedVersion(set, model, rule.Version), nil
}

// minimumReadyShare is the share of engines that must have loaded a version
// before new requests are pinned to it, if the rule names a smaller share or none.
const minimumReadyShare = 0.01

// mostLoadedVersion returns the version of a model that most engines have
// loaded, or the wanted one if no engine has loaded any. The lock must be held.
func (d *Dispatcher) mostLoadedVersion(set *record.Set, model, wanted string) string {
	best, bestShare := wanted, 0.0
	for name, version := range set.Versions {
		if version.Model != model {
			continue
		}
		share := d.placer.VersionShare(model, name)
		if share > bestShare || (share == bestShare && share > 0 && name < best) {
			best, bestShare = name, share
		}
	}
	return best
}

// recordPlacement records an answer in the ledger once, regardless of how many
// targets contributed to it.
func (d *Dispatcher) recordPlacement(r *run, partial bool) {
	d.Ledger.Add(ledger.Row{
		RequestID:     r.id,
		ClientAccount: r.request.Account,
		Model:         r.request.Model,
		Version:       r.request.Version,
		Target:        r.lastTarget,
		PromptTokens:  r.request.PromptTokens,
		AnswerTokens:  r.tokens,
		ReusedTokens:  r.reusedTokens,
		Partial:       partial,
		At:            d.Clock.Now(),
	})
}

// finish records a complete answer, updates the length estimate, clears the
// request as a suspect and queues its prompt for a retention decision.
func (d *Dispatcher) finish(r *run) {
	d.recordPlacement(r, false)
	d.mu.Lock()
	d.lengths.Observe(r.request.Account, r.generation.MaxTokens, r.tokens)
	d.suspects.RecordAnswer(d.Clock.Now(), r.keys)
	d.mu.Unlock()
	d.count("requests.answered")
	select {
	case d.finished <- finishedPrompt{account: r.request.Account, version: r.request.Version, target: r.lastTarget, chain: r.request.Chain}:
	default:
		d.count("retention.skipped")
	}
}
