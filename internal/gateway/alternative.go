package gateway

import (
	"slices"
	"sync/atomic"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// alternative is how a request can go on if the target of an attempt is silent. A silent
// target may only be slow, so it is kept unless a retry is possible.
type alternative struct {
	g       *Gateway
	work    *work.Work
	request placement.Request
	// taken is set once the retry was taken from the budget.
	taken atomic.Bool
}

func (r *run) newAlternative(at *attempt) *alternative {
	a := &alternative{g: r.g, work: r.work, request: r.request}
	a.request.Exclude = append(slices.Clone(r.request.Exclude), at.target.ID)
	return a
}

// requireBuild restricts the targets that can be used to those of a build.
func (a *alternative) requireBuild(build string) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.request.Build = &build
}

// take takes a retry from the budget if another target can be used, and reports whether it
// did.
func (a *alternative) take() bool {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	if !a.g.path.Lost() || a.g.Hosts == nil || a.work.Relayed || len(a.g.Hosts.ReadyPeers()) == 0 {
		at := a.g.chooseTarget(a.g.Clock.Now(), &a.request, a.work)
		if at == nil || at.decision.Target == "" {
			return false
		}
	}
	if !a.g.budget(a.work.Service).Spend() {
		return false
	}
	a.g.count("attempts.repeated")
	a.taken.Store(true)
	return true
}
