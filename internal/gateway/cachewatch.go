package gateway

import (
	"context"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

const (
	// longPollWait is how long a poll may wait for the next cache event.
	longPollWait = 900 * time.Millisecond
	// longPollPause is the pause between two long polls, so that one poll returns
	// several events.
	longPollPause = 150 * time.Millisecond
	// relayPollPause is the pause between two long polls of a host that polls for others.
	relayPollPause = 450 * time.Millisecond
	// pollRetryPause is the pause after a poll that failed. The operators of the
	// targets bill a poll that is refused (429, too many at once) like a health
	// probe.
	pollRetryPause = 2 * time.Second
	// shortPollWait is the shortest wait of a poll that is free. The operators of
	// the targets bill a poll that waits less like a health probe.
	shortPollWait = 200 * time.Millisecond
	// shortPollCycle is the minimum time between the starts of two short polls.
	shortPollCycle = time.Second
	// shortPollShare is the share of a target's limit on concurrent polls that
	// short polls use on average. The rest is left for times at which more hosts
	// poll at once, so that few polls are refused.
	shortPollShare = 0.75
	// scanInterval is the time between two checks whether there are targets or stores
	// that are not polled yet. A host that has just started places requests as if
	// caches that it has not polled were empty.
	scanInterval = 50 * time.Millisecond
)

// sourceScan is what the last scan for sources of cache events was based on.
type sourceScan struct {
	at     time.Time
	fleet  uint64
	routes *routing.Config
}

// scanDue reports whether the sources that this host polls may have changed since the last
// scan, and records a scan if so. Which of them it has to poll may change with the other
// hosts, and is checked each roleInterval.
func (g *Gateway) scanDue(last *sourceScan) bool {
	scan := sourceScan{at: g.Clock.Now(), fleet: g.Fleet.Generation(), routes: g.Routes()}
	if scan.fleet == last.fleet && scan.routes == last.routes && scan.at.Sub(last.at) < roleInterval {
		return false
	}
	*last = scan
	return true
}

// CacheEvent reports that a target or a store has cached or removed a prompt part.
type CacheEvent = peer.CacheEvent

// CacheEvents contains the events of one poll in order.
type CacheEvents struct {
	// Epoch changes when the target or store restarts without data.
	Epoch int64
	// Next is the position at which the next poll continues.
	Next int64
	// Clock is the clock of the targets in milliseconds.
	Clock int64
	// Gap reports whether events are missing.
	Gap    bool
	Events []CacheEvent
	// Truncated reports whether the answer had further events, after Next.
	Truncated bool
	// Notice is what the answer says about the target or store itself.
	Notice Notice
	// DecodeErr is the error for an event that could not be decoded, or nil. Such
	// an event is omitted.
	DecodeErr error
}

// CacheEventCaller polls targets and stores for cache events.
type CacheEventCaller interface {
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
}

// WatchCaches polls engines for cache events until ctx ends. FollowCaches asks peers for
// those of the other engines. Events are hints: if one is missed, a part that is cached may be computed again.
func (g *Gateway) WatchCaches(ctx context.Context, caller CacheEventCaller) {
	var watchers sync.WaitGroup
	watched := map[string]context.CancelFunc{}
	var last sourceScan
	clock.Every(ctx, g.Clock, scanInterval, func(ctx context.Context) {
		if !g.scanDue(&last) {
			return
		}
		listed := g.polledEngines()
		for id := range listed {
			if watched[id] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			watched[id] = cancel
			watchers.Go(func() { g.watchCache(ctx, caller, id) })
		}
		for id, cancel := range watched {
			if !listed[id] {
				cancel()
				delete(watched, id)
			}
		}
	})
	for _, cancel := range watched {
		cancel()
	}
	watchers.Wait()
}

// polledEngines returns the IDs of the engines that this host polls for cache events.
func (g *Gateway) polledEngines() map[string]bool {
	polled := map[string]bool{}
	if g.sharded() {
		for _, t := range g.ownedEngines() {
			polled[t.ID] = true
		}
		return polled
	}
	targets := g.Fleet.Targets()
	for i := range targets {
		if t := &targets[i]; len(t.Versions) > 0 && g.pollsSource(t.ID, g.pollLimit(t.Service)) {
			polled[t.ID] = true
		}
	}
	return polled
}

// pollTiming returns how long a poll waits and the pause after it. A target or
// store accepts at most limit concurrent polls. If there are more hosts than
// that, they use short polls with longer pauses.
func (g *Gateway) pollTiming(limit int) (wait, pause time.Duration) {
	if g.HostCount == nil || limit <= 0 || g.HostCount() <= limit {
		return longPollWait, longPollPause
	}
	if g.CacheRelay != nil {
		return longPollWait, relayPollPause
	}
	cycle := time.Duration(float64(g.HostCount()) / (shortPollShare * float64(limit)) * float64(shortPollWait))
	return shortPollWait, max(cycle, shortPollCycle) - shortPollWait
}

// pollLimit returns the number of concurrent polls that a target of the
// service accepts, 0 if unknown.
func (g *Gateway) pollLimit(service string) int {
	cfg := g.Routes()
	if cfg == nil {
		return 0
	}
	s := cfg.Services[service]
	switch {
	case s.Engine != nil:
		return s.Engine.MaxEventCalls
	case s.Store != nil:
		return s.Store.MaxEventCalls
	}
	return 0
}

func (g *Gateway) watchCache(ctx context.Context, caller CacheEventCaller, id string) {
	since := g.startPolling(id)
	defer g.stopPolling(id)
	failing := false
	for ctx.Err() == nil {
		t, ok := g.Fleet.Find(id)
		if !ok {
			return
		}
		if closed := g.closedToPolls(id); closed > 0 {
			_ = clock.Sleep(ctx, g.Clock, closed) // The loop checks ctx.
			continue
		}
		wait, pause := g.pollTiming(g.pollLimit(t.Service))
		since = g.nextPoll(id, since)
		events, err := caller.CacheEvents(ctx, t.Address, since, wait)
		g.applyNotice(t, events.Notice)
		if err != nil {
			g.count("cacheEvents.failed")
			pause = pollRetryPause
		} else {
			g.logDecodeErr(id, events.DecodeErr)
			g.hold(id, since, &events)
			since = events.Next
			g.applyEvents(id, events, g.Steady.Now())
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			g.Log.Info().Str("part", "cache").Str("source", id).Str("address", t.Address).Bool("failing", failing).Int64("since", since).
				Err(err).Msg("cache: calls for events of the target fail or succeed again")
		}
		_ = clock.Sleep(ctx, g.Clock, pause) // The loop checks ctx.
	}
}

// closedToPolls returns how long a target isn't polled at least, 0 if it may be polled now. It
// isn't if it wants no calls from this host, or if it limits calls: requests need those more.
func (g *Gateway) closedToPolls(id string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Limited(id) {
		return pollRetryPause
	}
	return g.placer.QuietUntil(id).Sub(g.Clock.Now())
}

// logDecodeErr counts and logs a part of an answer that could not be decoded.
func (g *Gateway) logDecodeErr(source string, err error) {
	if err != nil {
		g.count("cacheEvents.unread")
		g.Log.Warn().Str("part", "cache").Str("source", source).Err(err).Msg("cache: event or listed part can't be decoded and is ignored")
	}
}

// applyCacheEvents applies the events of an engine. The lock must be held.
func (g *Gateway) applyCacheEvents(id string, restarted bool, events CacheEvents) {
	if restarted {
		g.placer.ClearCache(id)
	}
	if events.Gap {
		g.count("cacheEvents.gaps")
	}
	for _, event := range events.Events {
		g.placer.RecordCached(id, partKey(event.Namespace, event.Part), event.Removed)
	}
}
