package entry

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// coldRow is a row which states that a target is cold.
type coldRow struct {
	position platform.Position
	// warmAt is when the target is warm, if the row was written when it was first read.
	warmAt time.Time
}

const (
	// staleRowAge is the age above which a process is no longer cold by a row that was found on
	// reading the complete table, beyond the time that the row states. It exceeds the differences
	// between the clocks of hosts and targets.
	staleRowAge = 15 * time.Second
	// maxProcessAge limits the ages of processes that are believed. A larger one follows from a start
	// time that is no time of day.
	maxProcessAge = 365 * 24 * time.Hour
)

// warmAt returns when a target is warm according to its row, or the zero time if it isn't cold. The
// time counts from the first read of the row, since the time of its write isn't known: the target is
// taken to be cold for too long rather than too short a time. tableRead tells whether the row was
// found on reading the complete table. It may then be long out of date, and a host that starts would
// take targets to be cold that have been warm since. A row that is known to be newer is not.
func (h *RoutedHost) warmAt(now time.Time, row platform.Row, t *fleet.Target, tableRead bool) time.Time {
	if t.ColdFor <= 0 {
		delete(h.coldRows, row.Key)
		return time.Time{}
	}
	known, ok := h.coldRows[row.Key]
	if !ok || known.position != row.Position() {
		known = coldRow{position: row.Position(), warmAt: now.Add(t.ColdFor)}
		if tableRead && outdated(now, t) && !h.writtenWithin(row, t.ColdFor) {
			known.warmAt = time.Time{}
		}
		if h.coldRows == nil {
			h.coldRows = map[string]coldRow{}
		}
		h.coldRows[row.Key] = known
	}
	return known.warmAt
}

// writtenWithin reports whether a row is known to have been written within the last d. That is known of rows
// that changed while this host, or the peer that passed them on, followed the table.
func (h *RoutedHost) writtenWithin(row platform.Row, d time.Duration) bool {
	if row.WrittenAfterMillis == 0 {
		return false
	}
	after, known := h.table.ServiceTime(row.Era, row.WrittenAfterMillis)
	return known && h.Steady.Now().Sub(after) < d
}

// outdated reports whether a target started so long ago that its row, which states that it is cold,
// is out of date.
func outdated(now time.Time, t *fleet.Target) bool {
	age := now.Sub(time.UnixMilli(t.Started))
	return t.Started > 0 && age > t.ColdFor+staleRowAge && age < maxProcessAge
}

// forgetColdRows forgets the rows that are missing in the complete table.
func (h *RoutedHost) forgetColdRows(rows []platform.Row) {
	if len(h.coldRows) == 0 {
		return
	}
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	for key := range h.coldRows {
		if !listed[key] {
			delete(h.coldRows, key)
		}
	}
}
