package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// Limits of a message about cache events. Messages beyond them are rejected.
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
	watchers = g.members.Owners(group, n)
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
	return decodeCacheUpdates(response.Updates)
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

// decodeCacheUpdates validates and converts updates.
func decodeCacheUpdates(encoded []*wire.CacheUpdate) ([]CacheUpdate, error) {
	if len(encoded) > maxCacheSources {
		return nil, errors.New("cache events: more sources than allowed")
	}
	updates := make([]CacheUpdate, 0, len(encoded))
	for _, w := range encoded {
		if len(w.Source) > maxNameBytes || len(w.Events) > maxCacheEvents || len(w.Namespaces) > maxCacheNamespaces || w.AgeMillis < 0 {
			return nil, fmt.Errorf("cache events: source %.40q has a long name, too many events or a negative age", w.Source)
		}
		u := CacheUpdate{Source: w.Source, Epoch: w.Epoch, Next: w.Next, Gap: w.Gap, Clock: w.Clock, Age: time.Duration(w.AgeMillis) * time.Millisecond}
		for _, e := range w.Events {
			if e.Namespace < 0 || int(e.Namespace) >= len(w.Namespaces) || e.Part == "" || len(e.Part) > maxNameBytes || e.Tokens < 0 {
				return nil, fmt.Errorf("cache events: event %d of source %.40q is out of range", e.Number, w.Source)
			}
			u.Events = append(u.Events, CacheEvent{
				Number: e.Number, Removed: e.Removed, Namespace: w.Namespaces[e.Namespace], Part: e.Part, Tokens: int(e.Tokens),
			})
		}
		updates = append(updates, u)
	}
	return updates, nil
}
