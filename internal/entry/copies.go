package entry

import "sassafrasplank.example/sassafrasplank/internal/platform"

// tableCopies are the tables that a host follows, for its peers.
type tableCopies []*platform.Follower

// NewestVersions returns the version of the newest row of each table.
func (c tableCopies) NewestVersions() map[string]int64 {
	newest := make(map[string]int64, len(c))
	for _, f := range c {
		newest[f.Table] = f.NewestVersion()
	}
	return newest
}

// RowsAfter returns the rows of a table that are newer than a version.
func (c tableCopies) RowsAfter(table string, after int64) (platform.Page, bool) {
	for _, f := range c {
		if f.Table == table {
			return f.RowsAfter(after)
		}
	}
	return platform.Page{}, false
}
