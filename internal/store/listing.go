package store

import (
	"encoding/json"
	"fmt"
)

// Cursor is how far the commit records of a store host were read.
type Cursor struct {
	// Incarnation changes when the store host starts anew.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
}

// Listing holds the commit records written and withdrawn behind a cursor, or
// all of them when Whole is set.
type Listing struct {
	Cursor  Cursor   `json:"cursor"`
	Full    bool     `json:"whole"`
	Commits []Commit `json:"commits"`
	Removed []string `json:"removed"`
}

// UnmarshalJSON decodes a listing and checks it.
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
