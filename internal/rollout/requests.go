package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// RequestedVersion is the version of a model that operators request.
type RequestedVersion struct {
	Model   string
	Version int64
	// Since is a time after which the version was requested, close to the request. It is
	// zero if none is known, as right after the start of a host: the version may then have
	// been requested at any time. The clock also runs while the host is suspended.
	Since time.Time
	// Earlier are the versions requested before, oldest first.
	Earlier []EarlierVersion
}

// EarlierVersion is a version that was requested before the present one, and
// RequestedVersion.Since for it.
type EarlierVersion struct {
	Version int64
	Since   time.Time
}

// Supersede returns r with a newer version requested after since. The version of r
// becomes an earlier one.
func (r RequestedVersion) Supersede(version int64, since time.Time) RequestedVersion {
	if r.Version > 0 {
		r.Earlier = append(slices.Clone(r.Earlier), EarlierVersion{r.Version, r.Since})
		r.Earlier = r.Earlier[max(0, len(r.Earlier)-maxEarlierVersions):]
	}
	r.Version, r.Since = version, since
	return r
}

// maxEarlierVersions limits RequestedVersion.Earlier.
const maxEarlierVersions = 16

// OutdatedSince returns a time after which the first version newer than the given one was
// requested, zero if none is known.
func (r RequestedVersion) OutdatedSince(version int64) time.Time {
	for _, earlier := range r.Earlier {
		if earlier.Version > version {
			return earlier.Since
		}
	}
	return r.Since
}

// supplement returns r with the time of an earlier version or of the present one. Of two
// times for a version, the later one is closer to its request.
func (r RequestedVersion) supplement(version int64, since time.Time) RequestedVersion {
	if version == r.Version {
		r.Since = later(r.Since, since)
		return r
	}
	i, found := slices.BinarySearchFunc(r.Earlier, version, func(e EarlierVersion, v int64) int { return cmp.Compare(e.Version, v) })
	r.Earlier = slices.Clone(r.Earlier)
	if found {
		r.Earlier[i].Since = later(r.Earlier[i].Since, since)
		return r
	}
	r.Earlier = slices.Insert(r.Earlier, i, EarlierVersion{version, since})
	r.Earlier = r.Earlier[max(0, len(r.Earlier)-maxEarlierVersions):]
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Requests records which weight versions operators request, and since when. It is safe
// for concurrent use.
type Requests struct {
	mu     sync.Mutex
	models map[string]RequestedVersion
}

// Add records that a version of a model was requested after since, which is zero if no such
// time is known. It reports whether the version is newer than the known ones.
func (r *Requests) Add(model string, version int64, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.models[model]
	if version <= 0 {
		return false
	}
	if version <= known.Version {
		r.models[model] = known.supplement(version, since)
		return false
	}
	if r.models == nil {
		r.models = map[string]RequestedVersion{}
	}
	known.Model = model
	r.models[model] = known.Supersede(version, since)
	return true
}

// Of returns the requested version of a model, which is zero if none is known.
func (r *Requests) Of(model string) RequestedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.models[model]
}

// All returns the requested versions of all models, in the order of their names.
func (r *Requests) All() []RequestedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]RequestedVersion, 0, len(r.models))
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		list = append(list, r.models[model])
	}
	return list
}
