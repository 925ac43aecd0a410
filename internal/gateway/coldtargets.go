package gateway

import (
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/warmup"
)

const (
	// coldRank is the prefix of the names by whose hashes hosts are ordered for a cold target.
	coldRank = "cold/"
	// coldInterval is the interval at which the shares of this host are computed again. They change
	// with the hosts that this one knows.
	coldInterval = 100 * time.Millisecond
)

// Why this host takes a target to be cold.
const (
	coldByRow        = "row"
	coldByAnswer     = "answer"
	coldByRefusal    = "connection refused"
	coldByCrash      = "crash"
	coldByEvacuation = "end of evacuation"
)

// coldTargets is what this host knows of cold targets. It is protected by the lock of the gateway.
type coldTargets struct {
	// enabled is set while a service states what its cold targets take. It may be read without the
	// lock.
	enabled atomic.Bool
	targets warmup.Targets
	hosts   warmup.Hosts
	// settled is set while this host knows about all others.
	settled bool
	// presumed contains the processes that are taken to be cold whatever their rows say, by target.
	presumed map[string]presumedCold
	// unlimited maps targets that are cold at an unknown rate to the start times of their processes.
	unlimited   map[string]int64
	refreshedAt time.Time
}

// presumedCold is a process of a target that is taken to be cold.
type presumedCold struct {
	started int64
	until   time.Time
	source  string
}

// errWithdrawn is returned for an attempt that has not been sent, since its target may get no
// requests any more or not yet.
var errWithdrawn = errors.New("request not sent")

// registerColdTargets registers the metrics of cold and evacuated targets.
func (g *Gateway) registerColdTargets() {
	metrics.NewRegisteredFunctionalGauge("targets.cold", g.Metrics, func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(g.cold.targets.Len())
	})
	metrics.NewRegisteredFunctionalGauge("targets.evacuated", g.Metrics, g.evacuatedTargets)
}

// coldLimit returns what the cold targets of a service take.
func (g *Gateway) coldLimit(cfg *routing.Config, service string) warmup.Limit {
	return warmup.Limit{PerSecond: cfg.Services[service].ColdPerSecond, BurstFactor: g.Config.ColdTargets.BurstFactor, Burst: g.Config.ColdTargets.Burst}
}

// coldShare returns the share of this host in the requests to a cold target. The lock must be held.
func (g *Gateway) coldShare(target string) warmup.Share {
	if g.KnownHosts == nil {
		return warmup.Share{Hosts: 1}
	}
	n, known := g.KnownHosts()
	if !known || !g.cold.settled {
		return warmup.Share{}
	}
	if self, exists := g.coldGrantor(target); exists {
		return warmup.Share{Owner: self}
	}
	return warmup.Share{Hosts: n, Rank: g.KnownRank(coldRank + target)}
}

// applyCold applies the listed targets that are cold. The lock must be held.
func (g *Gateway) applyCold(now time.Time, targets []fleet.Target, cfg *routing.Config) {
	enabled := false
	for _, s := range cfg.Services {
		enabled = enabled || s.LimitsCold()
	}
	g.cold.enabled.Store(enabled)
	for i := range targets {
		if warmAt, source := g.warmAt(&targets[i]); now.Before(warmAt) {
			g.setCold(now, cfg, &targets[i], warmAt, source)
		}
	}
	for _, name := range g.cold.targets.Names() {
		t, listed := g.Fleet.Find(name)
		warmAt, _ := g.warmAt(&t)
		if !listed || !now.Before(warmAt) || !cfg.Services[t.Service].LimitsCold() {
			g.endCold(name)
		}
	}
	for name, p := range g.cold.presumed {
		if !now.Before(p.until) {
			delete(g.cold.presumed, name)
		}
	}
}

// warmAt returns when a target is warm, and why this host takes it to be cold. The lock must be held.
func (g *Gateway) warmAt(t *fleet.Target) (at time.Time, source string) {
	if p, presumed := g.cold.presumed[t.ID]; presumed && p.started == t.Started && p.until.After(t.WarmAt) {
		return p.until, p.source
	}
	return t.WarmAt, coldByRow
}

// setCold records that a target is cold. If the service doesn't state what its cold targets take, the
// target is used like any other. The lock must be held.
func (g *Gateway) setCold(now time.Time, cfg *routing.Config, t *fleet.Target, warmAt time.Time, source string) {
	if !cfg.Services[t.Service].LimitsCold() {
		g.recordUnlimited(t)
		return
	}
	limit := g.coldLimit(cfg, t.Service)
	began := g.cold.targets.Set(now, t.ID, t.Started, warmAt, limit)
	g.paceCold(now, t.ID)
	if began {
		s := g.coldShare(t.ID)
		g.Log.Info().Str("part", "targets").Str("target", t.ID).Str("service", t.Service).Int64("started", t.Started).
			Dur("for", warmAt.Sub(now)).Str("source", source).Float64("perSecond", limit.PerSecond).
			Bool("owner", s.Owner).Int("hosts", s.Hosts).Int("rank", s.Rank).Msg("targets: cold")
	}
}

// recordUnlimited counts and logs a cold target of a service that doesn't state what it takes. The
// lock must be held.
func (g *Gateway) recordUnlimited(t *fleet.Target) {
	if started, known := g.cold.unlimited[t.ID]; known && started == t.Started {
		return
	}
	if g.cold.unlimited == nil || len(g.cold.unlimited) >= maxUnlimited {
		g.cold.unlimited = map[string]int64{}
	}
	g.cold.unlimited[t.ID] = t.Started
	g.count("targets.coldUnlimited")
	g.Log.Warn().Str("part", "targets").Str("target", t.ID).Str("service", t.Service).Int64("started", t.Started).
		Msg("targets: target is cold, but its service doesn't state how many requests it takes; it is used like any other")
}

