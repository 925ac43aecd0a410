package peer

import (
	"math/bits"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/membership"
)

// ReadsTables reports whether this host reads the changes of tables from the table
// service itself. Of more than readers live hosts, those with the highest hashes of their
// names do, which are spread over the failure domains. The others follow the tables
// through their peers, which pass rows on within a few exchanges.
func (g *Group) ReadsTables(readers int) bool {
	age, known := g.LatestContactAge()
	g.mu.Lock()
	rank, hosts := g.rank(tableReaders), g.members.AliveCount()
	g.mu.Unlock()
	reads := rank < readers
	g.roles.set("tableReader", reads, g.Log, func(entry *log.Entry) {
		entry.Dur("contactAge", age).Bool("contactKnown", known).Int("hosts", hosts)
	})
	return reads
}

// ReaderRank returns the number of other live hosts that are chosen as readers of the tables before
// this one.
func (g *Group) ReaderRank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rank(tableReaders)
}

// readStep is the time between the reads of two classes of hosts that know of no contact with the
// table service, each twice as large as the one before. What the first ones read reaches the others
// before all of them read.
const readStep = 100 * time.Millisecond

// behindDivisor is the part of the time for which a copy is recent after which a host that has not
// received the rows which a peer reports reads them from the table service.
const behindDivisor = 3

// ReadDue reports whether this host reads a table from the service although it is no reader. That
// is so if its copy, of the given age, isn't known to include every change of the last maxAge, or if a
// peer has had a row that the copy lacks for a third of that. So it depends on no particular
// peer. Hosts with lower ranks read later, by readStep each time the number of hosts that read doubles.
func (g *Group) ReadDue(readers int, age, behind, maxAge time.Duration) bool {
	late := max(age-maxAge, behind-maxAge/behindDivisor)
	if late <= 0 {
		return false
	}
	class := bits.Len(uint(g.ReaderRank() / (2 * readers)))
	return late > time.Duration(class)*readStep
}

// contactGap is the shortest time without contacts that counts as an outage of the table service.
const contactGap = time.Second

// ContactResumed returns the time of the first contact of a peer with the table service after the last
// time in which there was none for a while, according to reports.
func (g *Group) ContactResumed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contactResumedAt
}

// askReader returns the reader of the tables with which the next exchange takes place, and false if
// the next partner is chosen as usual. A host that has heard of no contact with the table service for
// AskReaderAfter asks a reader, as asking the service would be billed, but no more often than that, as
// the readers may not reach the service either. The lock must be held.
func (g *Group) askReader() (membership.Member, bool) {
	now := g.Clock.Now()
	if g.Readers == 0 || now.Sub(g.contactAt) < g.AskReaderAfter || now.Sub(g.askedAt) < g.AskReaderAfter {
		return membership.Member{}, false
	}
	g.askedAt = now
	owners := g.members.Owners(tableReaders, g.Readers)
	if len(owners) == 0 {
		return membership.Member{}, false // This host has left, and it knows no other one.
	}
	return g.members.Get(owners[g.rng.IntN(len(owners))]) // It doesn't find this host.
}

// tableReaders is the name by whose hashes the readers of the tables are chosen.
const tableReaders = "tables"

// roles are the roles that this host has taken for the group.
type roles struct {
	mu    sync.Mutex
	taken map[string]bool
}

// set records whether this host has a role, and logs a change with the inputs that led
// to it.
func (r *roles) set(role string, taken bool, logger *log.Logger, inputs func(*log.Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken[role] == taken {
		return
	}
	if r.taken == nil {
		r.taken = map[string]bool{}
	}
	r.taken[role] = taken
	entry := logger.Info().Str("part", "peers").Str("role", role).Bool("taken", taken)
	inputs(entry)
	entry.Msg("peers: role of this host changed")
}
