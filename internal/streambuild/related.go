package streambuild

import (
	"slices"
	"time"
)

// relation is a group of services among which streams are resumed, since a route leads to all of
// them or has changed from one to another.
type relation struct {
	services []string
	// until is when the last stream that began by an earlier configuration can't be resumed any
	// more, zero if the relation is one of the configuration in force.
	until time.Time
}

func (g *relation) ended(now time.Time) bool { return !g.until.IsZero() && now.After(g.until) }

// SetRelated sets the groups of services among which streams are resumed by the configuration in
// force, and those among which they are resumed because routes have just changed.
func (r *Registry) SetRelated(current, changed [][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	until := now.Add(r.retention)
	r.relations = slices.DeleteFunc(r.relations, func(g relation) bool { return g.ended(now) })
	for i := range r.relations {
		if r.relations[i].until.IsZero() {
			r.relations[i].until = until
		}
	}
	for _, services := range changed {
		r.relate(services, until)
	}
	for _, services := range current {
		r.relate(services, time.Time{})
	}
	for _, services := range slices.Concat(changed, current) {
		for _, name := range services {
			r.recordOwn(name)
		}
	}
}

// relate adds a relation, or replaces the end of the same one. The lock must be held.
func (r *Registry) relate(services []string, until time.Time) {
	for i := range r.relations {
		if slices.Equal(r.relations[i].services, services) {
			r.relations[i].until = until
			return
		}
	}
	r.relations = append(r.relations, relation{services, until})
}

// related returns a service and those at which a stream may have begun that is resumed at it. The
// lock must be held.
func (r *Registry) related(name string) []string {
	services := []string{name}
	now := r.Clock.Now()
	for i := 0; i < len(services); i++ {
		for _, g := range r.relations {
			if !slices.Contains(g.services, services[i]) || g.ended(now) {
				continue
			}
			for _, other := range g.services {
				if !slices.Contains(services, other) {
					services = append(services, other)
				}
			}
		}
	}
	return services
}

// builds returns the builds at which streams of services may have begun, sorted, as far as this
// host knows. It returns false if there may be others. The lock must be held.
func (r *Registry) builds(services []string) (builds []string, certain bool) {
	certain = true
	for _, name := range services {
		s := r.service(name)
		builds = append(builds, s.row.Builds...)
		certain = certain && r.certain(s)
	}
	slices.Sort(builds)
	return slices.Compact(builds), certain
}

// recorded reports whether streams of a service are recorded one by one. The lock must be held.
func (r *Registry) recorded(name string) bool {
	builds, certain := r.builds(r.related(name))
	return len(builds) != 1 || !certain
}
