package gateway

import (
	"context"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

const (
	// readLease is how long after an answer of a store its parts may still be
	// read, on the clock of the targets.
	readLease = 2400 * time.Millisecond
	// leastRead is the time that must be left of a read lease for a transfer to
	// be worth its start.
	leastRead = 600 * time.Millisecond
	// saveAfter is how long nothing is saved to a store that has started anew,
	// so that no host reads, by what it knew before, a part that is just being
	// written again. It is longer than readLease.
	saveAfter = 3 * time.Second
	// savePending is how long a part that was sent to a store is waited for.
	savePending = 4 * time.Second
	// smallPart is the number of tokens up to which a part goes to the store
	// that begins its transfers soonest; larger ones go where most room is.
	smallPart = 4096
	// blockTokens is the unit in which stores count their room, in tokens.
	blockTokens = 16
)

// storedPart is a part that a store keeps whole.
type storedPart struct {
	wall   string
	part   string
	tokens int
}

// cacheStore is what this host knows of one store.
type cacheStore struct {
	spec  routing.CacheStore
	epoch int64
	parts map[prefix.Key]storedPart
	// walls counts the parts behind each wall.
	walls map[string]int
	// used are the tokens of its parts.
	used int
	// clock is the clock of the targets in milliseconds when the store last
	// answered, at the time asOf of this host's steady clock.
	clock     int64
	asOf      time.Time
	savesFrom time.Time
	pending   map[prefix.Key]time.Time
	end       context.CancelFunc
}

// reads reports whether parts may be read from the store now.
func (s *cacheStore) reads(now time.Time) bool {
	return !s.asOf.IsZero() && now.Sub(s.asOf) < readLease-leastRead
}

// saves reports whether a part of some tokens may be sent to the store now.
func (s *cacheStore) saves(now time.Time, tokens int) bool {
	return s.reads(now) && !now.Before(s.savesFrom) && s.used+tokens <= s.spec.Tokens
}

// transfer returns the time in seconds that a part takes from or to the store.
func (s *cacheStore) transfer(bytes float64, failureDomain string) float64 {
	seconds := s.spec.FirstByteDelay.Seconds() + bytes/s.spec.LinkBytesPerSecond
	if failureDomain != s.spec.FailureDomain {
		seconds *= farTransfer
	}
	return seconds
}

// farTransfer is how many times longer a transfer between failure domains takes.
const farTransfer = 2

// WatchStores follows what the stores keep until ctx ends.
func (g *Gateway) WatchStores(ctx context.Context, caller CacheEventCaller) {
	var watchers sync.WaitGroup
	clock.Every(ctx, g.Clock, watchEvery, func(ctx context.Context) {
		cfg := g.routes.Load()
		if cfg == nil {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		for name, service := range cfg.Services {
			if service.Store == nil || !service.Store.Managed || g.stores[name] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			s := &cacheStore{spec: *service.Store, parts: map[prefix.Key]storedPart{}, walls: map[string]int{}, pending: map[prefix.Key]time.Time{}, end: cancel}
			g.stores[name] = s
			watchers.Go(func() { g.watchStore(ctx, caller, name, s) })
		}
		for name, s := range g.stores {
			if service := cfg.Services[name]; service.Store == nil || service.Store.Address != s.spec.Address {
				s.end()
				delete(g.stores, name)
			}
		}
	})
	watchers.Wait()
}

func (g *Gateway) watchStore(ctx context.Context, caller CacheEventCaller, name string, s *cacheStore) {
	defer s.end()
	var since int64
	lost := false
	for ctx.Err() == nil {
		wait, pause := g.watchPace(s.spec.MaxEventStreams)
		events, err := caller.CacheEvents(ctx, s.spec.Address, since, wait)
		if err == nil {
			g.logUnread(name, events.DecodeErr)
			g.applyStore(name, s, events)
			since = events.Next
		} else if ctx.Err() == nil {
			pause = cacheRetry
			g.storeLost(s)
		}
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			g.Log.Info().Str("part", "stores").Str("store", name).Str("address", s.spec.Address).Bool("lost", lost).
				Int64("epoch", s.epoch).Err(err).Msg("stores: answers have changed")
		}
		_ = clock.Sleep(ctx, g.Clock, pause) // The loop looks at ctx.
	}
}

// storeLost ends the reading from a store until it answers again.
func (g *Gateway) storeLost(s *cacheStore) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.asOf = time.Time{}
}

