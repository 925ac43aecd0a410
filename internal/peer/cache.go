package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// Limits of a message about cache events. What is beyond them is left out.
const (
	maxCacheSources    = 1024
	maxCacheEvents     = 65536
	maxCacheNamespaces = 4096
)

// CachePosition is the position of a host in the cache events of a source, which is a
// target or a store.
type CachePosition struct {
	Source string
	Epoch  int64
	Since  int64
}

// CacheEvent reports that a source has cached or removed a prompt part. Events of one
// epoch are numbered in order.
type CacheEvent struct {
	Number    int64
	Removed   bool
	Namespace string
	Part      string
	Tokens    int
}

// CacheUpdate contains the events of a source after a position, as one host knows them.
type CacheUpdate struct {
	Source string
	Epoch  int64
	Next   int64
	// Gap reports whether earlier events are missing.
	Gap bool
	// Clock is the clock of the targets in milliseconds when the source answered that
	// host, and Age the time since then.
	Clock  int64
	Age    time.Duration
	Events []CacheEvent
}

// CacheProvider provides the cache events of the sources that this host polls.
type CacheProvider interface {
	CacheUpdates(positions []CachePosition) []CacheUpdate
}

// CacheWatchers returns the names of up to n live hosts that poll the sources of a group,
// the same on all hosts with the same members, and whether this host is one of them.
func (g *Group) CacheWatchers(group string, n int) (watchers []string, self bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	watchers = g.owners(group, n)
	return watchers, slices.Contains(watchers, g.Self.Name)
}

// PeerCacheEvents asks a host for the events of sources that it polls.
func (g *Group) PeerCacheEvents(ctx context.Context, host string, positions []CachePosition) ([]CacheUpdate, error) {
	g.mu.Lock()
	m, known := g.members.Get(host)
	g.mu.Unlock()
	if !known || m.Status != membership.Alive {
		return nil, fmt.Errorf("host %s is not alive", host)
	}
	request := &wire.CacheEventsRequest{}
	for _, p := range positions {
		request.Positions = append(request.Positions, &wire.CachePosition{Source: p.Source, Epoch: p.Epoch, Since: p.Since})
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(m.URL, g.client).CacheEvents(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("reading cache events from peer %s: %w", host, err)
	}
	updates, err := decodeCacheUpdates(response.Updates)
	g.logUnusable(&m, err)
	return updates, nil
}

// CacheEvents returns the cache events of sources that this host polls.
func (s *server) CacheEvents(_ context.Context, request *wire.CacheEventsRequest) (*wire.CacheEventsResponse, error) {
	if s.group.Caches == nil || len(request.Positions) > maxCacheSources {
		return &wire.CacheEventsResponse{}, nil
	}
	positions := make([]CachePosition, 0, len(request.Positions))
	for _, p := range request.Positions {
		positions = append(positions, CachePosition{Source: p.Source, Epoch: p.Epoch, Since: p.Since})
	}
	response := &wire.CacheEventsResponse{}
	for _, u := range s.group.Caches.CacheUpdates(positions) {
		response.Updates = append(response.Updates, u.encode())
	}
	return response, nil
}

func (u *CacheUpdate) encode() *wire.CacheUpdate {
	encoded := &wire.CacheUpdate{Source: u.Source, Epoch: u.Epoch, Next: u.Next, Gap: u.Gap, Clock: u.Clock, AgeMillis: u.Age.Milliseconds()}
	numbers := map[string]int32{}
	for _, e := range u.Events {
		number, known := numbers[e.Namespace]
		if !known {
			number = int32(len(encoded.Namespaces))
			numbers[e.Namespace] = number
			encoded.Namespaces = append(encoded.Namespaces, e.Namespace)
		}
		encoded.Events = append(encoded.Events, &wire.CacheEvent{
			Number: e.Number, Removed: e.Removed, Namespace: number, Part: e.Part, Tokens: int32(e.Tokens),
		})
	}
	return encoded
}

// decodeCacheUpdates validates and converts updates. The error names the values that are left out. A
// source with an event that can't be used is left out, since the events after it need that one.
func decodeCacheUpdates(encoded []*wire.CacheUpdate) ([]CacheUpdate, error) {
	var u unusableFields
	encoded = first(&u, "CacheEventsResponse.updates", encoded, maxCacheSources)
	updates := make([]CacheUpdate, 0, len(encoded))
	for _, w := range encoded {
		if update, ok := u.decodeCacheUpdate(w); ok {
			updates = append(updates, update)
		}
	}
	return updates, u.err()
}

func (u *unusableFields) decodeCacheUpdate(w *wire.CacheUpdate) (CacheUpdate, bool) {
	age, ok := u.millis("CacheUpdate.age_millis", w.Source, w.AgeMillis)
	if len(w.Events) > maxCacheEvents || len(w.Namespaces) > maxCacheNamespaces {
		u.add("CacheUpdate.events", w.Source, "%d events in %d namespaces", len(w.Events), len(w.Namespaces))
		ok = false
	}
	if !ok || len(u.addMistyped(w, w.Source)) > 0 || !u.name("CacheUpdate.source", w.Source) {
		return CacheUpdate{}, false
	}
	update := CacheUpdate{Source: w.Source, Epoch: w.Epoch, Next: w.Next, Gap: w.Gap, Clock: w.Clock, Age: age}
	for _, e := range w.Events {
		if len(u.addMistyped(e, w.Source)) > 0 || !u.name("CacheEvent.part", e.Part) || !u.count("CacheEvent.tokens", w.Source, int64(e.Tokens)) {
			return CacheUpdate{}, false
		}
		if e.Namespace < 0 || int(e.Namespace) >= len(w.Namespaces) || e.Part == "" {
			u.add("CacheUpdate.events", w.Source, "event %d without a known namespace or a part", e.Number)
			return CacheUpdate{}, false
		}
		update.Events = append(update.Events, CacheEvent{
			Number: e.Number, Removed: e.Removed, Namespace: w.Namespaces[e.Namespace], Part: e.Part, Tokens: int(e.Tokens),
		})
	}
	return update, true
}
