package gateway

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// smallPartTokens is the size up to which parts prefer the stores with the lowest transfer latency.
const smallPartTokens = 4096

// chooseStores chooses a store for each part that no store has, except for the last part, which is
// specific to the request or its session. The lock must be held.
func (g *Gateway) chooseStores(w *work.Work, keys []prefix.Key) []string {
	now := g.Steady.Now()
	owners := 1
	if g.sharded() {
		owners = max(1, g.roles.owners)
	}
	var addresses []string
	for i, key := range keys[:len(keys)-1] {
		tokens := w.Parts[i].Tokens
		if tokens == 0 || g.isStored(now, key) {
			continue
		}
		s := g.storeFor(now, key, tokens, owners)
		if s == nil {
			g.countUnsaved(now)
			continue
		}
		if addresses == nil {
			addresses = make([]string, len(keys))
		}
		g.countSave(key)
		s.saves.start(now, key, tokens)
		addresses[i] = s.spec.Address
	}
	return addresses
}

// storedTokens returns the tokens of the shared parts of a request, and those of them that can be read from
// a store. The lock must be held.
func (g *Gateway) storedTokens(w *work.Work, keys []prefix.Key) (shared, stored int) {
	now := g.Steady.Now()
	for i, key := range keys[:len(keys)-1] {
		shared += w.Parts[i].Tokens
		for _, s := range g.stores {
			if held, ok := s.parts[key]; ok && held.tokens >= w.Parts[i].Tokens && s.readable(now) {
				stored += w.Parts[i].Tokens
				break
			}
		}
	}
	return shared, stored
}

// unstoredTokens is a moving average over the tokens of shared parts. The zero value is ready to use.
type unstoredTokens struct{ shared, stored float64 }

// unstoredDecay is the factor by which a request lowers the weight of earlier ones: a shard places some 70
// requests per second.
const unstoredDecay = 0.99

func (u *unstoredTokens) add(shared, stored int) {
	u.shared = u.shared*unstoredDecay + float64(shared)
	u.stored = u.stored*unstoredDecay + float64(stored)
}

// share returns the share of tokens that no store holds, 0 if it is unknown.
func (u *unstoredTokens) share() float64 {
	const least = 0.01 // It differs from unknown.
	if u.shared == 0 {
		return 0
	}
	return max(1-u.stored/u.shared, least)
}

// countUnsaved counts a part for which no store has room, if this host knows a store. The lock must be
// held.
func (g *Gateway) countUnsaved(now time.Time) {
	for _, s := range g.stores {
		if s.readable(now) {
			g.count("stores.withoutRoom")
			return
		}
	}
}

// countSave counts a part that is saved. The lock must be held.
func (g *Gateway) countSave(key prefix.Key) {
	g.count("stores.saves")
	for _, s := range g.stores {
		if _, held := s.parts[key]; held {
			g.count("stores.savedElsewhere")
			return
		}
	}
}

// isStored reports whether a part can be read from a store, or could be a short time ago, or was sent to
// one recently. The lock must be held.
func (g *Gateway) isStored(now time.Time, key prefix.Key) bool {
	for _, s := range g.stores {
		if s.holds(now, key) || s.saves.running(now, key) {
			return true
		}
	}
	return false
}

// storeFor chooses the store for a part among those with room: by a hash of the part, in proportion to
// the free room, so that hosts which decide at the same time use all stores and their links. Small
// parts only go to the stores with the lowest transfer latency. It returns nil if no store has room.
// The lock must be held.
func (g *Gateway) storeFor(now time.Time, key prefix.Key, tokens, owners int) *cacheStore {
	var best *cacheStore
	var bestScore float64
	for name, s := range g.stores {
		if _, partial := s.partial[key]; partial || !s.acceptsSave(now, tokens, owners, g.roles.ranks[name]) {
			continue
		}
		order := 0
		if best != nil && tokens <= smallPartTokens {
			order = cmp.Compare(s.spec.FirstByteDelay, best.spec.FirstByteDelay)
		}
		score := float64(s.freeTokens(now)-s.saves.tokens) / -math.Log(unitHash(name, key[:]))
		if best == nil || order < 0 || (order == 0 && score > bestScore) {
			best, bestScore = s, score
		}
	}
	return best
}

// unitHash returns a hash of a name and a key, greater than 0 and less than 1.
func unitHash(name string, key []byte) float64 {
	const bits = 53 // of a float64
	hash := xxhash.Sum64(append([]byte(name), key...))
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// freeTokens returns the space that neither the reported parts take nor those that found no room or
// broke off.
func (s *cacheStore) freeTokens(now time.Time) int {
	return s.spec.Tokens - s.usedTokens - s.partialTokens - int(s.saves.hiddenSpace(now))
}

// acceptsSave reports whether a host may save a part to the store now, as one of a number of hosts that
// save at the same time. Each uses its part of the free room for saves that the store hasn't reported,
// so that they don't overfill it together. If that is too little for the part, as many hosts use the
// room as there is room for such parts, those with the lowest ranks for the store.
func (s *cacheStore) acceptsSave(now time.Time, tokens, hosts, rank int) bool {
	if !s.readable(now) || now.Before(s.savesFrom) {
		return false
	}
	size, free := max(1, roundUp(tokens)), s.freeTokens(now)
	if free/hosts < size {
		hosts = free / size
		if rank >= hosts {
			return false
		}
	}
	return s.saves.tokens+size <= free/hosts
}

// ranks returns how many other hosts have a higher hash than a host, for each store.
func ranks(host string, hosts map[string]bool, stores map[string]int) map[string]int {
	list := make(map[string]int, len(stores))
	for store := range stores {
		own := unitHash(store, []byte(host))
		for other := range hosts {
			if other != host && unitHash(store, []byte(other)) > own {
				list[store]++
			}
		}
	}
	return list
}
