package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// ownersKey identifies the owners of a name among a kind of members.
type ownersKey struct {
	name       string
	listed     bool
	byCapacity bool
}

// ownerList contains the owners of a name that have been asked for. It is kept up to date when members
// change: with a shard for each few targets, computing all lists anew after each change would cost a
// host the product of hosts and shards, several times a second while many hosts start.
type ownerList struct {
	// n is the number of owners that were asked for, and best those found, the highest score first.
	n    int
	best []scoredMember
	// names are those of best. Callers hold it, so it isn't changed in place.
	names []string
}

// scoredMember is a member that owns a name. The score is 0 unless the owners are chosen by capacity.
type scoredMember struct {
	name  string
	score float64
	hash  uint64
}

// maxCapacity limits a capacity, so that scores stay finite.
const maxCapacity = 1e9

// SetCapacities sets the capacities that members state, by name, in any unit that is the same for all
// of them. The capacity of a member that isn't among them, or that states none above zero, is 1. That
// holds for the host itself as well: it counts what all hosts know of it, not its own setting.
func (t *Table) SetCapacities(capacities map[string]float64) {
	before := t.capacities
	t.capacities = maps.Clone(capacities)
	for name, capacity := range capacities {
		if earlier, stated := before[name]; !stated || earlier != capacity {
			t.updateOwners(name, true)
		}
	}
	for name := range before {
		if _, stated := capacities[name]; !stated {
			t.updateOwners(name, true)
		}
	}
}

func (t *Table) capacity(name string) float64 {
	if capacity := t.capacities[name]; capacity > 0 {
		return min(capacity, maxCapacity)
	}
	return 1
}

// Owners returns the names of up to n alive members with the highest rendezvous hashes for
// a name, the highest first. Members that are known only from the list of hosts, with
// incarnation 0, are left out. A further call between two changes of the table costs the same
// at any number of members. The caller must not change the names.
func (t *Table) Owners(name string, n int) []string {
	return t.cachedOwners(ownersKey{name: name}, n)
}

// ListedOwners is like Owners, with the members that are known only from the list of hosts.
func (t *Table) ListedOwners(name string, n int) []string {
	return t.cachedOwners(ownersKey{name: name, listed: true}, n)
}

// OwnersByCapacity is like Owners, with rendezvous hashes weighted by the capacities of the members: each
// is the first owner of a share of all names that is its share of the capacity of all. If no member
// states a capacity, the result is that of Owners.
func (t *Table) OwnersByCapacity(name string, n int) []string {
	return t.cachedOwners(ownersKey{name: name, byCapacity: len(t.capacities) > 0}, n)
}

// ListedOwnersByCapacity is like OwnersByCapacity, with the members that are known only from the list of
// hosts.
func (t *Table) ListedOwnersByCapacity(name string, n int) []string {
	return t.cachedOwners(ownersKey{name: name, listed: true, byCapacity: len(t.capacities) > 0}, n)
}

func (t *Table) cachedOwners(key ownersKey, n int) []string {
	list := t.owners[key]
	if list == nil || list.n < n {
		if t.owners == nil || len(t.owners) >= maxResults {
			t.owners = map[ownersKey]*ownerList{}
		}
		list = t.findOwners(key, n)
		t.owners[key] = list
	}
	return list.names[:min(n, len(list.names))]
}

func (t *Table) findOwners(key ownersKey, n int) *ownerList {
	list := &ownerList{n: n, best: make([]scoredMember, 0, n+1)}
	if key.eligible(&t.self, true) {
		list.add(t.scored(key, &t.self))
	}
	for _, e := range t.entries {
		if key.eligible(&e.member, false) {
			list.add(t.scored(key, &e.member))
		}
	}
	list.setNames()
	return list
}

// eligible reports whether a member can be an owner.
func (k ownersKey) eligible(m *Member, self bool) bool {
	return m.Status == Alive && (self || k.listed || m.Incarnation > 0)
}

func (t *Table) scored(key ownersKey, m *Member) scoredMember {
	s := scoredMember{name: m.Name, hash: ownerHash(m.Name, key.name)}
	if key.byCapacity {
		s.score = ownerScore(t.capacity(m.Name), s.hash)
	}
	return s
}

// add inserts a member if it is one of the best, and reports whether it is.
func (l *ownerList) add(s scoredMember) bool {
	i, _ := slices.BinarySearchFunc(l.best, s, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.hash, a.hash), strings.Compare(a.name, b.name))
	})
	if i >= l.n {
		return false
	}
	l.best = slices.Insert(l.best, i, s)
	l.best = l.best[:min(l.n, len(l.best))]
	return true
}

func (l *ownerList) setNames() {
	l.names = make([]string, len(l.best))
	for i := range l.best {
		l.names[i] = l.best[i].name
	}
}

// updateOwners updates the owners of names after the status of a member or, if scored is set, its capacity
// has changed. A member that owned a name and no longer does makes its owners be computed again.
func (t *Table) updateOwners(name string, scored bool) {
	m, self := &t.self, name == t.self.Name
	if !self {
		e := t.entries[name]
		if e == nil {
			return
		}
		m = &e.member
	}
	for key, list := range t.owners {
		if scored && !key.byCapacity {
			continue
		}
		owner, eligible := slices.Contains(list.names, name), key.eligible(m, self)
		switch {
		case owner && (scored || !eligible):
			delete(t.owners, key)
		case !owner && eligible && list.add(t.scored(key, m)):
			list.setNames()
		}
	}
}

// ownerScore returns the score of a member in weighted rendezvous hashing, -capacity/ln(u), where u is the
// hash mapped to the numbers between 0 and 1. The highest score of all members is that of a member
// with a probability in proportion to its capacity.
func ownerScore(capacity float64, hash uint64) float64 {
	// With 52 bits and a half, u is exact and neither 0 nor 1.
	u := (float64(hash>>12) + 0.5) / (1 << 52)
	return -capacity / math.Log(u)
}
