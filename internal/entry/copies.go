package entry

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// tableCopies serves this host's copies of followed tables to its peers.
type tableCopies []*platform.Follower

// States returns the state of the copy of each table.
func (c tableCopies) States() map[string]platform.CopyState {
	states := make(map[string]platform.CopyState, len(c))
	for _, f := range c {
		states[f.Table] = f.State()
	}
	return states
}

// Confirm records that a complete copy of a table at a position includes every change up to a time.
func (c tableCopies) Confirm(table string, p platform.Position, at time.Time) {
	for _, f := range c {
		if f.Table == table {
			f.Confirm(p, at)
		}
	}
}

// RowsAfter returns the rows of a table that are later than after, or the complete table
// if after is of an earlier era. It returns false for a table that is not followed or has
// not been read yet.
func (c tableCopies) RowsAfter(table string, after platform.Position) (platform.Page, bool) {
	for _, f := range c {
		if f.Table == table {
			return f.RowsAfter(after)
		}
	}
	return platform.Page{}, false
}
