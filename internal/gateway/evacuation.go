package gateway

import (
	"maps"
	"slices"
	"strings"
)

// SetEvacuated replaces the failure domains whose targets get no requests. Requests that run
// continue. The targets of a domain that is no longer evacuated may be cold.
func (g *Gateway) SetEvacuated(domains []string) {
	next := make(map[string]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
	}
	targets := g.Fleet.Targets()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var previous map[string]bool
	if p := g.evacuated.Load(); p != nil {
		previous = *p
	}
	if maps.Equal(previous, next) {
		return
	}
	if len(next) == 0 {
		g.evacuated.Store(nil)
	} else {
		g.evacuated.Store(&next)
	}
	g.placer.SetEvacuated(next)
	changed := maps.Clone(next)
	maps.Copy(changed, previous)
	for _, domain := range slices.Sorted(maps.Keys(changed)) {
		if previous[domain] == next[domain] {
			continue
		}
		n := 0
		for i := range targets {
			if targets[i].FailureDomain != domain {
				continue
			}
			n++
			cfg := g.routes.Load()
			if next[domain] || cfg == nil || !cfg.Services[targets[i].Service].LimitsCold() {
				continue
			}
			// The rows of targets that are cold may be read after that of the evacuation is removed.
			g.presumeColdLocked(now, cfg, &targets[i], cfg.Services[targets[i].Service].ColdFor, coldByEvacuation)
		}
		message := "targets: evacuation of a failure domain ended"
		if next[domain] {
			message = "targets: evacuation of a failure domain began"
		}
		g.Log.Info().Str("part", "targets").Str("failureDomain", domain).Int("targets", n).Msg(message)
	}
}

// evacuatedTargets returns the number of listed targets in evacuated failure domains.
func (g *Gateway) evacuatedTargets() int64 {
	domains := g.evacuated.Load()
	if domains == nil {
		return 0
	}
	n := int64(0)
	for _, t := range g.Fleet.Targets() {
		if (*domains)[t.FailureDomain] {
			n++
		}
	}
	return n
}

// isEvacuated reports whether the targets of a failure domain get no requests.
func (g *Gateway) isEvacuated(domain string) bool {
	domains := g.evacuated.Load()
	return domains != nil && (*domains)[domain]
}

// evacuationNote returns what a refusal adds about evacuated failure domains.
func (g *Gateway) evacuationNote() string {
	domains := g.evacuated.Load()
	if domains == nil {
		return ""
	}
	return "; evacuated failure domains: " + strings.Join(slices.Sorted(maps.Keys(*domains)), ", ")
}
