// Package membership keeps the list of entry hosts by exchanged updates. It
// does no I/O, reads no clock and starts no goroutine; its caller serializes
// access. The cost per host doesn't grow with the number of hosts.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what is believed of a member.
type Status int

// The statuses of a member. Of two updates with the same incarnation and
// refutation the higher status wins.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status as a word.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Member is one entry host.
type Member struct {
	Name          string
	URL           string
	FailureDomain string
	// Incarnation orders the lives of one host.
	Incarnation int64
	// Refutation grows when a host contradicts a report of its own death.
	Refutation int64
	Status     Status
}

// newerThan reports whether an update replaces what is known.
func (m *Member) newerThan(known *Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if m.Refutation != known.Refutation {
		return m.Refutation > known.Refutation
	}
	return m.Status > known.Status
}

// Params are the settings of a Table.
type Params struct {
	// SuspectAfter is how long a suspect may contradict before it is dead.
	SuspectAfter time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
	// UpdatesPerMessage bounds the updates in one message.
	UpdatesPerMessage int
}

// repeatFactor is how many messages carry an update for each doubling of the
// number of members.
const repeatFactor = 3

type entry struct {
	member    Member
	changedAt time.Time
	repeats   int
}

// Table holds the members that one host knows.
type Table struct {
	params  Params
	self    Member
	entries map[string]*entry
	round   []string
}

// NewTable returns a table that knows only the host itself.
func NewTable(self Member, params Params) *Table {
	t := &Table{params: params, self: self, entries: map[string]*entry{}}
	return t
}

// Self returns the host's own entry.
func (t *Table) Self() Member { return t.self }

// Leave marks the host itself as leaving for good.
func (t *Table) Leave() { t.self.Status = Left }

// Merge takes in updates. A report of the host's own death is contradicted.
func (t *Table) Merge(now time.Time, updates []Member) {
	for _, update := range updates {
		if update.Name == t.self.Name {
			t.refute(update)
			continue
		}
		t.merge(now, update)
	}
}

func (t *Table) refute(update Member) {
	if t.self.Status == Left || update.Status == Alive || update.Incarnation != t.self.Incarnation {
		return
	}
	t.self.Refutation = max(t.self.Refutation, update.Refutation+1)
}

func (t *Table) merge(now time.Time, update Member) {
	known := t.entries[update.Name]
	if known == nil {
		t.entries[update.Name] = &entry{member: update, changedAt: now}
		return
	}
	if !update.newerThan(&known.member) {
		return
	}
	known.member = update
	known.changedAt = now
	known.repeats = 0
}

// ReceivedFrom notes a message from a member itself. A member that is believed to be
// dead contradicts once it is told so.
func (t *Table) ReceivedFrom(now time.Time, from Member) { t.merge(now, from) }

// Failed notes that a member didn't answer.
func (t *Table) Failed(now time.Time, name string) {
	known := t.entries[name]
	if known == nil || known.member.Status != Alive {
		return
	}
	known.member.Status = Suspect
	known.changedAt = now
	known.repeats = 0
}

// Tick declares suspects dead that didn't contradict in time, and forgets
// those dead for long.
func (t *Table) Tick(now time.Time) {
	for name, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case e.member.Status == Suspect && age > t.params.SuspectAfter:
			e.member.Status = Dead
			e.changedAt = now
			e.repeats = 0
		case e.member.Status >= Dead && age > t.params.ForgetAfter:
			delete(t.entries, name)
		}
	}
}

// Updates returns what to tell a partner in the next message: what is wrongly
// believed of the partner itself, and the changes told least often.
func (t *Table) Updates(partner string) []Member {
	updates := t.freshUpdates()
	if e := t.entries[partner]; e != nil && (e.member.Status == Suspect || e.member.Status == Dead) {
		updates = append(updates, e.member)
	}
	return updates
}

func (t *Table) freshUpdates() []Member {
	limit := repeatFactor * bits.Len(uint(len(t.entries)+1))
	fresh := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.repeats < limit {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.repeats != b.repeats {
			return a.repeats - b.repeats
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	fresh = fresh[:min(t.params.UpdatesPerMessage, len(fresh))]
	updates := make([]Member, len(fresh))
	for i, e := range fresh {
		e.repeats++
		updates[i] = e.member
	}
	return updates
}

// Partners returns the next members to exchange messages with, in a random
// order in which each one comes up once a round.
func (t *Table) Partners(rng *rand.Rand, n int) []Member {
	var partners []Member
	for range len(t.entries) + n {
		if len(partners) == n {
			break
		}
		if len(t.round) == 0 {
			t.round = t.shuffled(rng)
			if len(t.round) == 0 {
				break
			}
		}
		name := t.round[0]
		t.round = t.round[1:]
		e := t.entries[name]
		listed := slices.ContainsFunc(partners, func(m Member) bool { return m.Name == name })
		if e != nil && e.member.Status < Left && !listed {
			partners = append(partners, e.member)
		}
	}
	return partners
}

func (t *Table) shuffled(rng *rand.Rand) []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// Members returns all members, the host itself included, in the order of
// their names.
func (t *Table) Members() []Member {
	members := []Member{t.self}
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// AliveCount returns the number of members that live, the host itself included.
// Members that were only listed and never heard of don't count.
func (t *Table) AliveCount() int {
	n := 1
	for _, e := range t.entries {
		if e.member.Status == Alive && e.member.Incarnation > 0 {
			n++
		}
	}
	return n
}

// Get returns a member.
func (t *Table) Get(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// Owner returns the live member that looks after a name: the one with the
// highest hash of both names. Hosts with different views may disagree.
func (t *Table) Owner(name string) string {
	return t.OwnerAmong(name, func(m Member) bool { return m.Status == Alive })
}

// OwnerAmong is Home among the members that are fit for the task. It is empty
// when none is.
func (t *Table) OwnerAmong(name string, fit func(Member) bool) string {
	best := ""
	bestHash := uint64(0)
	consider := func(m Member) {
		hash := homeHash(m.Name, name)
		if fit(m) && (best == "" || hash > bestHash || (hash == bestHash && m.Name < best)) {
			best, bestHash = m.Name, hash
		}
	}
	consider(t.self)
	for _, e := range t.entries {
		consider(e.member)
	}
	return best
}

func homeHash(host, name string) uint64 {
	return xxhash.Sum64String(host + "\x00" + name)
}
