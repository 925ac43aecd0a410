package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"
)

const (
	// freeBatch bounds the parts that one call frees.
	freeBatch = 200
	// obsoleteFor is how long no target has held a version before its parts are
	// freed, so that a target whose entry only lapsed is waited for.
	obsoleteFor = 3 * time.Second
)

// PartName names a part that a store keeps.
type PartName struct {
	Namespace string
	Part      string
}

// PartFreer frees parts at a store.
type PartFreer interface {
	// FreeParts frees parts unless the store has started anew since epoch, or
	// until has passed on the clock of the targets, in milliseconds.
	FreeParts(ctx context.Context, address string, epoch, until int64, parts []PartName) error
}

// wallVersion returns the model and the version of the weights behind a wall.
func wallVersion(wall string) (model string, version int64, ok bool) {
	name := wall[strings.LastIndexByte(wall, '/')+1:]
	at := strings.LastIndexByte(name, '@')
	if at < 0 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(name[at+1:], 10, 64)
	return name[:at], version, err == nil
}

// obsolete reports whether no request can use the parts behind a wall any more:
// no target has held their weights for some time, and newer ones are asked for.
// Targets refuse requests for weights that they don't hold, so nobody reads the
// parts while they are freed. The lock must be held.
func (g *Gateway) obsolete(now time.Time, wall string) bool {
	model, version, ok := wallVersion(wall)
	if !ok {
		return false
	}
	w := g.weights[model]
	if w == nil || version >= w.named.Version || len(w.held) == 0 {
		return false
	}
	if w.held[len(w.held)-1] <= version {
		return false
	}
	return now.Sub(w.oldestSince) >= obsoleteFor
}

// HasObsoleteParts reports whether a store keeps parts that nobody can use.
func (g *Gateway) HasObsoleteParts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, s := range g.stores {
		for wall := range s.walls {
			if g.obsolete(now, wall) {
				return true
			}
		}
	}
	return false
}

// freeing is one call that frees parts.
type freeing struct {
	store        *cacheStore
	epoch, until int64
	parts        []PartName
}

// FreeObsoleteParts frees what nobody can use, at most one call for each store. It is for
// the host that holds the lease, for which it must hold for within.
func (g *Gateway) FreeObsoleteParts(ctx context.Context, within time.Duration) {
	for _, f := range g.freeings(within) {
		err := g.Freer.FreeParts(ctx, f.store.spec.Address, f.epoch, f.until, f.parts)
		if err == nil {
			g.freed(f)
		}
		g.Log.Info().Str("part", "stores").Str("address", f.store.spec.Address).Int64("epoch", f.epoch).Int("parts", len(f.parts)).
			Err(err).Msg("stores: parts of replaced weights freed")
	}
}

// freed forgets parts that a store has freed, as the events that tell so may be
// lost.
func (g *Gateway) freed(f freeing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.store.epoch != f.epoch {
		return
	}
	for _, part := range f.parts {
		f.store.apply(CacheEvent{Removed: true, Namespace: part.Namespace, Part: part.Part})
	}
}

func (g *Gateway) freeings(within time.Duration) []freeing {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, steady := g.Clock.Now(), g.Steady.Now()
	var list []freeing
	for _, s := range g.stores {
		if !s.reads(steady) {
			continue
		}
		f := freeing{store: s, epoch: s.epoch, until: s.clock + (steady.Sub(s.asOf) + within).Milliseconds()}
		for _, held := range s.parts {
			if len(f.parts) < freeBatch && g.obsolete(now, held.wall) {
				f.parts = append(f.parts, PartName{Namespace: held.wall, Part: held.part})
			}
		}
		if len(f.parts) > 0 {
			list = append(list, f)
		}
	}
	return list
}
