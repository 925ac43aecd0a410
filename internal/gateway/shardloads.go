package gateway

import (
	"context"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
)

// StateReader reads the state that targets report.
type StateReader interface {
	State(ctx context.Context, t fleet.Target) (rollout.TargetState, error)
}

const (
	// stateInterval is the time between two reads of the state of a target whose shard this host
	// owns. The operators of targets bill each read like a health probe.
	stateInterval = time.Second
	// stateTimeout limits one read.
	stateTimeout = 500 * time.Millisecond
	// ownedCheckInterval is the time between two checks of which targets this host owns.
	ownedCheckInterval = 200 * time.Millisecond
	// stateCheckInterval is the time between two checks which states are due.
	stateCheckInterval = 50 * time.Millisecond
)

// WatchLoads reads how many requests run on the targets of the shards that this host owns, until ctx
// ends, and whether they have ended a swap of weights. The requests that an earlier owner placed, or hosts by their own views, are known from there.
func (g *Gateway) WatchLoads(ctx context.Context, reader StateReader) {
	if g.ShardRelay == nil || g.Config.Shards.AboveHosts == 0 {
		return
	}
	w := loadWatch{g: g, reader: reader, readAt: map[string]time.Time{}}
	defer w.reads.Wait()
	clock.Every(ctx, g.Clock, stateCheckInterval, w.check)
}

// loadWatch reads the states of the targets of the shards that this host owns.
type loadWatch struct {
	g      *Gateway
	reader StateReader
	// owned are these targets as of ownedAt.
	owned   map[string]fleet.Target
	ownedAt time.Time
	// readAt is when the last read of each began.
	readAt map[string]time.Time
	reads  sync.WaitGroup
}

func (w *loadWatch) check(ctx context.Context) {
	now := w.g.Clock.Now()
	if now.Sub(w.ownedAt) >= ownedCheckInterval {
		w.ownedAt, w.owned = now, w.g.ownedTargets()
		for id := range w.readAt {
			if _, still := w.owned[id]; !still {
				delete(w.readAt, id)
				w.g.forgetState(id)
			}
		}
		w.g.expireReports(now)
	}
	for _, t := range w.due(now) {
		if w.g.closedToPolls(t.ID) > 0 {
			continue
		}
		w.readAt[t.ID] = now
		w.reads.Go(func() { w.g.readState(ctx, w.reader, t) })
	}
}

// due returns the targets whose state is to be read now.
func (w *loadWatch) due(now time.Time) []fleet.Target {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	var list []fleet.Target
	for id, t := range w.owned {
		if w.g.stateDue(now, w.readAt[id], &t) {
			list = append(list, t)
		}
	}
	return list
}

// MayReadState reports whether the state of a target may be read every few hundred milliseconds: the target
// isn't cold, hasn't asked this host for a pause and states no limit of calls.
func (g *Gateway) MayReadState(target string) bool {
	t, listed := g.Fleet.Find(target)
	if !listed || g.closedToPolls(target) > 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cold.targets.Cold(g.Clock.Now(), target, t.Started)
}

// ownedTargets returns the targets of the shards that this host owns whose state it may read.
func (g *Gateway) ownedTargets() map[string]fleet.Target {
	owned := map[string]fleet.Target{}
	if !g.sharded() {
		return owned
	}
	engines := g.ownedEngines()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range engines {
		if t := &engines[i]; !t.Leaving && !g.limits.Limited(t.ID) {
			owned[t.ID] = *t
		}
	}
	return owned
}

// ownedEngines returns the targets of the shards that this host owns. It looks at shards and not at all
// targets, since there are several of these to a shard and each host does so several times a second.
func (g *Gateway) ownedEngines() []fleet.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var owned []fleet.Target
	for _, m := range g.shards.maps {
		for _, name := range m.Names() {
			if g.ownerOf(name) != g.Host {
				continue
			}
			for _, id := range m.Members(name) {
				if t, listed := g.Fleet.Find(id); listed && len(t.Versions) > 0 {
					owned = append(owned, t)
				}
			}
		}
	}
	return owned
}

// forgetState removes the requests that a target has reported. Nothing else corrects their number on a host
// that no longer reads it.
func (g *Gateway) forgetState(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.ReportRequests(g.Clock.Now(), id, 0)
}

func (g *Gateway) readState(ctx context.Context, reader StateReader, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	readAt := g.Clock.Now()
	state, err := reader.State(ctx, t)
	if err != nil {
		g.count("shards.statesFailed")
		return
	}
	if state.Leaving {
		g.targetLeaving(t.ID, t.Started, "answer")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.placer.ReportRequests(now, t.ID, state.Running+state.Waiting)
	g.applySwapState(now, readAt, &t, &state)
}
