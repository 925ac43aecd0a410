package prefix

import "encoding/binary"

const (
	// slotsPerBucket is the maximum number of entries in a bucket.
	slotsPerBucket = 8
	// emptySlot is the target of an unused slot.
	emptySlot = -1
)

// Index records which targets hold which prefixes. Targets are numbered by the
// caller and may be store hosts. The entries are hints: a wrong entry costs time
// only, so keys are shortened to 64 bits. The memory is fixed at 16 bytes per
// entry. A full bucket evicts its least recently used entry.
type Index struct {
	slots   []slot
	buckets uint64
	// useCount counts the calls of Add and Holders. It is the clock of lastUse.
	useCount uint32
	count    int
}

// slot is an entry: a target that holds a key.
type slot struct {
	key    uint64
	target int32
	// lastUse is the value of useCount when the entry was last added or found.
	lastUse uint32
}

// NewIndex returns an index with space for about size entries.
func NewIndex(size int) *Index {
	buckets := max(1, (size+slotsPerBucket-1)/slotsPerBucket)
	x := &Index{slots: make([]slot, buckets*slotsPerBucket), buckets: uint64(buckets)}
	for i := range x.slots {
		x.slots[i].target = emptySlot
	}
	return x
}

// Len returns the number of entries.
func (x *Index) Len() int { return x.count }

// bucket returns the shortened key and the slots in which it may be stored.
func (x *Index) bucket(key Key) (shortKey uint64, slots []slot) {
	shortKey = binary.LittleEndian.Uint64(key[:8])
	first := binary.LittleEndian.Uint64(key[8:]) % x.buckets * slotsPerBucket
	return shortKey, x.slots[first : first+slotsPerBucket]
}

// Contains reports whether any target is known to hold a key.
func (x *Index) Contains(key Key) bool {
	shortKey, slots := x.bucket(key)
	for i := range slots {
		if slots[i].key == shortKey && slots[i].target != emptySlot {
			return true
		}
	}
	return false
}

// Add records that a target holds a key.
func (x *Index) Add(key Key, target int32) {
	x.useCount++
	shortKey, slots := x.bucket(key)
	victim := 0
	for i := range slots {
		s := &slots[i]
		if s.key == shortKey && s.target == target {
			s.lastUse = x.useCount
			return
		}
		if evictBefore(s, &slots[victim]) {
			victim = i
		}
	}
	if slots[victim].target == emptySlot {
		x.count++
	}
	slots[victim] = slot{key: shortKey, target: target, lastUse: x.useCount}
}

// evictBefore reports whether a new entry replaces a rather than b.
func evictBefore(a, b *slot) bool {
	if (a.target == emptySlot) != (b.target == emptySlot) {
		return a.target == emptySlot
	}
	return a.lastUse < b.lastUse
}

// Remove records that a target no longer holds a key.
func (x *Index) Remove(key Key, target int32) {
	shortKey, slots := x.bucket(key)
	for i := range slots {
		if slots[i].key == shortKey && slots[i].target == target {
			slots[i] = slot{target: emptySlot}
			x.count--
			return
		}
	}
}

// RemoveTarget removes all entries of a target. It scans the complete index.
func (x *Index) RemoveTarget(target int32) {
	for i := range x.slots {
		if x.slots[i].target == target {
			x.slots[i] = slot{target: emptySlot}
			x.count--
		}
	}
}

// Holder is a target that holds a prefix, with the length of the prefix in
// blocks.
type Holder struct {
	Target int32
	Blocks int
}

// Holders finds the targets that hold a prefix of the chain. It appends them to
// found, longest prefixes first, and stops when found has at least limit entries.
// A target may be listed again with a shorter prefix.
func (x *Index) Holders(found []Holder, chain []Key, limit int) []Holder {
	x.useCount++
	for i := len(chain) - 1; i >= 0 && len(found) < limit; i-- {
		shortKey, slots := x.bucket(chain[i])
		for j := range slots {
			s := &slots[j]
			if s.key == shortKey && s.target != emptySlot {
				s.lastUse = x.useCount
				found = append(found, Holder{Target: s.target, Blocks: i + 1})
			}
		}
	}
	return found
}
