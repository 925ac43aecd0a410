// Package booking runs non-idempotent calls at most once per idempotency key, across
// all entry hosts and their failures.
package booking

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/target"
)

// State is the progress of an attempt.
type State string

// The states of an attempt.
const (
	// StateStarted means that the call may have been sent.
	StateStarted State = "started"
	// StateDone means that the answer is recorded.
	StateDone State = "done"
	// StateNotRun means that the call is known not to have run.
	StateNotRun State = "notRun"
	// StateUnknown means that the call was sent and its answer was lost.
	StateUnknown State = "unknown"
)

// Record is the row of one idempotency key in the table service.
type Record struct {
	State State `json:"state"`
	// Nonce is the random identifier of the attempt that wrote the record.
	Nonce       string               `json:"nonce"`
	ContentHash string               `json:"bodyHash"`
	Host        string               `json:"host"`
	Started     time.Time            `json:"started"`
	Expires     time.Time            `json:"expires"`
	Answer      target.ServiceAnswer `json:"answer,omitzero"`
}

// UnmarshalJSON decodes and validates a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	switch r.State {
	case StateStarted, StateDone, StateNotRun, StateUnknown:
	default:
		return fmt.Errorf("booking record: unknown state %q", r.State)
	}
	if r.Nonce == "" || r.ContentHash == "" {
		return fmt.Errorf("booking record: want nonce and bodyHash")
	}
	return nil
}
