package gateway

import (
	"maps"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
)

const (
	// swapStateInterval is the time between two reads of the state of a target that swaps its weights, or
	// has just done so.
	swapStateInterval = 250 * time.Millisecond
	// reportHold is how long reported weights count before the row of the target states them. Rows are a
	// second or two late; a target whose row doesn't follow is read each second.
	reportHold = 5 * time.Second
	// reportWait is how long a target stays closed after its swap until its state has been read. A read
	// takes up to stateTimeout.
	reportWait = swapStateInterval + stateTimeout
	// swapClosedFor is how long a target is closed for a swap before this host lets its owner decide whether
	// the swap has ended. All hosts know that it has begun by then.
	swapClosedFor = 400 * time.Millisecond
)

// shardSwaps is what a host knows about swaps of weights on the targets of its shards beyond the rows.
type shardSwaps struct {
	reports fleet.Reports
	// closedAt contains the targets that are closed for a swap, with the time at which this host closed
	// them.
	closedAt map[string]time.Time
	// endedAt contains the targets whose swaps have ended, and which stay closed until their state has been
	// read: the lease holder has seen that they have other weights than their rows state.
	endedAt map[string]time.Time
}

func newShardSwaps() shardSwaps {
	return shardSwaps{reports: fleet.Reports{HoldFor: reportHold}, closedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// OwnerReadsState reports whether the owner of a shard places all requests on a target, by the state that
// the target reports.
func (g *Gateway) OwnerReadsState(target string) bool {
	t, listed := g.Fleet.Find(target)
	if !listed || !g.sharded() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shardOf(&t) != "" && g.readsSwap(g.Clock.Now(), &t)
}

// readsSwap reports whether the owner of the shard of a target reads its state more often during a swap.
// The lock must be held.
func (g *Gateway) readsSwap(now time.Time, t *fleet.Target) bool {
	return !g.placedLocally(t.ID) && !g.cold.targets.Cold(now, t.ID, t.Started)
}

// stateDue reports whether the state of a target of this host's shards, last read at readAt, is to be read
// now. The lock must be held.
func (g *Gateway) stateDue(now, readAt time.Time, t *fleet.Target) bool {
	if now.Sub(readAt) >= stateInterval {
		return true
	}
	if !g.readsSwap(now, t) {
		return false
	}
	if endedAt, ended := g.swaps.endedAt[t.ID]; ended {
		return readAt.Before(endedAt) || now.Sub(readAt) >= swapStateInterval
	}
	closedAt, closed := g.swaps.closedAt[t.ID]
	return closed && now.Sub(closedAt) < swapTimeout && min(now.Sub(closedAt), now.Sub(readAt)) >= swapStateInterval
}

// expireReports stops using reports that are too old, and waiting for those that don't come.
func (g *Gateway) expireReports(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.swaps.endedAt, func(_ string, endedAt time.Time) bool { return now.Sub(endedAt) >= reportWait })
	if g.swaps.reports.Expired(now) {
		g.applyTargets(now)
	}
}

// applySwapState applies the weights that a target has reported to a read that began at readAt. t is the
// target as it was listed then. The lock must be held.
func (g *Gateway) applySwapState(now, readAt time.Time, t *fleet.Target, state *rollout.TargetState) {
	listed, ok := g.Fleet.Find(t.ID)
	if !ok || state.Busy {
		return
	}
	reports := &g.swaps.reports
	before := reports.Of(now, listed).Versions
	reports.Record(readAt, *t, state.Versions)
	if !maps.Equal(before, reports.Of(now, listed).Versions) {
		if reports.Ahead(now, listed) {
			g.count("shards.weightsReported")
			g.Log.Info().Str("part", "weights").Str("target", t.ID).Any("versions", state.Versions).Any("listed", listed.Versions).
				Msg("weights: target reported weights that its row doesn't state yet")
		}
		g.applyTargets(now)
	}
	if _, ended := g.swaps.endedAt[t.ID]; ended {
		g.endSwap(t.ID)
	}
}

// awaitReport keeps a target closed that no longer swaps its weights, until its state has been read, and
// reports whether it does: on the owner of its shard, unless the weights are known. Requests for the
// replaced weights would be refused. The lock must be held.
func (g *Gateway) awaitReport(now time.Time, id string) bool {
	t, listed := g.Fleet.Find(id)
	if _, closed := g.swaps.closedAt[id]; !closed || !listed || !g.sharded() {
		return false
	}
	if !g.ownsShard(&t) || !g.readsSwap(now, &t) || g.upToDate(g.swaps.reports.Of(now, t)) {
		return false
	}
	g.endSwap(id)
	g.placer.Avoid(id, now.Add(reportWait))
	g.swaps.endedAt[id] = now
	return true
}

// mayHaveSwapped reports whether a target that is closed to this host is closed for a swap that may have
// ended: the owner of its shard may know that sooner than the row of the lease tells. The lock must be held.
func (g *Gateway) mayHaveSwapped(now time.Time, id string) bool {
	closedAt, closed := g.swaps.closedAt[id]
	return closed && now.Sub(closedAt) >= swapClosedFor && !now.Before(g.placer.QuietUntil(id))
}

// learnVersion applies the weights for which an owner has placed an attempt on a target. If they are newer
// than those that this host knows, the target has loaded them, and its swap has ended. The lock must be
// held.
func (g *Gateway) learnVersion(now time.Time, t *fleet.Target, model string, at *attempt) {
	version, loaded := g.swaps.reports.Of(now, *t).Versions[model]
	if !loaded || at.versionNumber <= version || at.version != versionName(model, at.versionNumber) {
		return
	}
	g.swaps.reports.Record(now, *t, map[string]int64{model: at.versionNumber})
	g.count("shards.weightsLearned")
	g.applyTargets(now)
}

// avoidAfterMisdirected places no requests for some time on a target that has refused one because it isn't the
// expected process or has other weights, and discards what it has reported if that was wrong. A request for
// weights that it is known to have replaced changes nothing. The lock must be held.
func (g *Gateway) avoidAfterMisdirected(now time.Time, id, version string) {
	listed, ok := g.Fleet.Find(id)
	reported := g.swaps.reports.Of(now, listed).Versions
	for model, number := range reported {
		switch {
		case !ok || number == listed.Versions[model]:
		case version == versionName(model, listed.Versions[model]):
			return
		case version == versionName(model, number):
			g.swaps.reports.Discard(now, id)
			g.count("shards.reportsDiscarded")
			g.Log.Info().Str("part", "weights").Str("target", id).Any("versions", reported).Any("listed", listed.Versions).
				Msg("weights: target refused a request for the weights that it had reported, its row counts again")
			g.applyTargets(now)
		}
	}
	g.placer.Avoid(id, now.Add(g.Config.Retries.AvoidFor.Duration))
}
