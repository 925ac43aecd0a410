package peer

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// ReadsTables reports whether this host reads the changes of tables from the table
// service itself. Of more than readers live hosts, those with the highest hashes of their
// names do, which are spread over the failure domains. The others follow the tables
// through their peers, which pass rows on within a few exchanges. A host that doesn't
// know of any contact with the service within maxAge reads it itself, so it depends on no
// particular peer.
func (g *Group) ReadsTables(readers int, maxAge time.Duration) bool {
	age, known := g.LatestContactAge()
	g.mu.Lock()
	reads := !known || age > maxAge || g.members.Rank(tableReaders) < readers
	hosts := g.members.AliveCount()
	g.mu.Unlock()
	g.roles.set("tableReader", reads, g.Log, func(entry *log.Entry) {
		entry.Dur("contactAge", age).Bool("contactKnown", known).Int("hosts", hosts)
	})
	return reads
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
