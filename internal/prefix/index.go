package prefix

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// holdersKept bounds the targets remembered for one key.
const holdersKept = 4

// Index remembers which targets hold which prefixes. It is a hint: a wrong
// entry costs time only. It is bounded and drops the least recently used keys.
type Index struct {
	entries *simplelru.LRU[Key, *holders]
}

// holders is a small set of target numbers, the newest last.
type holders struct {
	count   int
	targets [holdersKept]int32
}

// NewIndex returns an index of at most size keys.
func NewIndex(size int) *Index {
	entries, err := simplelru.NewLRU[Key, *holders](max(1, size), nil)
	if err != nil {
		panic(err)
	}
	return &Index{entries: entries}
}

// Len returns the number of keys held.
func (x *Index) Len() int { return x.entries.Len() }

// Contains reports whether any target is known to hold a key.
func (x *Index) Contains(key Key) bool { return x.entries.Contains(key) }

// Add notes that a target holds a key.
func (x *Index) Add(key Key, target int32) {
	entry, ok := x.entries.Get(key)
	if !ok {
		entry = &holders{}
		x.entries.Add(key, entry)
	}
	entry.remove(target)
	if entry.count == holdersKept {
		copy(entry.targets[:], entry.targets[1:])
		entry.count--
	}
	entry.targets[entry.count] = target
	entry.count++
}

// Remove notes that a target no longer holds a key.
func (x *Index) Remove(key Key, target int32) {
	entry, ok := x.entries.Peek(key)
	if !ok {
		return
	}
	entry.remove(target)
	if entry.count == 0 {
		x.entries.Remove(key)
	}
}

// Forget drops all that is known of a target, which takes a pass over the
// whole index.
func (x *Index) Forget(target int32) {
	for _, key := range x.entries.Keys() {
		x.Remove(key, target)
	}
}

// Holder is a target with the number of pieces of a chain that it holds.
type Holder struct {
	Target int32
	Pieces int
}

// Holders appends the targets known to hold a prefix of the chain, those with
// longer prefixes first, until limit are found. A target may be named again
// with a shorter prefix.
func (x *Index) Holders(found []Holder, chain []Key, limit int) []Holder {
	for i := len(chain) - 1; i >= 0 && len(found) < limit; i-- {
		entry, ok := x.entries.Get(chain[i])
		if !ok {
			continue
		}
		for j := entry.count - 1; j >= 0; j-- {
			found = append(found, Holder{Target: entry.targets[j], Pieces: i + 1})
		}
	}
	return found
}

func (h *holders) remove(target int32) {
	for i := range h.count {
		if h.targets[i] == target {
			copy(h.targets[i:], h.targets[i+1:h.count])
			h.count--
			return
		}
	}
}
