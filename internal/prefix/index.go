package prefix

import "encoding/binary"

const (
	// slotsPerBucket is the number of entries among which the least recently
	// used one is replaced.
	slotsPerBucket = 8
	emptySlot      = -1
)

// Index remembers which targets hold which prefixes. It is a hint: a wrong
// entry costs time only, so keys are shortened to 64 bits. Its memory is fixed
// at 16 bytes an entry; a full bucket drops its least recently used entry.
type Index struct {
	slots   []slot
	buckets uint64
	clock   uint32
	count   int
}

// slot says that a target holds a key.
type slot struct {
	key    uint64
	target int32
	used   uint32
}

// NewIndex returns an index of about size entries.
func NewIndex(size int) *Index {
	buckets := max(1, (size+slotsPerBucket-1)/slotsPerBucket)
	x := &Index{slots: make([]slot, buckets*slotsPerBucket), buckets: uint64(buckets)}
	for i := range x.slots {
		x.slots[i].target = emptySlot
	}
	return x
}

// Len returns the number of entries held.
func (x *Index) Len() int { return x.count }

// bucket returns the slots in which a key may stand.
func (x *Index) bucket(key Key) (short uint64, slots []slot) {
	short = binary.LittleEndian.Uint64(key[:8])
	first := binary.LittleEndian.Uint64(key[8:]) % x.buckets * slotsPerBucket
	return short, x.slots[first : first+slotsPerBucket]
}

// Contains reports whether any target is known to hold a key.
func (x *Index) Contains(key Key) bool {
	short, slots := x.bucket(key)
	for i := range slots {
		if slots[i].key == short && slots[i].target != emptySlot {
			return true
		}
	}
	return false
}

// Add notes that a target holds a key.
func (x *Index) Add(key Key, target int32) {
	x.clock++
	short, slots := x.bucket(key)
	free := 0
	for i := range slots {
		s := &slots[i]
		if s.key == short && s.target == target {
			s.used = x.clock
			return
		}
		if older(s, &slots[free]) {
			free = i
		}
	}
	if slots[free].target == emptySlot {
		x.count++
	}
	slots[free] = slot{key: short, target: target, used: x.clock}
}

// older reports whether a is to be replaced before b.
func older(a, b *slot) bool {
	if (a.target == emptySlot) != (b.target == emptySlot) {
		return a.target == emptySlot
	}
	return a.used < b.used
}

// Remove notes that a target no longer holds a key.
func (x *Index) Remove(key Key, target int32) {
	short, slots := x.bucket(key)
	for i := range slots {
		if slots[i].key == short && slots[i].target == target {
			slots[i] = slot{target: emptySlot}
			x.count--
			return
		}
	}
}

// RemoveTarget drops all that is known of a target, which takes a pass over the
// whole index.
func (x *Index) RemoveTarget(target int32) {
	for i := range x.slots {
		if x.slots[i].target == target {
			x.slots[i] = slot{target: emptySlot}
			x.count--
		}
	}
}

// Holder is a target with the number of pieces of a chain that it holds.
type Holder struct {
	Target int32
	Blocks int
}

// Holders appends the targets known to hold a prefix of the chain, those with
// longer prefixes first, until limit are found. A target may be named again
// with a shorter prefix.
func (x *Index) Holders(found []Holder, chain []Key, limit int) []Holder {
	x.clock++
	for i := len(chain) - 1; i >= 0 && len(found) < limit; i-- {
		short, slots := x.bucket(chain[i])
		for j := range slots {
			s := &slots[j]
			if s.key == short && s.target != emptySlot {
				s.used = x.clock
				found = append(found, Holder{Target: s.target, Blocks: i + 1})
			}
		}
	}
	return found
}
