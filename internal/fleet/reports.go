package fleet

import (
	"maps"
	"time"
)

// Reports holds the weight versions that targets have reported themselves, until their rows state them:
// a row is written and read a second or more after the end of a swap. It does no I/O and reads no clock.
// The zero value holds reports for no time. It is not safe for concurrent use.
type Reports struct {
	// HoldFor is how long a report counts if the target doesn't report the same again.
	HoldFor time.Duration

	reports map[string]report
}

// report is the latest report of a target.
type report struct {
	// started is the start time of the listed process. What an earlier process has reported doesn't count.
	started int64
	// readAt is when the read of the report began. Reads may end in another order.
	readAt time.Time
	// versions are the reported versions, nil if they were wrong.
	versions map[string]int64
}

// Record records the versions that a target has reported to a read that began at readAt. t is the target
// as it was listed then. A report to an earlier read than the latest report is ignored.
func (r *Reports) Record(readAt time.Time, t Target, versions map[string]int64) {
	if known := r.reports[t.ID]; readAt.Before(known.readAt) {
		return
	}
	if r.reports == nil {
		r.reports = map[string]report{}
	}
	r.reports[t.ID] = report{started: t.Started, readAt: readAt, versions: versions}
}

// Discard removes what a target has reported, because it was wrong. Reports of reads that began before now
// are ignored.
func (r *Reports) Discard(now time.Time, id string) {
	if known, exists := r.reports[id]; exists {
		known.readAt, known.versions = now, nil
		r.reports[id] = known
	}
}

// Of returns a target with the newest version of each listed model: the listed or the reported one.
func (r *Reports) Of(now time.Time, t Target) Target {
	known, exists := r.reports[t.ID]
	if !exists || known.started != t.Started || r.expired(now, &known) {
		return t
	}
	var newer map[string]int64
	for model, version := range t.Versions {
		if reported := known.versions[model]; reported > version {
			if newer == nil {
				newer = maps.Clone(t.Versions)
			}
			newer[model] = reported
		}
	}
	if newer != nil {
		t.Versions = newer
	}
	return t
}

func (r *Reports) expired(now time.Time, known *report) bool {
	return now.Sub(known.readAt) >= r.HoldFor
}

// Ahead reports whether the report about a listed target has a version that is newer than the listed one.
func (r *Reports) Ahead(now time.Time, t Target) bool {
	return !maps.Equal(r.Of(now, t).Versions, t.Versions)
}

// Expired reports whether any report has ceased to count because of its age since the last call of Apply.
func (r *Reports) Expired(now time.Time) bool {
	for _, known := range r.reports {
		if r.expired(now, &known) {
			return true
		}
	}
	return false
}

// Apply returns all listed targets with the newest version of each model, and removes the reports that no
// longer count. It does not change the list that it is given.
func (r *Reports) Apply(now time.Time, listed []Target) []Target {
	if len(r.reports) == 0 {
		return listed
	}
	list := make([]Target, len(listed))
	kept := make(map[string]report, len(r.reports))
	for i, t := range listed {
		list[i] = r.Of(now, t)
		if known, exists := r.reports[t.ID]; exists && known.started == t.Started && !r.expired(now, &known) {
			kept[t.ID] = known
		}
	}
	r.reports = kept
	return list
}

// Clear removes all reports.
func (r *Reports) Clear() { clear(r.reports) }
