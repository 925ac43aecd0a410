package ledger

import (
	"maps"
	"slices"
)

func sortedTotals(totals map[string]*Total) []Total {
	sorted := make([]Total, 0, len(totals))
	for _, key := range slices.Sorted(maps.Keys(totals)) {
		sorted = append(sorted, *totals[key])
	}
	return sorted
}
