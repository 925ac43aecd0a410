// Package shard divides the targets of a service into shards and selects the shard that
// serves a request. It addresses the load of many hosts that place requests on the same
// targets by loads that are out of date: each shard has one owner that places all of its
// requests. The package performs no I/O and reads no clock.
package shard

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is a target of the service.
type Member struct {
	// ID is unique within the service.
	ID string
	// Slots is the number of requests that the target runs at once. Values below 1 count
	// as 1.
	Slots int
	// Usable reports whether requests may be sent to the target. Unusable members keep
	// their place in a shard, so that the others stay where they are when one of them
	// returns.
	Usable bool
}

// Map is a division of the members of a service into shards. It is immutable, so that
// goroutines can share it.
//
// Members and keys are halved again and again, in the same way for each number of shards.
// With half as many shards, each shard therefore consists of two neighboring ones of the
// finer division, and the first shard of a key of the two that contain its former one: a
// prompt stays with the targets that have its parts.
type Map struct {
	shards []shard
	names  []string
	byID   map[string]int
	byName map[string]int
	// parts are the nodes of the tree of halves: the whole service at index 1, the halves of
	// the node i at 2i and 2i+1, and the shards in their order at the last len(shards) indexes.
	parts []part
}

// shard is one part of a Map.
type shard struct {
	name    string
	members []string
}

// part is a node of the tree of halves.
type part struct {
	hash uint64
	// slots is the sum over usable members.
	slots float64
}

// NewMap divides the members into shards of at least size members, and of fewer than
// twice as many. The result doesn't depend on the order of the members. The sizes of two
// shards differ by at most one.
//
// The number of shards is the highest power of two that leaves size members per shard.
// So it changes only when the number of members halves or doubles: rounding to the
// nearest power would change it close to 60 members with a size of 5.
func NewMap(service string, members []Member, size int) *Map {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	members = slices.CompactFunc(members, func(a, b Member) bool { return a.ID == b.ID })

	count := 1
	if full := len(members) / max(size, 1); full > 1 {
		count = 1 << (bits.Len(uint(full)) - 1)
	}
	m := &Map{
		shards: make([]shard, count),
		names:  make([]string, count),
		byID:   make(map[string]int, len(members)),
		byName: make(map[string]int, count),
		parts:  make([]part, 2*count),
	}
	for i := range m.shards {
		name := service + "/" + strconv.Itoa(count) + "/" + strconv.Itoa(i)
		m.shards[i].name, m.names[i] = name, name
		m.byName[name] = i
	}
	for i := range m.parts {
		// The hash leaves out the number of shards, so that a part is halved alike in all
		// divisions.
		m.parts[i].hash = xxhash.Sum64String(service + "/" + strconv.Itoa(i))
	}
	hashed := make([]hashedMember, len(members))
	for i := range members {
		hashed[i] = hashedMember{Member: members[i], id: xxhash.Sum64String(members[i].ID)}
	}
	m.divide(1, hashed)
	for i := range m.shards {
		slices.Sort(m.shards[i].members)
	}
	return m
}

// hashedMember is a member that is being divided.
type hashedMember struct {
	Member
	// id is the hash of the ID, hash that for the current part.
	id, hash uint64
}

// divide halves the members of a part until a part is a shard. The halves are those below and
// above the middle of the hashes, and differ by at most one member. So a member that is added or
// removed moves at most one of the others to the other half, which has the same effect within
// both halves: on average 2.1 of 60 members move.
func (m *Map) divide(index int, members []hashedMember) {
	node := &m.parts[index]
	for i := range members {
		if members[i].Usable {
			node.slots += float64(max(members[i].Slots, 1))
		}
	}
	if index >= len(m.shards) {
		for i := range members {
			m.shards[index-len(m.shards)].members = append(m.shards[index-len(m.shards)].members, members[i].ID)
			m.byID[members[i].ID] = index - len(m.shards)
		}
		return
	}
	low := 0
	for i := range members {
		if members[i].hash = mix(members[i].id ^ node.hash); members[i].hash < 1<<63 {
			low++
		}
	}
	slices.SortFunc(members, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	// Of an odd number, the middle one is in the half to which its hash belongs.
	half := min(max(low, len(members)/2), (len(members)+1)/2)
	m.divide(2*index, members[:half])
	m.divide(2*index+1, members[half:])
}

// Count returns the number of shards, at least 1.
func (m *Map) Count() int {
	return len(m.shards)
}

// Of returns the name of the shard of a member, "SERVICE/COUNT/INDEX". ok is false if the
// ID is not that of a member.
func (m *Map) Of(id string) (name string, ok bool) {
	index, ok := m.byID[id]
	if !ok {
		return "", false
	}
	return m.shards[index].name, true
}

// Names returns the names of all shards by index. Callers must not change them.
func (m *Map) Names() []string { return m.names }

// Members returns the sorted IDs of the members of a shard, usable or not, and none for
// the name of a shard of another map. Callers must not change them.
func (m *Map) Members(name string) []string {
	index, ok := m.byName[name]
	if !ok {
		return nil
	}
	return m.shards[index].members
}

// Pick returns the names of the first and second shard for a key. The share of keys for
// which a shard is the first is proportional to the slots of its usable members, and so is
// the share of those of another first shard for which it is the second. second is empty if
// only one shard has usable members, and first if none has.
func (m *Map) Pick(key uint64) (first, second string) {
	const none = -1
	a := m.pick(key, none)
	if a == none {
		return "", ""
	}
	// The second one is chosen by other hashes: by the same ones, it would nearly always be
	// the neighbor of the first, which belongs to the same shard if there are half as many.
	b := m.pick(^key, a)
	if b == none {
		return m.shards[a].name, ""
	}
	return m.shards[a].name, m.shards[b].name
}

// pick returns the index of a shard with usable members other than the given one, -1 if
// there is none. It follows the tree of halves by the hash of the key in each part.
func (m *Map) pick(key uint64, other int) int {
	count := len(m.shards)
	// slots returns those of the part without the other shard, which is in one part of each
	// level.
	slots := func(index int) float64 {
		if other < 0 || (other+count)>>(bits.Len(uint(other+count))-bits.Len(uint(index))) != index {
			return m.parts[index].slots
		}
		return m.parts[index].slots - m.parts[other+count].slots
	}
	if slots(1) == 0 {
		return -1
	}
	index := 1
	for index < count {
		low, high := slots(2*index), slots(2*index+1)
		unit := float64(mix(key^m.parts[index].hash)>>11) / (1 << 53) // Below 1.
		index *= 2
		if unit*(low+high) >= low {
			index++
		}
	}
	return index - count
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
