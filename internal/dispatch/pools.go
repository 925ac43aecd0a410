package dispatch

import (
	"slices"

	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// poolNames maps each model to the name of its pool. Models that share engines,
// directly or through other models, are in one pool, which has the name of the
// alphabetically first of them.
func poolNames(set *record.Set) map[string]string {
	names := make(map[string]string, len(set.Models))
	for model := range set.Models {
		names[model] = model
	}
	for changed := true; changed; {
		changed = false
		for _, t := range set.Targets {
			changed = joinPools(names, t.Models) || changed
		}
	}
	return names
}

// joinPools gives models the smallest name of their pools, and reports whether
// a name has changed.
func joinPools(names map[string]string, models []string) bool {
	if len(models) == 0 {
		return false
	}
	var pools []string
	for _, model := range models {
		pools = append(pools, names[model])
	}
	first := slices.Min(pools)
	changed := false
	for _, model := range models {
		if names[model] != first {
			names[model] = first
			changed = true
		}
	}
	return changed
}
