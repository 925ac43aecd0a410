package entry

import "sassafrasplank.example/sassafrasplank/internal/platform"

// tableCopies serves this host's copies of followed tables to its peers.
type tableCopies []*platform.Follower

// NewestPositions returns the position of the newest row of each table.
func (c tableCopies) NewestPositions() map[string]platform.Position {
	newest := make(map[string]platform.Position, len(c))
	for _, f := range c {
		newest[f.Table] = f.Newest()
	}
	return newest
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
