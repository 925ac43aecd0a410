// Package platform speaks to the platform's services: the transactional table
// service, the object store and the lagging host list.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Row is one row of the table service. Version grows with each write of the
// row; an absent row has version zero.
type Row struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Removed tells in a feed that the row no longer exists.
	Removed bool `json:"removed,omitempty"`
}

// Page is the answer to a reading call.
type Page struct {
	Rows []Row
	// Version is the newest version of the service; a feed goes on from it.
	Version int64
	// More tells that rows were left out at the end.
	More bool
}

// Condition requires a row to have a version at the time of the commit.
// Version zero requires the row to be absent.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces the value of a row, or removes the row when Delete is set.
type Write struct {
	Table  string          `json:"table"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction applies all writes when all conditions hold, or nothing.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Scan selects the rows of a table whose keys start with Prefix and sort
// behind After, at most Limit of them, in the order of their keys.
type Scan struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Host is one row of the platform's host list, which lags behind.
type Host struct {
	Name          string `json:"name"`
	URL           string `json:"url"`
	FailureDomain string `json:"failureDomain"`
	// Kind is "entry" for entry hosts and "target" for targets.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving"`
}

// SharedTable is the table of what the entry hosts tell each other and agree on.
const SharedTable = "shared"

// ErrUnavailable says that the service did not carry out the call.
var ErrUnavailable = errors.New("platform service is unavailable")

// ErrUnknownOutcome says that a write may or may not have taken effect.
var ErrUnknownOutcome = errors.New("outcome of the write is not known")

// ErrHistoryGone says that the changes after a version can't be told any more.
var ErrHistoryGone = errors.New("history is no longer kept")

// ErrNotFound says that the object does not exist.
var ErrNotFound = errors.New("not found")

// ConflictError names the condition of a transaction that did not hold.
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
