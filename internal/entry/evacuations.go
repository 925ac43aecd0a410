package entry

import (
	"maps"
	"slices"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// applyEvacuations applies the rows that order to evacuate a failure domain. Domains for which the
// complete table has no row are not evacuated.
func (h *RoutedHost) applyEvacuations(rows []platform.Row, full bool) {
	domains := map[string]bool{}
	if !full {
		maps.Copy(domains, h.evacuated)
	}
	for _, row := range rows {
		domain := h.Translator.Evacuation(row)
		switch {
		case domain == "":
		case row.Removed:
			delete(domains, domain)
		default:
			domains[domain] = true
		}
	}
	if maps.Equal(domains, h.evacuated) {
		return
	}
	h.evacuated = domains
	h.gateway.SetEvacuated(slices.Sorted(maps.Keys(domains)))
}
