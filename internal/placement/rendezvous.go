package placement

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// groupsPerKey is the number of groups whose members are ranked for one key.
const groupsPerKey = 2

// rendezvous selects engines of a pool by rendezvous hashing on two levels: first
// the groups, then the engines of the best groups, weighted by their slots. The
// cost grows with the square root of the pool size.
type rendezvous struct {
	groups [][]rendezvousMember
}

type rendezvousMember struct {
	engine int32
	hash   uint64
	weight float64
}

// scored is a group or an engine with its score.
type scored struct {
	number int32
	score  float64
}

// newRendezvous distributes the engines over groups by the hash of their names.
// Adding or removing an engine moves others to another group only if it changes
// the number of groups, which is a power of two.
func newRendezvous(engines []*engine) *rendezvous {
	count := 1
	if n := len(engines); n > 0 {
		count = 1 << (bits.Len(uint(n)) / 2)
	}
	r := &rendezvous{groups: make([][]rendezvousMember, count)}
	for _, e := range engines {
		hash := xxhash.Sum64String(e.spec.Name)
		group := int(hash % uint64(count))
		r.groups[group] = append(r.groups[group], rendezvousMember{engine: e.number, hash: hash, weight: float64(e.spec.Slots)})
	}
	return r
}

// pick appends up to n engines for a key to picked, the best first. It returns
// scratch as well, so that the caller can pass it to the next call.
func (r *rendezvous) pick(picked []int32, scratch []scored, key uint64, n int) ([]int32, []scored) {
	scratch = scratch[:0]
	for range min(groupsPerKey, len(r.groups)) {
		group := r.bestGroup(key, scratch)
		scratch = append(scratch, scored{number: int32(group)})
	}
	first := len(scratch)
	for _, group := range scratch[:first] {
		for _, member := range r.groups[group.number] {
			score := weightedScore(mix(key^member.hash), member.weight)
			scratch = append(scratch, scored{number: member.engine, score: score})
		}
	}
	members := scratch[first:]
	slices.SortFunc(members, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	for _, member := range members[:min(n, len(members))] {
		picked = append(picked, member.number)
	}
	return picked, scratch
}

// bestGroup returns the group with the highest hash that is not in chosen.
func (r *rendezvous) bestGroup(key uint64, chosen []scored) int {
	best, bestHash := 0, uint64(0)
	for group := range r.groups {
		if slices.ContainsFunc(chosen, func(s scored) bool { return int(s.number) == group }) {
			continue
		}
		if hash := mix(key + uint64(group)*0x9e3779b97f4a7c15); hash >= bestHash {
			best, bestHash = group, hash
		}
	}
	return best
}

// weightedScore converts a hash to a score. The probability that a member has
// the highest score is proportional to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
