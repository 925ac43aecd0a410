package store

import (
	"encoding/json"
	"fmt"
)

// Cursor is a position in the commit records of a store host.
type Cursor struct {
	// Incarnation changes when the store host restarts.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
}

// Listing contains the commit records written and withdrawn after a cursor, or all
// commit records if Full is set.
type Listing struct {
	Cursor  Cursor   `json:"cursor"`
	Full    bool     `json:"whole"`
	Commits []Commit `json:"commits"`
	Removed []string `json:"removed"`
}

// UnmarshalJSON decodes and validates a listing.
func (l *Listing) UnmarshalJSON(data []byte) error {
	type plain Listing
	if err := json.Unmarshal(data, (*plain)(l)); err != nil {
		return err
	}
	if l.Cursor.Incarnation < 1 || l.Cursor.Sequence < 0 {
		return fmt.Errorf("listing of a store host: want a cursor, got %d/%d", l.Cursor.Incarnation, l.Cursor.Sequence)
	}
	return nil
}