// maxUnlimited limits the remembered targets that are cold at an unknown rate.
const maxUnlimited = 4096

// endCold records that a target is not cold any more. The lock must be held.
func (g *Gateway) endCold(name string) {
	g.cold.targets.Remove(name)
	delete(g.cold.presumed, name)
	g.placer.SetWarm(name)
	g.Log.Info().Str("part", "targets").Str("target", name).Msg("targets: warm")
}

// paceCold closes a cold target to requests of this host until the next one is granted. The lock
// must be held.
func (g *Gateway) paceCold(now time.Time, target string) {
	wait := g.cold.targets.Wait(now, target, g.coldShare(target))
	g.placer.SetCold(target, g.cold.targets.WarmAt(target), now.Add(wait))
}

// refreshCold computes the shares of this host again. The lock must be held.
func (g *Gateway) refreshCold(now time.Time) {
	if !g.cold.enabled.Load() || now.Sub(g.cold.refreshedAt) < coldInterval {
		return
	}
	g.cold.refreshedAt = now
	if g.KnownHosts != nil {
		if n, known := g.KnownHosts(); known {
			g.cold.settled = g.cold.hosts.Observe(now, n)
		} else {
			g.cold.settled = false
			g.cold.hosts.Forget()
		}
	}
	for _, name := range g.cold.targets.Expire(now) {
		g.endCold(name)
	}
	for _, name := range g.cold.targets.Names() {
		g.paceCold(now, name)
	}
}

// takeCold counts a request to a target if that is cold, and reports whether it may be sent now. The
// lock must be held.
func (g *Gateway) takeCold(now time.Time, t *fleet.Target) bool {
	if !g.cold.enabled.Load() {
		return true
	}
	// The list of targets may have changed since it was last applied.
	if warmAt, source := g.warmAt(t); now.Before(warmAt) && !g.cold.targets.Cold(now, t.ID, t.Started) {
		g.setCold(now, g.routes.Load(), t, warmAt, source)
	}
	if !g.cold.targets.Cold(now, t.ID, t.Started) {
		return true
	}
	taken := g.cold.targets.Take(now, t.ID, g.coldShare(t.ID))
	g.paceCold(now, t.ID)
	return taken
}

// countCold counts a call to a target that doesn't wait for an allowance. The lock must be held.
func (g *Gateway) countCold(now time.Time, t *fleet.Target) {
	if g.cold.enabled.Load() && g.cold.targets.Cold(now, t.ID, t.Started) {
		g.cold.targets.Count(now, t.ID, g.coldShare(t.ID))
		g.paceCold(now, t.ID)
	}
}

// presumeCold takes the process of a target to be cold for some time, unless it is known to be cold
// for longer. A row of another process ends that.
func (g *Gateway) presumeCold(t fleet.Target, d time.Duration, source string) {
	cfg := g.routes.Load()
	if cfg == nil || d <= 0 || !cfg.Services[t.Service].LimitsCold() {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.presumeColdLocked(now, cfg, &t, d, source)
}

func (g *Gateway) presumeColdLocked(now time.Time, cfg *routing.Config, t *fleet.Target, d time.Duration, source string) {
	if present, listed := g.Fleet.Find(t.ID); !listed || present.Started != t.Started {
		return
	}
	until := now.Add(d)
	if warmAt, _ := g.warmAt(t); !until.After(warmAt) {
		return
	}
	if g.cold.presumed == nil {
		g.cold.presumed = map[string]presumedCold{}
	}
	g.cold.presumed[t.ID] = presumedCold{started: t.Started, until: until, source: source}
	g.setCold(now, cfg, t, until, source)
}

// presumeGone records that no process listens at the address of a target. The next one that does is
// cold, and may have started at any time until this host calls it again, even if its row is not yet
// known.
func (g *Gateway) presumeGone(t fleet.Target, source string) {
	if !g.cold.enabled.Load() {
		return
	}
	longest := maxAvoidFactor * g.Config.Retries.AvoidFor.Duration
	g.presumeCold(t, longest+g.Routes().Services[t.Service].ColdFor, source)
}

// withdraw returns an error if an attempt may not be sent to its target now. The target may have
// become cold, or its failure domain may be evacuated, since the attempt was chosen.
func (g *Gateway) withdraw(at *attempt) error {
	domains := g.evacuated.Load()
	if domains == nil && !g.cold.enabled.Load() {
		return nil
	}
	t, listed := g.Fleet.Find(at.target.ID)
	if !listed {
		t = at.target
	}
	if domains != nil && ((*domains)[t.FailureDomain] || (*domains)[at.target.FailureDomain]) {
		return fmt.Errorf("%w: failure domain %s is evacuated", errWithdrawn, t.FailureDomain)
	}
	// A request that was granted to a process is not granted to the next one under the same ID.
	if (at.granted && t.Started == at.target.Started) || !g.cold.enabled.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if !g.takeCold(now, &t) {
		g.count("targets.coldDeferred")
		return fmt.Errorf("%w: target %s has become cold", errWithdrawn, t.ID)
	}
	return nil
}

// recordSendFailure records what a failure to send a request says about the process of its target.
func (g *Gateway) recordSendFailure(t fleet.Target, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.presumeGone(t, coldByRefusal)
	}
}
