package dispatch

import (
	"cmp"
	"slices"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retention"
)

// candidatesLogged is the maximum number of candidates in one log message.
const candidatesLogged = 4

// candidateList logs the best candidates of a decision as one object.
type candidateList []placement.Estimate

// MarshalObject writes each candidate under the name of its target.
func (c candidateList) MarshalObject(e *log.Entry) {
	for i := range c {
		est := &c[i]
		e.Object(est.Target, candidate{est})
	}
}

type candidate struct {
	est *placement.Estimate
}

// MarshalObject writes the components of one estimate: times in seconds, the
// slowness factor, and numbers of tokens.
func (c candidate) MarshalObject(e *log.Entry) {
	e.Float64("waitSeconds", c.est.Wait).
		Float64("importSeconds", c.est.Import).
		Float64("prefillSeconds", c.est.Prefill).
		Float64("penaltySeconds", c.est.Penalty).
		Float64("slowness", c.est.Slowness).
		Int("reusedTokens", c.est.ReusedTokens).
		Int("importedTokens", c.est.ImportedTokens)
}

func (d *Dispatcher) logPlacement(r *run, at *attempt, action string) {
	considered := at.decision.Considered
	slices.SortFunc(considered, func(a, b placement.Estimate) int { return cmp.Compare(a.Total(), b.Total()) })
	d.Log.Info().Str("part", "placement").
		Str("requestId", r.id).
		Int("attempt", at.number).
		Str("clientAccount", r.request.Account).
		Str("model", r.request.Model).
		Str("version", r.request.Version).
		Str("target", at.decision.Target).
		Str("reason", string(at.decision.Reason)).
		Str("source", string(at.decision.Source())).
		Str("store", at.decision.Store).
		Bool("suspect", r.request.Suspect).
		Bool("long", r.request.Long).
		Int("candidates", len(considered)).
		Object("best", candidateList(considered[:min(candidatesLogged, len(considered))])).
		Msg("placement: " + action + " on " + at.decision.Target)
}

func (d *Dispatcher) logService(req *placement.Request, decision *placement.Decision, call *ServiceCall, attempt int) {
	d.Log.Info().Str("part", "routing").
		Str("requestId", req.ID).
		Int("attempt", attempt).
		Str("clientAccount", call.Account).
		Str("service", call.Service).
		Str("method", call.Method).
		Str("path", call.Path).
		Bool("repeatable", call.Repeatable).
		Str("target", decision.Target).
		Str("reason", string(decision.Reason)).
		Int("candidates", len(decision.Considered)).
		Msg("routing: call " + call.Service + " on " + decision.Target)
}

func (d *Dispatcher) logRetention(f *finishedPrompt, plan *retention.Plan) {
	d.Log.Info().Str("part", "retention").
		Str("clientAccount", f.account).
		Str("target", f.target).
		Str("store", plan.Store).
		Str("tier", string(plan.Tier)).
		Int("from", plan.From).
		Int("to", plan.To).
		Str("reason", string(plan.Reason)).
		Msg("retention: " + string(plan.Reason))
}
