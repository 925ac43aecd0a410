// Package membership maintains the list of entry hosts with a gossip protocol. It
// does no I/O, reads no clock and starts no goroutine. Its types are not safe for
// concurrent use. The traffic per host doesn't grow with the number of hosts.
package membership

import (
	"container/list"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the status of a member as one host knows it.
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
	// Incarnation increases with each restart of a host.
	Incarnation int64
	// Refutation increases when a host refutes a report that it is suspect or dead.
	Refutation int64
	Status     Status
	// Build is the version of the binary, and Protocol the highest version of the messages between
	// hosts that it knows. They are empty and 0 for a host of a build before these fields, and if
	// they are only known through such a host.
	Build    string
	Protocol int
}

// Address returns the IP address and the port on which the member serves other hosts.
func (m *Member) Address() string { return strings.TrimPrefix(m.URL, "http://") }

// newerThan reports whether m replaces the known state of the same member.
func (m *Member) newerThan(known *Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if m.Refutation != known.Refutation {
		return m.Refutation > known.Refutation
	}
	return m.Status > known.Status
}

// addBuild sets the build of m, if it isn't known, to that of another update about the same process.
// A host of an earlier build passes updates on without it.
func (m *Member) addBuild(other *Member) bool {
	if m.Protocol > 0 || other.Protocol == 0 || m.Incarnation != other.Incarnation {
		return false
	}
	m.Build, m.Protocol = other.Build, other.Protocol
	return true
}

// Params are the settings of a Table.
type Params struct {
	// SuspicionTimeout is how long a suspect has to refute before it is declared dead.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a dead or left member stays in the table.
	ForgetAfter time.Duration
	// UpdatesPerMessage limits the pending updates in one message. The entry of the
	// partner doesn't count.
	UpdatesPerMessage int
}

// sendFactor is how often a host sends an update for each binary digit of the number
// of members.
const sendFactor = 3

type entry struct {
	member    Member
	changedAt time.Time
	// sends is how often the host has sent the entry since its last change, and queued its place in the
	// queue.
	sends  int
	queued *list.Element
}

// Table contains the members that one host knows.
type Table struct {
	params       Params
	self         Member
	entries      map[string]*entry
	partnerQueue []string
	// updates contains all entries by how often they were sent.
	updates updateQueue
	// expiring contains the entries that are not alive, which Tick changes or removes after some time.
	expiring map[string]*entry
	// otherAlive is the number of other live members, and otherListed that of those and of the members
	// that are known only from the list of hosts. They are only valid if counted is set.
	otherAlive, otherListed int
	counted                 bool
	// ranks and owners contain results of Rank, and of Owners, OwnersByCapacity and their variants.
	ranks  map[rankKey]int
	owners map[ownersKey]*ownerList
	// capacities are those that members state, by name.
	capacities map[string]float64
	// knownRanks contains results of KnownRank, and knownCount that of KnownCount, 0 if it has to
	// be counted.
	knownRanks map[string]int
	knownCount int
	// firstTick is the time of the first Tick, and listExpired is set once ForgetAfter has passed
	// since then.
	firstTick   time.Time
	listExpired bool
}

type rankKey struct {
	name   string
	listed bool
}

// maxResults limits the results of Rank and of Owners that are kept.
const maxResults = 4096

// changed forgets what depends on the entries, except for the owners of names.
func (t *Table) changed() {
	t.counted = false
	clear(t.ranks)
	t.knownChanged()
}

// NewTable returns a table that contains only the host itself.
func NewTable(self Member, params Params) *Table {
	return &Table{params: params, self: self, entries: map[string]*entry{}, expiring: map[string]*entry{}}
}

// changedEntry queues an entry whose member has changed for the next messages.
func (t *Table) changedEntry(e *entry) {
	t.updates.requeue(e, 0)
	if e.member.Status == Alive {
		delete(t.expiring, e.member.Name)
	} else {
		t.expiring[e.member.Name] = e
	}
}

// Self returns the entry of the host itself.
func (t *Table) Self() Member { return t.self }

// Leave marks the host itself as left, which is final.
func (t *Table) Leave() {
	t.self.Status = Left
	t.changed()
	t.updateOwners(t.self.Name, false)
}

// Merge applies updates. A report that the host itself is suspect or dead is
// refuted.
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
		t.changed()
		known = &entry{member: update, changedAt: now}
		t.entries[update.Name] = known
		t.changedEntry(known)
		t.updateOwners(update.Name, false)
		return
	}
	if !update.newerThan(&known.member) {
		if known.member.addBuild(&update) {
			t.changedEntry(known)
		}
		return
	}
	update.addBuild(&known.member)
	t.changed()
	known.member = update
	known.changedAt = now
	t.changedEntry(known)
	t.updateOwners(update.Name, false)
}

// ReceivedFrom records the state that a member reports of itself in a message. A
// member that is recorded as suspect or dead keeps that status until it learns of it
// and refutes it.
func (t *Table) ReceivedFrom(now time.Time, from Member) { t.merge(now, from) }

// Failed records that a member didn't answer. If it was alive, it becomes a
// suspect.
func (t *Table) Failed(now time.Time, name string) {
	known := t.entries[name]
	if known == nil || known.member.Status != Alive {
		return
	}
	t.changed()
	known.member.Status = Suspect
	known.changedAt = now
	t.changedEntry(known)
	t.updateOwners(name, false)
}

