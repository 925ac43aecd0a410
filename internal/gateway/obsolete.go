package gateway

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxFreeBatch is the maximum number of parts that one call frees.
	maxFreeBatch = 200
	// obsoleteAfter is how long a version must have been loaded on no target before
	// its parts are freed. A target that has it loaded may be missing from the list
	// because its entry has expired.
	obsoleteAfter = 3 * time.Second
)

// PartName identifies a part in a store.
type PartName struct {
	Namespace string
	Part      string
}

// PartFreer frees parts in a store.
type PartFreer interface {
	// FreeParts frees parts unless the store has restarted since epoch, or the
	// clock of the targets, in milliseconds, has passed until.
	FreeParts(ctx context.Context, address string, epoch, until int64, parts []PartName) error
}

// namespaceVersion returns the model and the version of the weights of a
// namespace.
func namespaceVersion(namespace string) (model string, version int64, ok bool) {
	name, err := url.PathUnescape(namespace[strings.LastIndexByte(namespace, '/')+1:])
	if err != nil {
		return "", 0, false
	}
	at := strings.LastIndexByte(name, '@')
	if at < 0 {
		return "", 0, false
	}
	version, err = strconv.ParseInt(name[at+1:], 10, 64)
	return name[:at], version, err == nil
}

// obsolete reports whether no request can use the parts in a namespace any
// more: no target has had their weights loaded for some time, and operators
// request newer ones. Targets refuse requests for weights that they don't have,
// so no request reads the parts while they are freed. The lock must be held.
func (g *Gateway) obsolete(now time.Time, namespace string) bool {
	model, version, ok := namespaceVersion(namespace)
	if !ok {
		return false
	}
	w := g.weights[model]
	if w == nil || version >= g.Requested.Of(model).Version || len(w.loaded) == 0 {
		return false
	}
	if w.loaded[len(w.loaded)-1] <= version {
		return false
	}
	return now.Sub(w.oldestSince) >= obsoleteAfter
}

// HasObsoleteParts reports whether a store has parts that no request can use
// any more.
func (g *Gateway) HasObsoleteParts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, steady := g.Clock.Now(), g.Steady.Now()
	for _, s := range g.stores {
		if !s.readable(steady) {
			continue // This host may have stopped following it, and can't free its parts.
		}
		for namespace := range s.namespaces {
			if g.obsolete(now, namespace) {
				return true
			}
		}
	}
	return false
}

// FreeTurn returns the number of hosts that take the lease of swaps before this one to free parts, and
// false if all hosts follow the stores. With shards, only their owners do: if the turns counted all live
// hosts, the stores of 73 hosts stayed full for 4 s longer.
func (g *Gateway) FreeTurn() (turn int, known bool) {
	if !g.sharded() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	owners := slices.Sorted(maps.Keys(g.shardOwners()))
	turn, _ = slices.BinarySearch(owners, g.Host)
	return turn, true
}

// freeCall is one call that frees parts.
type freeCall struct {
	store        *cacheStore
	epoch, until int64
	parts        []PartName
}

// FreeObsoleteParts frees parts that no request can use any more, with at most
// one call to each store. It must be called only by the host that holds the
// rollout lease, which must stay valid for leaseLeft.
func (g *Gateway) FreeObsoleteParts(ctx context.Context, leaseLeft time.Duration) {
	for _, f := range g.freeCalls(leaseLeft) {
		err := g.Freer.FreeParts(ctx, f.store.spec.Address, f.epoch, f.until, f.parts)
		if err == nil {
			g.forgetFreed(f)
		}
		g.Log.Info().Str("part", "stores").Str("address", f.store.spec.Address).Int64("epoch", f.epoch).Int("parts", len(f.parts)).
			Err(err).Msg("stores: asked the store to free parts of replaced weights")
	}
}

// forgetFreed forgets parts that a store has freed, since the events that
// report it may be lost.
func (g *Gateway) forgetFreed(f freeCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.store.epoch != f.epoch {
		return
	}
	for _, part := range f.parts {
		f.store.apply(CacheEvent{Removed: true, Namespace: part.Namespace, Part: part.Part})
	}
}

func (g *Gateway) freeCalls(leaseLeft time.Duration) []freeCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, steady := g.Clock.Now(), g.Steady.Now()
	var list []freeCall
	for _, s := range g.stores {
		if !s.readable(steady) {
			continue
		}
		f := freeCall{store: s, epoch: s.epoch, until: s.targetClock + (steady.Sub(s.answeredAt) + leaseLeft).Milliseconds()}
		for _, held := range s.parts {
			if len(f.parts) < maxFreeBatch && g.obsolete(now, held.namespace) {
				f.parts = append(f.parts, PartName{Namespace: held.namespace, Part: held.part})
			}
		}
		if len(f.parts) > 0 {
			list = append(list, f)
		}
	}
	return list
}
