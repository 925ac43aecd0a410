// Package platform is the client of the platform's services: the transactional
// table service, the object store and the host list, which lags behind.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Row is one row of the table service. Version increases with each write of the
// row; an absent row has version zero. In a service with feeds, versions also increase
// from row to row: of two rows, the one written later has the higher version.
type Row struct {
	Table string `json:"table"`
	// Partition is empty for most tables.
	Partition string          `json:"partition,omitempty"`
	Key       string          `json:"key"`
	Version   int64           `json:"version"`
	Value     json.RawMessage `json:"value"`
	// Era is the era of the service in which the row was read, see Position.
	Era int64 `json:"era,omitempty"`
	// Removed is set in a feed for a row that no longer exists.
	Removed bool `json:"removed,omitempty"`
	// WrittenAfterMillis is a time on the clock of the service in this era, see
	// Client.ServiceTime. The row was written after it, or while the service was unavailable
	// to the host that read it. It is 0 if no such time is known, as for the rows that a
	// Follower reads first. A Follower sets it.
	WrittenAfterMillis int64 `json:"writtenAfterMillis,omitempty"`
	// SeenMillis is the clock of the service at the answer with which the first host, as far as is
	// known, received this version of the row. It is 0 if no host has received it as a change, or
	// if a host of a build before this field has passed it on. A Follower sets it.
	SeenMillis int64 `json:"seenMillis,omitempty"`
}

// Position returns the position of the row in the history of its table.
func (r *Row) Position() Position { return Position{Era: r.Era, Version: r.Version} }

// Position is a position in the history of the service. When the service is restored
// from an older copy, a new era begins, versions go back and are given out again. Only
// versions of the same era can be compared.
type Position struct {
	Era     int64
	Version int64
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Version > q.Version
}

// CopyState describes a copy of a table.
type CopyState struct {
	// Position is that of the newest row up to which the copy is complete.
	Position
	// Age is the time since the time up to which the copy includes every change. It is only valid
	// if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
}

// Page is the answer to a call that reads rows.
type Page struct {
	Rows []Row
	// Version is the highest version of the service. A feed continues from it.
	Version int64
	// Era is the era of the service, see Position.
	Era int64
	// ClockMillis is the steady clock of the service when it answered, 0 if the answer
	// doesn't state it.
	ClockMillis int64
	// CompleteAt is a time up to which the rows include every change, on the clock Client.Steady.
	// It is the time of the answer, or earlier by at most the duration of the call; that of the
	// copy of a peer is earlier by its age. It is zero if it isn't known.
	CompleteAt time.Time
	// Whole reports that Rows is the complete table. It is set by peers only.
	Whole bool
	// More reports that further rows follow this page.
	More bool
}

// completeAtLeast sets CompleteAt to the time at which the call was sent, unless it is known.
func (p *Page) completeAtLeast(sentAt time.Time) {
	if p.CompleteAt.IsZero() {
		p.CompleteAt = sentAt
	}
}

// Condition requires a row to have a certain version at the time of the commit.
// Version zero requires the row to be absent.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces the value of a row, or removes the row when Delete is set.
type Write struct {
	Table string `json:"table"`
	// Partition must be the same in all writes of a transaction, and empty if it has conditions.
	Partition string          `json:"partition,omitempty"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value,omitempty"`
	Delete    bool            `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions are met, otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Scan selects at most Limit rows of a partition of a table, in key order, whose keys start with
// Prefix and sort after After.
type Scan struct {
	Table     string `json:"table"`
	Partition string `json:"partition,omitempty"`
	Prefix    string `json:"prefix"`
	After     string `json:"after"`
	Limit     int    `json:"limit"`
}

// Host is one entry of the platform's host list, which lags behind.
type Host struct {
	Name          string `json:"name"`
	URL           string `json:"url"`
	FailureDomain string `json:"failureDomain"`
	// Kind is "entry" for entry hosts and "target" for targets.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving"`
	// Capacity is the weight with which an entry host owns shards of engines. 0 counts as 1, as for a
	// host of a build before this field.
	Capacity float64 `json:"capacity,omitempty"`
}

// SharedTable is the table through which the entry hosts coordinate.
const SharedTable = "shared"

// ErrUnavailable is returned when a call to a service had no effect or got no usable
// answer: the service failed or refused it, or this host did not send it because of
// the rate limit or the breaker. A transaction that may have been applied returns
// ErrUnknownOutcome instead. A call to the object store or the host list that gets no
// answer returns the error of the HTTP client instead.
var ErrUnavailable = errors.New("platform call failed")

// ErrUnknownOutcome is returned when a transaction may or may not have been applied.
var ErrUnknownOutcome = errors.New("outcome of the write is unknown")

// ErrHistoryGone is returned by a feed when the service no longer has all changes
// after the given version.
var ErrHistoryGone = errors.New("history of changes has been discarded")

// ErrPeerBusy is returned by a peer that has rows but sends others to as many hosts as it may now.
var ErrPeerBusy = errors.New("peer is busy sending rows")

// ErrNotFound is returned when an object does not exist.
var ErrNotFound = errors.New("not found")

// ConflictError is returned when a condition of a transaction was not met.
type ConflictError struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Wanted  int64  `json:"wanted"`
	Current int64  `json:"current"`
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s has version %d, want %d", e.Table, e.Key, e.Current, e.Wanted)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
