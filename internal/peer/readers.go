package peer

import "time"

// ReadsTables reports whether this host reads the changes of tables from the table
// service itself. Of more than readers live hosts, those with the highest hashes of their
// names do, which are spread over the failure domains. The others follow the tables
// through their peers, which pass rows on within a few exchanges. A host that doesn't
// know of any contact with the service within maxAge reads it itself, so it depends on no
// particular peer.
func (g *Group) ReadsTables(readers int, maxAge time.Duration) bool {
	if age, known := g.LatestContactAge(); !known || age > maxAge {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Rank(tableReaders) < readers
}

// tableReaders is the name by whose hashes the readers of the tables are chosen.
const tableReaders = "tables"
