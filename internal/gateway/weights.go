package gateway

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// weights are the versions of one model.
type weights struct {
	// named is what operators ask for.
	named rollout.RequestedVersion
	// held are the versions that targets hold, the newest first, and oldestSince
	// is when the oldest of them changed.
	held        []int64
	oldestSince time.Time
}

// versionName is the name of a model's weights on the board.
func versionName(model string, version int64) string {
	return model + "@" + strconv.FormatInt(version, 10)
}

// plainVersion stands on the board for targets without weights.
const plainVersion = "plain"

// newVersionShare is the part of a request's goal within which its first token
// must be expected from targets with newer weights for these to be preferred to
// faster targets with older ones. An answer on older weights is worth less to
// its caller, but a late one is worth less still.
const newVersionShare = 0.3

// SetVersion notes the version of a model that operators ask for. Versions only
// grow; it reports whether this one is new.
func (g *Gateway) SetVersion(model string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.model(model)
	if version <= w.named.Version {
		return false
	}
	w.named = w.named.Supersede(version, g.Clock.Now())
	return true
}

func (g *Gateway) model(name string) *weights {
	w := g.weights[name]
	if w == nil {
		w = &weights{}
		g.weights[name] = w
	}
	return w
}

// applyTargets passes the listed targets to the board. The lock must be held.
func (g *Gateway) applyTargets(now time.Time) {
	cfg := g.routes.Load()
	if cfg == nil {
		return
	}
	for _, service := range cfg.Services {
		if e := service.Engine; e != nil {
			g.bytesPerToken, g.fetchRate = float64(e.BytesPerToken), e.LinkBytesPerSecond
		}
	}
	targets := g.Fleet.Targets()
	specs := make([]placement.EngineSpec, 0, len(targets))
	for _, t := range targets {
		specs = append(specs, g.engineSpec(t, cfg.Services[t.Service].Engine))
	}
	g.board.SetEngines(now, specs)
	for _, t := range targets {
		versions := []string{plainVersion}
		for model, version := range t.Versions {
			versions = append(versions, versionName(model, version))
		}
		g.board.ApplyReport(now, t.ID, placement.LoadReport{Versions: versions, Leaving: t.Leaving, Incarnation: t.Started})
		if g.swapping[t.ID] && g.upToDate(t) {
			g.swapped(t.ID)
		}
	}
	g.noteVersions(now, targets)
}

// engineSpec describes a target to the board; engine is nil for plain services.
func (g *Gateway) engineSpec(t fleet.Target, engine *routing.Engine) placement.EngineSpec {
	spec := placement.EngineSpec{
		Name:          t.ID,
		FailureDomain: t.FailureDomain,
		Models:        []string{t.Service},
		Slots:         max(1, t.Slots),
		PrefillRate:   g.Config.PlainSlotRate,
	}
	if engine != nil {
		spec.PrefillRate = g.Config.PrefillTokensPerSecond
		spec.MemoryTokens = engine.CacheTokens
		spec.TokenGap = g.Config.TokenGap.Duration
	}
	return spec
}

// noteVersions notes which versions targets hold. The lock must be held.
func (g *Gateway) noteVersions(now time.Time, targets []fleet.Target) {
	held := map[string]map[int64]bool{}
	for _, t := range targets {
		for model, version := range t.Versions {
			if held[model] == nil {
				held[model] = map[int64]bool{}
			}
			held[model][version] = true
		}
	}
	for model, versions := range held {
		w := g.model(model)
		oldest := slices.Sorted(maps.Keys(versions))
		if len(w.held) == 0 || w.held[len(w.held)-1] != oldest[0] {
			w.oldestSince = now
		}
		slices.Reverse(oldest)
		w.held = oldest
	}
}

// upToDate reports whether a target holds all versions that operators asked for.
// The lock must be held.
func (g *Gateway) upToDate(t fleet.Target) bool {
	for model, version := range t.Versions {
		if w := g.weights[model]; w != nil && version < w.named.Version {
			return false
		}
	}
	return true
}

// allowed reports whether work may still begin on a version of the weights: it
// is what operators ask for, or has not been behind that for too long. The lock
// must be held.
func (g *Gateway) allowed(now time.Time, w *weights, version int64) bool {
	if version >= w.named.Version {
		return true
	}
	rollout := g.Config.Rollout
	return now.Sub(w.named.BehindSince(version)) < rollout.TimeLimit.Duration-rollout.Margin.Duration
}

// swapWithin is how long a target that is said to swap its weights gets no new
// work, if nothing else is heard of it. It covers the longest run that the
// target finishes first.
const swapWithin = 12 * time.Second

// SetSwapping names the targets that swap their weights now, and those that get
// short work only until they do.
func (g *Gateway) SetSwapping(closed, draining []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.Clock.Now().Add(swapWithin)
	for id := range g.swapping {
		if !slices.Contains(closed, id) && !slices.Contains(draining, id) {
			g.swapped(id)
		}
	}
	for _, id := range draining {
		g.swapping[id] = true
		g.board.Drain(id, until)
	}
	for _, id := range closed {
		if t, ok := g.Fleet.Find(id); ok && g.upToDate(t) {
			continue
		}
		g.swapping[id] = true
		g.board.Avoid(id, until)
	}
	g.Log.Info().Str("part", "weights").Strs("closed", closed).Strs("draining", draining).Msg("weights: targets swap")
}

// swapped gives a target work of any length again. The lock must be held.
func (g *Gateway) swapped(id string) {
	g.board.Resume(id)
	g.board.Drain(id, time.Time{})
	delete(g.swapping, id)
}
