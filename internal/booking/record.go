// Package booking runs calls that may not be repeated at most once for each
// idempotency key, over all entry hosts and their failures.
package booking

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/target"
)

// State tells how far an attempt has come.
type State string

// The states of an attempt.
const (
	// StateStarted says that the call may have been sent.
	StateStarted State = "started"
	// StateDone says that the outcome is known and recorded.
	StateDone State = "done"
	// StateNotRun says that the call is known not to have run.
	StateNotRun State = "notRun"
	// StateUnknown says that the call was sent and its answer was lost.
	StateUnknown State = "unknown"
)

// Record is the row of one idempotency key at the table service.
type Record struct {
	State State `json:"state"`
	// Nonce is the random number of the attempt that owns the record.
	Nonce    string               `json:"nonce"`
	BodyHash string               `json:"bodyHash"`
	Host     string               `json:"host"`
	Started  time.Time            `json:"started"`
	Expires  time.Time            `json:"expires"`
	Answer   target.ServiceAnswer `json:"answer,omitzero"`
}

// UnmarshalJSON decodes a record and checks it.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	switch r.State {
	case StateStarted, StateDone, StateNotRun, StateUnknown:
	default:
		return fmt.Errorf("booking record: state %q is not known", r.State)
	}
	if r.Nonce == "" || r.BodyHash == "" {
		return fmt.Errorf("booking record: want nonce and bodyHash")
	}
	return nil
}
