package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// Call is one attempt on one target.
type Call struct {
	Work   *work.Work
	Target fleet.Target
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// Namespace is the text under which the target keeps the parts of the prompt;
	// requests with different texts share nothing.
	Namespace string
	// Version is the version of the weights the target must hold, 0 for any.
	Version  int64
	Priority int
	// Fetch and Save are the addresses from which the target gets the parts of
	// the prompt, and to which it sends them once they are read; empty for parts
	// that don't move. Both are nil when none does.
	Fetch, Save []string
	// FetchEnd is when parts that aren't fetched by then are read instead, in
	// milliseconds on the clock of the targets; 0 for no bound.
	FetchEnd int64
	// After is the event behind which a stream goes on, eventstream.NoID for
	// its beginning.
	After int64
}

// Reply is the answer to a Call. It must be closed.
type Reply interface {
	Head() work.Head
	// Next returns the next event of a stream, io.EOF at its end. Any other
	// error means that the stream isn't whole.
	Next() (eventstream.Event, error)
	// Body returns the complete body, or an error when it isn't whole.
	Body() ([]byte, error)
	// Close ends what is still running.
	Close()
}

// TargetCaller sends calls to targets, each at most once.
type TargetCaller interface {
	// Send returns when the answer begins. Errors are *NotRunError and
	// *BrokenError.
	Send(ctx context.Context, call *Call) (Reply, error)
}

// NotRunError says that a target has not run a request and never will.
type NotRunError struct {
	// Misdirected tells that the target isn't the one that was asked for, or
	// holds other weights.
	Misdirected bool
	// RetryAfter is what the target asks for, 0 for nothing.
	RetryAfter time.Duration
	Status     int
}

// Error describes the refusal.
func (e *NotRunError) Error() string { return fmt.Sprintf("target refused with status %d", e.Status) }

// BrokenError says that no whole answer came.
type BrokenError struct {
	// Sent tells whether any byte of the request may have reached the target.
	Sent bool
	// Lost tells that the connection ended under the request, as it does when
	// the target dies.
	Lost bool
	Err  error
}

// Error describes the cause.
func (e *BrokenError) Error() string {
	if e.Sent {
		return fmt.Sprintf("answer broke off: %v", e.Err)
	}
	return fmt.Sprintf("target can't be reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// errSilent ends an attempt that gives no sign of life.
var errSilent = errors.New("no event for too long")
