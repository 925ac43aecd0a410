package entry

import "sassafrasplank.example/sassafrasplank/internal/platform"

// tableCopies serves this host's copies of followed tables to its peers.
type tableCopies []*platform.Follower

// NewestVersions returns the highest row version of each table.
func (c tableCopies) NewestVersions() map[string]int64 {
	newest := make(map[string]int64, len(c))
	for _, f := range c {
		newest[f.Table] = f.NewestVersion()
	}
	return newest
}

// RowsAfter returns the rows of a table whose version is above after. It returns
// false for a table that is not followed or has not been read yet.
func (c tableCopies) RowsAfter(table string, after int64) (platform.Page, bool) {
	for _, f := range c {
		if f.Table == table {
			return f.RowsAfter(after)
		}
	}
	return platform.Page{}, false
}
