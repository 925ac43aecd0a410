package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// VersionSince is a version and since when it is requested. Since is not later than the
// request, and is zero if the version may have been requested at any time. It is a time of a
// clock that also runs while the host is suspended.
type VersionSince struct {
	Version int64
	Since   time.Time
}

// RequestedVersion is the version of a model that operators request.
type RequestedVersion struct {
	Model   string
	Version int64
	// Since is VersionSince.Since of the version.
	Since time.Time
	// Earlier are the versions requested before, oldest first.
	Earlier []VersionSince
}

// Supersede returns r with a newer version. The version of r becomes an earlier one.
func (r RequestedVersion) Supersede(version int64, since time.Time) RequestedVersion {
	if r.Version > 0 {
		r.Earlier = append(slices.Clone(r.Earlier), VersionSince{r.Version, r.Since})
		r.Earlier = r.Earlier[max(0, len(r.Earlier)-maxEarlierVersions):]
	}
	r.Version, r.Since = version, since
	return r
}

// maxEarlierVersions limits RequestedVersion.Earlier.
const maxEarlierVersions = 16

// OutdatedSince returns since when the first version newer than the given one is requested,
// zero if that isn't known.
func (r RequestedVersion) OutdatedSince(version int64) time.Time {
	for _, earlier := range r.Earlier {
		if earlier.Version > version {
			return earlier.Since
		}
	}
	return r.Since
}

// Versions returns the requested version and the earlier ones, oldest first.
func (r RequestedVersion) Versions() []VersionSince {
	return append(r.Earlier[:len(r.Earlier):len(r.Earlier)], VersionSince{r.Version, r.Since})
}

// withEarlier returns r with an earlier version. The time replaces a known one, unless it is
// zero.
func (r RequestedVersion) withEarlier(version int64, since time.Time) RequestedVersion {
	r.Earlier = slices.Clone(r.Earlier)
	i, found := slices.BinarySearchFunc(r.Earlier, version, func(v VersionSince, want int64) int { return cmp.Compare(v.Version, want) })
	switch {
	case !found:
		r.Earlier = slices.Insert(r.Earlier, i, VersionSince{version, since})
		r.Earlier = r.Earlier[max(0, len(r.Earlier)-maxEarlierVersions):]
	case !since.IsZero():
		r.Earlier[i].Since = since
	}
	return r
}

// RequestedVersions records the versions that operators request of each model. It is safe
// for concurrent use.
type RequestedVersions struct {
	mu     sync.Mutex
	models map[string]RequestedVersion
}

// Add records a version that operators request since the given time, zero if it isn't known.
// It reports whether the version is newer than the known ones. The time of a known version
// stays, since operators may write it again.
func (r *RequestedVersions) Add(model string, version int64, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.models[model]
	if version > known.Version {
		known.Model = model
		r.set(known.Supersede(version, since))
		return true
	}
	if version > 0 && version < known.Version {
		if !slices.ContainsFunc(known.Earlier, func(v VersionSince) bool { return v.Version == version }) {
			r.set(known.withEarlier(version, since))
		}
	}
	return false
}

// SetSince records since when a version is requested, zero if it isn't known. A time replaces
// the known one. It reports whether the version is newer than the known ones.
func (r *RequestedVersions) SetSince(model string, version int64, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.models[model]
	switch {
	case version > known.Version:
		known.Model = model
		r.set(known.Supersede(version, since))
		return true
	case version < known.Version:
		r.set(known.withEarlier(version, since))
	case !since.IsZero():
		known.Since = since
		r.set(known)
	}
	return false
}

// set replaces what is known of a model. The lock must be held.
func (r *RequestedVersions) set(v RequestedVersion) {
	if r.models == nil {
		r.models = map[string]RequestedVersion{}
	}
	r.models[v.Model] = v
}

// Of returns the requested version of a model, which is zero if none is known.
func (r *RequestedVersions) Of(model string) RequestedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.models[model]
}

// All returns the requested versions of all models, in the order of their names.
func (r *RequestedVersions) All() []RequestedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]RequestedVersion, 0, len(r.models))
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		list = append(list, r.models[model])
	}
	return list
}
