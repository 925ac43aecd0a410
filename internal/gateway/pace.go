package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// paceParams returns the settings of the placer for the limits on requests in flight.
func (g *Gateway) paceParams() placement.PaceParams {
	return placement.PaceParams{Plain: g.Config.Pace.Enabled, Engines: g.Config.Pace.Enabled && g.Config.Pace.Engines}
}

// logPace logs and counts the targets whose limit on requests in flight or time has changed. The
// lock must be held.
func (g *Gateway) logPace(now time.Time) {
	if !g.Config.Pace.Enabled {
		return
	}
	limited, changes := g.placer.PaceChanges(now)
	metrics.GetOrRegisterGauge("targets.paceLimited", g.Metrics).Update(int64(limited))
	for _, c := range changes {
		g.count("targets.paceChanged")
		g.Log.Info().Str("part", "targets").Str("target", c.Target).Float64("limit", c.Limit).Int("slots", c.Slots).
			Dur("took", c.Took).Float64("formerLimit", c.FormerLimit).Dur("formerTook", c.FormerTook).
			Float64("share", c.Share).Msg("targets: limit on requests in flight changed")
	}
}

// countPaced counts the requests of plain services that are placed as without limits, because too
// little is known of what other hosts measured, and logs when that changes. The lock must be held.
func (g *Gateway) countPaced(w *work.Work, d *placement.Decision) {
	if !g.Config.Pace.Enabled || w.Model != "" || d.Target == "" || d.Reason == placement.ReasonProbe {
		return
	}
	divided := d.Reason == placement.ReasonShare
	if !divided {
		g.count("targets.paceUnknown")
	}
	if known, ok := g.divided[w.Service]; ok && known == divided {
		return
	}
	if g.divided == nil {
		g.divided = map[string]bool{}
	}
	g.divided[w.Service] = divided
	g.Log.Info().Str("part", "targets").Str("service", w.Service).Bool("divided", divided).
		Msg("targets: use of the times that other hosts measured changed")
}

// recordFull records that a target refused a request for want of room.
func (g *Gateway) recordFull(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordFull(g.Clock.Now(), at.target.ID)
}
