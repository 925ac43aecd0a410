package gateway

import (
	"context"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// cacheWait is how long a target may wait for its next cache event.
	cacheWait = 900 * time.Millisecond
	// cachePause gathers the events of some time into one call.
	cachePause = 150 * time.Millisecond
	// cacheRetry is the pause after a call that failed, as calls that a target
	// refuses are not free.
	cacheRetry = 2 * time.Second
	// shortWait is the shortest wait for which a target doesn't charge a call, by
	// its contract.
	shortWait = 200 * time.Millisecond
	// shortCycle is the least time between the starts of two short calls.
	shortCycle = time.Second
	// watcherShare is the part of the calls held by a target that short ones may
	// fill, so that few are refused when they come together.
	watcherShare = 0.75
	// watchEvery is the time between two looks at which targets there are. A host
	// that starts places as if they held nothing until it watches them.
	watchEvery = 50 * time.Millisecond
)

// CacheEvent tells that a target keeps a part of a prompt, or less of it.
type CacheEvent struct {
	Removed bool
	// Namespace is the text under which the part is kept.
	Namespace string
	Part      string
	Tokens    int
}

// CacheEvents are events in their order.
type CacheEvents struct {
	// Epoch changes when the target starts anew and holds nothing.
	Epoch int64
	// Next is where the next call goes on.
	Next int64
	// Clock is the clock of the targets in milliseconds.
	Clock int64
	// Gap tells of a gap.
	Gap    bool
	Events []CacheEvent
	// DecodeErr is why one of the events could not be read, nil if all were. Such an
	// event is left out.
	DecodeErr error
}

// CacheEventCaller reads cache events.
type CacheEventCaller interface {
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
}

// WatchCaches follows the cache events of all engines until ctx ends. They are
// hints: what they miss costs time only.
func (g *Gateway) WatchCaches(ctx context.Context, caller CacheEventCaller) {
	var watchers sync.WaitGroup
	watched := map[string]context.CancelFunc{}
	clock.Every(ctx, g.Clock, watchEvery, func(ctx context.Context) {
		listed := map[string]bool{}
		for _, t := range g.Fleet.Targets() {
			if len(t.Versions) == 0 {
				continue
			}
			listed[t.ID] = true
			if watched[t.ID] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			watched[t.ID] = cancel
			watchers.Go(func() { g.watchCache(ctx, caller, t.ID) })
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

// watchPace returns how long a call for events waits and the pause after it. A
// target holds a bounded number of calls; more hosts than that take turns.
func (g *Gateway) watchPace(watchers int) (wait, pause time.Duration) {
	if g.Hosts == nil || watchers <= 0 || g.Hosts() <= watchers {
		return cacheWait, cachePause
	}
	cycle := time.Duration(float64(g.Hosts()) / (watcherShare * float64(watchers)) * float64(shortWait))
	return shortWait, max(cycle, shortCycle) - shortWait
}

// watchersOf returns the number of calls for events a target of the service
// holds, 0 if unknown.
func (g *Gateway) watchersOf(service string) int {
	cfg := g.Routes()
	if cfg == nil {
		return 0
	}
	s := cfg.Services[service]
	switch {
	case s.Engine != nil:
		return s.Engine.MaxEventStreams
	case s.Store != nil:
		return s.Store.MaxEventStreams
	}
	return 0
}

func (g *Gateway) watchCache(ctx context.Context, caller CacheEventCaller, id string) {
	var since, epoch int64
	for ctx.Err() == nil {
		t, ok := g.Fleet.Find(id)
		if !ok {
			return
		}
		wait, pause := g.watchPace(g.watchersOf(t.Service))
		events, err := caller.CacheEvents(ctx, t.Address, since, wait)
		if err != nil {
			g.count("cacheEvents.failed")
			pause = cacheRetry
		} else {
			g.logUnread(id, events.DecodeErr)
			g.applyCache(id, epoch != 0 && events.Epoch != epoch, events)
			since, epoch = events.Next, events.Epoch
		}
		_ = clock.Sleep(ctx, g.Clock, pause) // The loop looks at ctx.
	}
}

// logUnread tells of an event that says nothing of use.
func (g *Gateway) logUnread(source string, err error) {
	if err != nil {
		g.count("cacheEvents.unread")
		g.Log.Warn().Str("part", "cache").Str("source", source).Err(err).Msg("cache: an event is left out")
	}
}

func (g *Gateway) applyCache(id string, restarted bool, events CacheEvents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if restarted {
		g.board.ClearCache(id)
	}
	if events.Gap {
		g.count("cacheEvents.gaps")
	}
	for _, event := range events.Events {
		g.board.RecordCached(id, partKey(event.Namespace, event.Part), event.Removed)
	}
}
