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

// modelWeights tracks the weight versions of one model.
type modelWeights struct {
	// loaded contains the versions that targets have loaded, the newest first. It
	// is kept if no listed target has loaded any. oldestSince is when the oldest of
	// them last changed.
	loaded      []int64
	oldestSince time.Time
}

// versionName returns the name of a model's weights in the placer.
func versionName(model string, version int64) string {
	return model + "@" + strconv.FormatInt(version, 10)
}

// plainVersion is the version in the placer of requests that need no weights. Every
// target has it.
const plainVersion = "plain"

// newVersionGoalShare is a share of a request's goal. A target with newer weights
// is preferred to a faster one with older weights if its first token is expected
// within this share. An answer from older weights is worth less to the caller,
// but a late answer is worth even less.
const newVersionGoalShare = 0.3

// weightsOf returns the weights of a model, and adds them if they are unknown.
// The lock must be held.
func (g *Gateway) weightsOf(name string) *modelWeights {
	w := g.weights[name]
	if w == nil {
		w = &modelWeights{}
		g.weights[name] = w
	}
	return w
}

// applyTargets updates the placer with the listed targets. The lock must be
// held.
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
	listed := g.Fleet.Targets()
	targets := g.swaps.reports.Apply(now, listed)
	g.updateShards(targets)
	specs := make([]placement.EngineSpec, 0, len(targets))
	for _, t := range targets {
		specs = append(specs, g.engineSpec(t, cfg.Services[t.Service].Engine))
	}
	g.addresses = make(map[string]bool, len(targets))
	for _, t := range targets {
		g.addresses[t.Address] = true
	}
	g.placer.SetEngines(now, specs)
	g.retainLimits(targets)
	for _, t := range targets {
		versions := []string{plainVersion}
		for model, version := range t.Versions {
			versions = append(versions, versionName(model, version))
		}
		g.placer.ApplyReport(now, t.ID, placement.LoadReport{Versions: versions, Leaving: t.Leaving, Incarnation: t.Started, LoadUnknown: true})
		_, ended := g.swaps.endedAt[t.ID]
		if (ended || g.swapping[t.ID]) && g.upToDate(t) {
			g.endSwap(t.ID)
		}
	}
	g.applyCold(now, targets, cfg)
	// A listed version counts as loaded, too, so that its cached parts are not freed by a wrong report.
	g.recordVersions(now, listed, targets)
	g.updateQueues(now)
}

// engineSpec describes a target to the placer, which knows the service of the
// target as its model. For plain services, engine is nil, and a request without a
// token count counts as one token.
func (g *Gateway) engineSpec(t fleet.Target, engine *routing.Engine) placement.EngineSpec {
	spec := placement.EngineSpec{
		Name:          t.ID,
		FailureDomain: t.FailureDomain,
		Models:        []string{t.Service},
		Build:         t.Build,
		Unannounced:   g.Builds != nil && !g.Builds.Usable(t.Service, t.Build),
		Slots:         max(1, t.Slots),
		PrefillRate:   g.Config.PlainSlotRate,
		Plain:         engine == nil,
	}
	if name := g.shardOf(&t); name != "" {
		spec.Models = append(spec.Models, name)
	}
	if engine != nil {
		spec.PrefillRate = g.Config.PrefillTokensPerSecond
		spec.MemoryTokens = engine.CacheTokens
		spec.TokenGap = g.Config.TokenGap.Duration
	}
	return spec
}

// recordVersions records which versions targets have loaded. The lock must be
// held.
func (g *Gateway) recordVersions(now time.Time, lists ...[]fleet.Target) {
	loaded := map[string]map[int64]bool{}
	for _, list := range lists {
		for i := range list {
			for model, version := range list[i].Versions {
				if loaded[model] == nil {
					loaded[model] = map[int64]bool{}
				}
				loaded[model][version] = true
			}
		}
	}
	for model, versions := range loaded {
		w := g.weightsOf(model)
		sorted := slices.Sorted(maps.Keys(versions))
		if len(w.loaded) == 0 || w.loaded[len(w.loaded)-1] != sorted[0] {
			w.oldestSince = now
		}
		slices.Reverse(sorted)
		w.loaded = sorted
	}
}

// upToDate reports whether a target has loaded, for each of its models, the version
// that operators request or a newer one.
func (g *Gateway) upToDate(t fleet.Target) bool {
	for model, version := range t.Versions {
		if version < g.Requested.Of(model).Version {
			return false
		}
	}
	return true
}

// allowed reports whether requests may still start on a version of the weights:
// it is the requested one or newer, or was replaced less than the time limit of a
// rollout ago, minus a margin. A version that was replaced at an unknown time is not
// allowed. The time steady is that of g.Steady.
func (g *Gateway) allowed(steady time.Time, requested *rollout.RequestedVersion, version int64) bool {
	if version >= requested.Version {
		return true
	}
	cfg := g.Config.Rollout
	return steady.Sub(requested.OutdatedSince(version)) < cfg.TimeLimit.Duration-cfg.Margin.Duration
}

// swapTimeout is how long a target that is reported to swap its weights gets no
// new requests, and one that is about to swap no long ones, if no further update
// arrives. It covers the longest request that the target finishes first.
const swapTimeout = 12 * time.Second

// SetSwapping sets the targets that swap their weights now, and those that get
// only short requests until they swap.
func (g *Gateway) SetSwapping(closed, draining []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	until := now.Add(swapTimeout)
	for id := range g.swapping {
		if !slices.Contains(closed, id) && !slices.Contains(draining, id) && !g.awaitReport(now, id) {
			g.endSwap(id)
		}
	}
	for _, id := range draining {
		g.swapping[id] = true
		g.placer.Drain(id, until)
	}
	for _, id := range closed {
		if t, ok := g.Fleet.Find(id); ok && g.upToDate(g.swaps.reports.Of(now, t)) {
			continue
		}
		g.swapping[id] = true
		delete(g.swaps.endedAt, id) // The state that was awaited after an earlier swap must not open the target.
		if _, known := g.swaps.closedAt[id]; !known {
			g.swaps.closedAt[id] = now
		}
		g.placer.Avoid(id, until)
	}
	g.Log.Info().Str("part", "weights").Strs("closed", closed).Strs("draining", draining).Msg("weights: swapping targets changed")
}

// endSwap allows requests of any length on a target again. The lock must be
// held.
func (g *Gateway) endSwap(id string) {
	g.placer.Resume(id)
	g.placer.Drain(id, time.Time{})
	delete(g.swapping, id)
	delete(g.swaps.closedAt, id)
	delete(g.swaps.endedAt, id)
}