// Tick declares suspects dead that didn't refute within SuspicionTimeout, and removes
// members that have been dead or left for longer than ForgetAfter.
func (t *Table) Tick(now time.Time) {
	t.expireList(now)
	for name, e := range t.expiring {
		age := now.Sub(e.changedAt)
		switch {
		case e.member.Status == Suspect && age > t.params.SuspicionTimeout:
			e.member.Status = Dead
			e.changedAt = now
			t.changedEntry(e)
		case e.member.Status >= Dead && age > t.params.ForgetAfter:
			delete(t.entries, name)
			delete(t.expiring, name)
			t.updates.remove(e)
			t.knownChanged()
		}
	}
}

// Updates returns the updates for the next message to a partner: the changes that
// were sent least often and, if the partner itself is known as suspect or dead, its
// entry, so that it can refute.
func (t *Table) Updates(partner string) []Member {
	limit := sendFactor * bits.Len(uint(len(t.entries)+1))
	updates := t.updates.take(t.params.UpdatesPerMessage, limit)
	if e := t.entries[partner]; e != nil && (e.member.Status == Suspect || e.member.Status == Dead) {
		updates = append(updates, e.member)
	}
	return updates
}

// Partners returns the next n members to exchange messages with. The order is
// random, and each member is used once before any is used again. Dead members are
// included, so that one that is reachable again can refute its death. Members that
// left are not.
func (t *Table) Partners(rng *rand.Rand, n int) []Member {
	var partners []Member
	for range len(t.entries) + n {
		if len(partners) == n {
			break
		}
		if len(t.partnerQueue) == 0 {
			t.partnerQueue = t.shuffled(rng)
			if len(t.partnerQueue) == 0 {
				break
			}
		}
		name := t.partnerQueue[0]
		t.partnerQueue = t.partnerQueue[1:]
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

// Members returns all members including the host itself, sorted by name.
func (t *Table) Members() []Member {
	members := []Member{t.self}
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// AliveCount returns the number of members that are alive, including the host
// itself. Members that are known only from the list of hosts, with incarnation 0,
// don't count. A call between two changes of the table costs the same at any number of
// members.
func (t *Table) AliveCount() int {
	t.count()
	return 1 + t.otherAlive
}

func (t *Table) count() {
	if t.counted {
		return
	}
	t.otherAlive, t.otherListed, t.counted = 0, 0, true
	for _, e := range t.entries {
		if e.member.Status != Alive {
			continue
		}
		t.otherListed++
		if e.member.Incarnation > 0 {
			t.otherAlive++
		}
	}
}

// Get returns the member with a name. It doesn't find the host itself.
func (t *Table) Get(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// Owner returns the alive member with the highest rendezvous hash for a name. It
// is responsible for that name. Hosts with different views may disagree.
func (t *Table) Owner(name string) string {
	return t.OwnerAmong(name, func(m Member) bool { return m.Status == Alive })
}

// OwnerAmong returns the owner of a name among the eligible members, or an empty
// string if there are none.
func (t *Table) OwnerAmong(name string, eligible func(Member) bool) string {
	best := ""
	bestHash := uint64(0)
	compare := func(m Member) {
		hash := ownerHash(m.Name, name)
		if eligible(m) && (best == "" || hash > bestHash || (hash == bestHash && m.Name < best)) {
			best, bestHash = m.Name, hash
		}
	}
	compare(t.self)
	for _, e := range t.entries {
		compare(e.member)
	}
	return best
}

// ListedCount returns the number of members that are alive, including the host itself and those
// that are known only from the list of hosts. A call between two changes of the table costs the same at
// any number of members.
func (t *Table) ListedCount() int {
	t.count()
	return 1 + t.otherListed
}

// Nearest returns the one of the given members that has the highest rendezvous hash for a
// name, or an empty string if there are none.
func (t *Table) Nearest(name string, among []string) string {
	best, bestHash := "", uint64(0)
	for _, member := range among {
		if hash := ownerHash(member, name); best == "" || hash > bestHash {
			best, bestHash = member, hash
		}
	}
	return best
}

// Rank returns the number of other alive members that have a higher rendezvous hash for a
// name than the host itself. Members that are known only from the list of hosts, with
// incarnation 0, don't count. Hosts with different views may disagree. A further call for a
// name between two changes of the table costs the same at any number of members.
func (t *Table) Rank(name string) int { return t.rank(rankKey{name: name}) }

// ListedRank is like Rank, with the members that are known only from the list of hosts.
func (t *Table) ListedRank(name string) int { return t.rank(rankKey{name: name, listed: true}) }

func (t *Table) rank(key rankKey) int {
	if rank, known := t.ranks[key]; known {
		return rank
	}
	own := ownerHash(t.self.Name, key.name)
	rank := 0
	for _, e := range t.entries {
		if e.member.Status == Alive && (key.listed || e.member.Incarnation > 0) && ownerHash(e.member.Name, key.name) > own {
			rank++
		}
	}
	if t.ranks == nil || len(t.ranks) >= maxResults {
		t.ranks = map[rankKey]int{}
	}
	t.ranks[key] = rank
	return rank
}

func ownerHash(host, name string) uint64 {
	var buffer [128]byte // Longer names are copied to the heap.
	return xxhash.Sum64(append(append(append(buffer[:0], host...), 0), name...))
}
