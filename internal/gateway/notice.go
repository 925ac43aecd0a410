package gateway

import (
	"errors"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

// maxQuietFor limits how long one answer of a target keeps this host from calling it.
const maxQuietFor = 5 * time.Minute

// noticeOf returns what the answer behind an error says about its target.
func noticeOf(err error) Notice {
	var refused *NotRunError
	if errors.As(err, &refused) {
		return refused.Notice
	}
	var broken *BrokenError
	if errors.As(err, &broken) {
		return broken.Notice
	}
	return Notice{}
}

// applyNotice stops placing requests on a target that is leaving or wants no calls for
// some time, and records its limit of requests.
func (g *Gateway) applyNotice(t fleet.Target, n Notice) {
	if n.Leaving {
		g.targetLeaving(t.ID, t.Started, "answer")
	}
	if n.Limited {
		g.addLimit(targetlimit.Statement{Target: t.ID, Started: t.Started, Limited: true, PerSecond: n.Limit, At: g.Clock.Now()}, "answer")
	}
	if n.Brittle {
		g.addBrittle(targetlimit.Statement{Target: t.ID, Started: t.Started, Limited: true, PerSecond: n.RejectLimit, At: g.Clock.Now()}, "answer")
	}
	if n.ColdFor > 0 {
		g.presumeCold(t, n.ColdFor, coldByAnswer)
	}
	if n.QuietFor <= 0 {
		return
	}
	quiet := min(n.QuietFor, maxQuietFor)
	g.mu.Lock()
	g.placer.Quiet(t.ID, g.Clock.Now().Add(quiet))
	g.mu.Unlock()
	g.count("targets.quiet")
	g.Log.Info().Str("part", "targets").Str("target", t.ID).Int64("started", t.Started).Dur("for", quiet).
		Msg("targets: target wants no calls from this host for some time")
}

// applyReply applies the notice of an answer to a request. An answer without a limit says
// that the target has none any more, and one that doesn't say that it is brittle that it isn't.
func (g *Gateway) applyReply(t fleet.Target, n Notice) {
	g.applyNotice(t, n)
	g.mu.Lock()
	lifted := !n.Limited && g.limits.Limited(t.ID)
	sturdy := !n.Brittle && g.brittle.Limited(t.ID)
	g.mu.Unlock()
	if lifted {
		g.addLimit(targetlimit.Statement{Target: t.ID, Started: t.Started, At: g.Clock.Now()}, "answer")
	}
	if sturdy {
		g.addBrittle(targetlimit.Statement{Target: t.ID, Started: t.Started, At: g.Clock.Now()}, "answer")
	}
}

// targetLeaving records that a target is leaving, according to one of its answers or to
// a peer that received one.
func (g *Gateway) targetLeaving(id string, started int64, source string) {
	if !g.Fleet.MarkLeaving(id, started) {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	g.placer.MarkLeaving(now, id)
	g.leaving = append(g.leaving, leavingTarget{id: id, started: started, heardAt: now})
	g.leaving = g.leaving[max(0, len(g.leaving)-maxReportLeaving):]
	g.mu.Unlock()
	g.Log.Info().Str("part", "targets").Str("target", id).Int64("started", started).Str("source", source).
		Msg("targets: leaving, according to its answer")
}

const (
	// maxReportLeaving limits the leaving targets in one report.
	maxReportLeaving = 32
	// leavingReportAge is how long peers are told of a leaving target. The list of
	// targets shows it by then.
	leavingReportAge = 30 * time.Second
)

// leavingTarget is a target whose answers say that it is leaving.
type leavingTarget struct {
	id      string
	started int64
	heardAt time.Time
}

// reportLeaving returns the leaving targets that peers are told of. The lock must be
// held.
func (g *Gateway) reportLeaving(now time.Time) []peer.LeavingTarget {
	var list []peer.LeavingTarget
	for _, t := range g.leaving {
		if now.Sub(t.heardAt) < leavingReportAge {
			list = append(list, peer.LeavingTarget{Target: t.id, Started: t.started})
		}
	}
	return list
}

// MergeLeaving applies the leaving targets reported by a peer.
func (g *Gateway) MergeLeaving(reported []peer.LeavingTarget) {
	for _, t := range reported {
		g.targetLeaving(t.Target, t.Started, "peer")
	}
}
