package store

import (
	"encoding/json"
	"fmt"
)

// Cursor is a position in the changes to the commit records of a store host.
type Cursor struct {
	// Incarnation changes when the store host restarts.
	Incarnation int64 `json:"incarnation"`
	// Sequence is the number of the last change read in this incarnation.
	Sequence int64 `json:"sequence"`
}

// Listing contains the commit records written and deleted after a cursor, or all
// commit records if Full is set.
type Listing struct {
	// Cursor is the position after the listing.
	Cursor  Cursor   `json:"cursor"`
	Full    bool     `json:"whole"`
	Commits []Commit `json:"commits"`
	// Removed contains the names of the blocks whose commit records were deleted.
	Removed []string `json:"removed"`
}

// UnmarshalJSON decodes and validates a listing.
func (l *Listing) UnmarshalJSON(data []byte) error {
	type plain Listing
	if err := json.Unmarshal(data, (*plain)(l)); err != nil {
		return err
	}
	if l.Cursor.Incarnation < 1 || l.Cursor.Sequence < 0 {
		return fmt.Errorf("listing of a store host: want a cursor with incarnation and sequence, got %d/%d", l.Cursor.Incarnation, l.Cursor.Sequence)
	}
	return nil
}
