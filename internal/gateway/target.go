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

// Call describes one attempt on one target.
type Call struct {
	Work   *work.Work
	Target fleet.Target
	// Remaining is the time left for the target to answer.
	Remaining time.Duration
	// Namespace separates cached prompt parts: targets share parts only between
	// requests with the same namespace.
	Namespace string
	// Version is the version of the weights that the target must have loaded, 0
	// for any.
	Version  int64
	Priority int
	// Fetch contains, for each prompt part, the address from which the target reads
	// the cached part. Save contains the address to which it writes the part after
	// computing it. The address of a part that is not transferred is empty. A slice
	// without any address is nil.
	Fetch, Save []string
	// FetchEnd is the time at which the target stops fetching and computes the
	// missing parts instead, in milliseconds on the clock of the targets; 0 for
	// no limit.
	FetchEnd int64
	// After is the ID of the event after which a stream resumes, or
	// eventstream.NoID to start at its beginning.
	After int64
	// Written is called when the whole call has been written to the target, unless it is nil.
	Written func()
}

// Notice is what an answer of a target says about the target itself.
type Notice struct {
	// Leaving reports that the target is leaving.
	Leaving bool
	// QuietFor is how long the target wants no further calls from this host, 0 if it
	// does not say.
	QuietFor time.Duration
	// ColdFor is how long the target is still cold, 0 if it isn't or does not say.
	ColdFor time.Duration
	// Limited reports that the target limits the requests of all hosts together to Limit
	// per second.
	Limited bool
	Limit   float64
	// Brittle reports that the target can reject no more than RejectLimit requests of all hosts
	// together per second for want of room.
	Brittle     bool
	RejectLimit float64
	// Build is the build of the target that answers, if another host has relayed its answer.
	Build string
}

// Reply is the answer to a Call. It must be closed.
type Reply interface {
	Head() work.Head
	Notice() Notice
	// Next returns the next event of a stream, or io.EOF at its end. Any other
	// error means that the stream is incomplete.
	Next() (eventstream.Event, error)
	// Framed reports whether the answer has an end of its own. Otherwise it ends with its
	// connection, so that an answer which was broken off may seem complete.
	Framed() bool
	// Body returns the complete body in chunks, or an error if it is incomplete. With
	// bounded.ErrNoRoom it returns the beginning, and ReadRest reads the rest.
	Body() ([][]byte, error)
	// ReadRest reads like io.Reader.
	ReadRest(p []byte) (int, error)
	// Close cancels the call if it is still running.
	Close()
}

// TargetCaller sends calls to targets. It sends each call at most once.
type TargetCaller interface {
	// Send returns when the answer begins. Errors are *NotRunError and
	// *BrokenError.
	Send(ctx context.Context, call *Call) (Reply, error)
	// Crashed reports whether the process of a target is gone, since its address refuses
	// connections. A target that can't be reached for another reason may be alive.
	Crashed(ctx context.Context, t fleet.Target) bool
	// Connect opens a connection to a target and closes it.
	Connect(ctx context.Context, t fleet.Target) error
	// CloseIdle closes all idle connections.
	CloseIdle()
}

// NotRunError reports that a target has not run a request and never will.
type NotRunError struct {
	// Misdirected reports whether the target is not the requested one, or has
	// other weights loaded.
	Misdirected bool
	// RetryAfter is the delay before a retry that the target requests, 0 for
	// none.
	RetryAfter time.Duration
	Status     int
	Notice     Notice
}

// Error describes the refusal.
func (e *NotRunError) Error() string { return fmt.Sprintf("target refused with status %d", e.Status) }

// BrokenError reports that a target was not reached or gave no complete and valid
// answer.
type BrokenError struct {
	// Sent reports whether any byte of the request may have reached the target.
	Sent bool
	// Lost reports whether the connection was lost during the request, as it is
	// when the target crashes.
	Lost   bool
	Err    error
	Notice Notice
}

// Error describes the cause.
func (e *BrokenError) Error() string {
	if e.Sent {
		return fmt.Sprintf("answer of target missing, incomplete or invalid: %v", e.Err)
	}
	return fmt.Sprintf("target can't be reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// errSilent is the cause of the cancellation of an attempt whose target is
// silent.
var errSilent = errors.New("no event or answer within the time limit")