func (g *Gateway) applyStore(name string, s *cacheStore, events CacheEvents) {
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if events.Epoch != s.epoch {
		g.Log.Info().Str("part", "stores").Str("store", name).Int64("epoch", events.Epoch).Int64("before", s.epoch).
			Int("parts", len(s.parts)).Msg("stores: started anew, holds nothing of before")
		s.epoch = events.Epoch
		s.used = 0
		clear(s.parts)
		clear(s.walls)
		clear(s.pending)
		s.savesFrom = now.Add(saveAfter)
	}
	s.clock, s.asOf = events.Clock, now
	for _, event := range events.Events {
		s.apply(event)
	}
}

func (s *cacheStore) apply(event CacheEvent) {
	key := partKey(event.Namespace, event.Part)
	if held, ok := s.parts[key]; ok {
		s.used -= roundUp(held.tokens)
		delete(s.parts, key)
		if s.walls[held.wall]--; s.walls[held.wall] == 0 {
			delete(s.walls, held.wall)
		}
	}
	if event.Removed {
		return
	}
	delete(s.pending, key)
	s.parts[key] = storedPart{wall: event.Namespace, part: event.Part, tokens: event.Tokens}
	s.walls[event.Namespace]++
	s.used += roundUp(event.Tokens)
}

func roundUp(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// source is where a part of a prompt can be fetched.
type source struct {
	address string
	seconds float64
	store   *cacheStore
}

// sources finds the fastest source of each part, among stores and targets. The
// lock must be held.
func (g *Gateway) sources(w *work.Work, keys []prefix.Key, bytesPerToken, rate float64) []source {
	now := g.Steady.Now()
	found := make([]source, len(keys))
	for i, key := range keys[:len(keys)-1] {
		bytes := float64(w.Parts[i].Tokens) * bytesPerToken
		best := &found[i]
		if holder := g.board.Holder(key); holder != "" && rate > 0 {
			if t, ok := g.Fleet.Find(holder); ok {
				*best = source{address: t.Address, seconds: targetTransfer + bytes/rate}
			}
		}
		for _, s := range g.stores {
			held, ok := s.parts[key]
			if !ok || held.tokens < w.Parts[i].Tokens || !s.reads(now) {
				continue
			}
			if seconds := s.transfer(bytes, g.FailureDomain); best.address == "" || seconds < best.seconds {
				*best = source{address: s.spec.Address, seconds: seconds, store: s}
			}
		}
	}
	return found
}

// targetTransfer is the time in seconds before a transfer between two targets.
const targetTransfer = 0.002

// saveTo chooses a store for each part that none keeps. The lock must be held.
func (g *Gateway) saveTo(w *work.Work, keys []prefix.Key) []string {
	now := g.Steady.Now()
	var to []string
	for i, key := range keys[:len(keys)-1] {
		tokens := w.Parts[i].Tokens
		if tokens == 0 || g.stored(now, key) {
			continue
		}
		if s := g.roomFor(now, tokens); s != nil {
			if to == nil {
				to = make([]string, len(keys))
			}
			s.pending[key] = now
			to[i] = s.spec.Address
		}
	}
	return to
}

// stored reports whether a store keeps a part or is about to.
func (g *Gateway) stored(now time.Time, key prefix.Key) bool {
	for _, s := range g.stores {
		if _, ok := s.parts[key]; ok {
			return true
		}
		if at, ok := s.pending[key]; ok {
			if now.Sub(at) < savePending {
				return true
			}
			delete(s.pending, key)
		}
	}
	return false
}

// roomFor chooses the store for a part: small ones go where transfers begin
// soonest, large ones where most room is.
func (g *Gateway) roomFor(now time.Time, tokens int) *cacheStore {
	var best *cacheStore
	for _, s := range g.stores {
		if !s.saves(now, tokens) {
			continue
		}
		switch {
		case best == nil:
			best = s
		case tokens <= smallPart && s.spec.FirstByteDelay != best.spec.FirstByteDelay:
			if s.spec.FirstByteDelay < best.spec.FirstByteDelay {
				best = s
			}
		case s.spec.Tokens-s.used > best.spec.Tokens-best.used:
			best = s
		}
	}
	return best
}
