package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

const (
	// progressInterval is the time between two reports of progress to an owner.
	progressInterval = 100 * time.Millisecond
	// maxPendingProgress limits the reports that wait for an owner which doesn't answer.
	maxPendingProgress = 512
	// progressFor is how long reports are kept for an owner that takes none. Membership finds that a host
	// is dead within 5 s, and its tickets end with the deadlines of their requests.
	progressFor = 10 * time.Second
	// reportedLoadsFor is how long the loads that an owner has computed are sent in answers to reports. Of
	// 73 hosts, an owner receives up to 730 reports a second.
	reportedLoadsFor = 50 * time.Millisecond
	// maxReportedLoads limits the loads in an answer. Receivers use no more.
	maxReportedLoads = 64
)

// pendingProgress is what is to be reported to a host, which has taken no report since the given time.
type pendingProgress struct {
	list  []*wire.TicketProgress
	since time.Time
}

// reportEnd reports the end of an attempt that another host has placed. The lock must be held.
func (g *Gateway) reportEnd(at *attempt, outcome wire.Outcome) {
	if at.remote == nil || at.reportedEnd {
		return
	}
	at.reportedEnd = true
	g.addProgress(at.remote.owner, &wire.TicketProgress{Ticket: at.remote.ticket, Ended: true, Outcome: outcome})
}

// reportFirst reports the first event of an attempt that another host has placed. The lock must be
// held.
func (g *Gateway) reportFirst(at *attempt) {
	if at.remote == nil || at.reportedFirst {
		return
	}
	at.reportedFirst = true
	took := max(1, g.Clock.Now().Sub(at.remote.placedAt).Microseconds())
	g.addProgress(at.remote.owner, &wire.TicketProgress{Ticket: at.remote.ticket, FirstMicros: took})
}

// takeProgress returns the progress that is to be reported to a host, and since when that waits. The lock
// must be held.
func (g *Gateway) takeProgress(owner string) pendingProgress {
	pending := g.shards.pending[owner]
	if pending == nil {
		return pendingProgress{since: g.Clock.Now()}
	}
	delete(g.shards.pending, owner)
	return *pending
}

// addProgress keeps progress until it is reported. The lock must be held.
func (g *Gateway) addProgress(owner string, list ...*wire.TicketProgress) {
	g.returnProgress(owner, pendingProgress{list: list, since: g.Clock.Now()})
}

// returnProgress keeps progress that a host has not taken, unless the host has taken none for long. The
// oldest is dropped if there is too much. The lock must be held.
func (g *Gateway) returnProgress(owner string, p pendingProgress) {
	if g.Clock.Now().Sub(p.since) > progressFor {
		return
	}
	if g.shards.pending == nil {
		g.shards.pending = map[string]*pendingProgress{}
	}
	if newer := g.shards.pending[owner]; newer != nil {
		if newer.since.Before(p.since) {
			p.since = newer.since
		}
		// Reports of progress that began later may have been added meanwhile.
		p.list = append(p.list, newer.list...)
	}
	p.list = p.list[max(0, len(p.list)-maxPendingProgress):]
	g.shards.pending[owner] = &p
}

// ReportProgress reports the progress of attempts to the hosts that placed them, until ctx ends.
func (g *Gateway) ReportProgress(ctx context.Context) {
	if g.ShardRelay == nil || g.Config.Shards.AboveHosts == 0 {
		return
	}
	var reports sync.WaitGroup
	defer reports.Wait()
	clock.Every(ctx, g.Clock, progressInterval, func(ctx context.Context) {
		g.expireOwned()
		g.mu.Lock()
		owners := make([]string, 0, len(g.shards.pending))
		for owner := range g.shards.pending {
			owners = append(owners, owner)
		}
		g.mu.Unlock()
		for _, owner := range owners {
			reports.Go(func() { g.sendProgress(ctx, owner) })
		}
	})
}

func (g *Gateway) sendProgress(parent context.Context, owner string) {
	now := g.Clock.Now()
	g.mu.Lock()
	var progress pendingProgress
	if until := g.shards.avoid[owner]; !now.Before(until) {
		progress = g.takeProgress(owner)
	}
	g.mu.Unlock()
	if len(progress.list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(parent, avoidOwnerFor)
	defer cancel()
	response, err := g.ShardRelay.ReportProgress(ctx, owner, &wire.ProgressRequest{Host: g.Host, Progress: progress.list})
	if err != nil && !errors.Is(err, peer.ErrHostGone) { // A process that is gone has no tickets.
		g.mu.Lock()
		g.returnProgress(owner, progress)
		g.mu.Unlock()
		if parent.Err() != nil || errors.Is(err, peer.ErrHostSuspect) {
			return // This host is stopping, or the other one doesn't own shards now.
		}
		g.avoidOwner(owner, err)
	}
	// The answer may have taken long, so the loads count as of the time of the call.
	g.recordReportedLoads(now, owner, response.GetLoads())
}

// reportedLoads returns the loads of the shards that this host owns. Callers must not change them. The lock
// must be held.
func (g *Gateway) reportedLoads(now time.Time) []*wire.ShardLoad {
	if now.Sub(g.shards.reportedAt) < reportedLoadsFor {
		return g.shards.reported
	}
	g.shards.reported, g.shards.reportedAt = nil, now
	if !g.sharded() {
		return nil
	}
	for _, service := range slices.Sorted(maps.Keys(g.shards.maps)) {
		for _, name := range g.shards.maps[service].Names() {
			if len(g.shards.reported) == maxReportedLoads {
				return g.shards.reported
			}
			if g.isOwner(g.Host, name) {
				g.shards.reported = append(g.shards.reported, g.wireLoad(name))
			}
		}
	}
	return g.shards.reported
}

// isOwner reports whether a host is the owner of a shard, and not one that is asked as its replacement and doesn't
// know what runs on the targets.
func (g *Gateway) isOwner(host, name string) bool {
	return slices.Contains(g.ShardRelay.ShardOwners(name, 1), host)
}

// recordReportedLoads keeps the loads that a host has stated about the shards that it owns.
func (g *Gateway) recordReportedLoads(now time.Time, host string, loads []*wire.ShardLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range loads {
		if g.knowsShard(l.Shard) && g.isOwner(host, l.Shard) {
			g.recordShardLoad(now, l)
		}
	}
}

// outcomeOf returns the outcome of an attempt for the host that placed it.
func outcomeOf(ctx context.Context, at *attempt, err error) wire.Outcome {
	var refused *NotRunError
	switch {
	case err == nil && at.failed:
		return wire.Outcome_OUTCOME_FAILED
	case err == nil:
		return wire.Outcome_OUTCOME_ANSWERED
	case errors.As(err, &refused) && refused.Misdirected:
		return wire.Outcome_OUTCOME_MISDIRECTED
	case notTaken(err):
		return wire.Outcome_OUTCOME_REJECTED
	case errors.Is(context.Cause(ctx), errSilent) || errors.Is(err, errSilent):
		return wire.Outcome_OUTCOME_FAILED
	case ctx.Err() != nil:
		return wire.Outcome_OUTCOME_UNKNOWN
	case unsent(err):
		return wire.Outcome_OUTCOME_UNREACHED
	default:
		return wire.Outcome_OUTCOME_FAILED
	}
}
