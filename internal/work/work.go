// Package work describes the requests of callers independently of the protocol in
// which they were received.
package work

import (
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// Part is a section of a prompt that other prompts may share.
type Part struct {
	Key    string
	Tokens int
}

// Work is one request of a caller.
type Work struct {
	// ID is the request ID that the caller sent. A retry by the caller has another
	// ID.
	ID      string
	Account string
	// Cache is the cache of the account by the configuration of the host that received the request,
	// if this host places it for that one. Otherwise it is empty.
	Cache   string
	Route   *routing.Route
	Service string
	// ConfigVersion is the version of the configuration that chose Route.
	ConfigVersion int64
	// Priority is 0 for the most urgent requests.
	Priority int
	Model    string
	// Parts lists the parts of the prompt in order. The last part is specific to
	// the request or its session.
	Parts        []Part
	PromptTokens int
	// AnswerTokens is the maximum length of the answer.
	AnswerTokens int
	// Fingerprint identifies the content of the request within its account.
	Fingerprint string
	Received    time.Time
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller has received,
	// eventstream.NoID for none.
	LastEventID int64
	// Origin is the ID of the request by which the caller received the first event of the
	// stream that it resumes, empty if it doesn't say.
	Origin string
	// Relayed is set if another host relays the request because it can't reach the targets.
	// Build is then the build that began the stream which the request resumes, nil if it
	// resumes none.
	Relayed bool
	Build   *string
	// Payload is data that the ingress passes to the target client. The gateway does
	// not read it.
	Payload any
}

// Head is the status and the header of an answer of a target.
type Head struct {
	Status int
	Header http.Header
	// Build is the build of the target, for streams only.
	Build string
}

// Sink receives the answer to one request. At most one of Answer, Refuse and Begin
// is called. Event may be called after Begin. Abort may be called after Begin, or
// alone if the caller disconnects before any other call. After an error of Answer,
// Begin or Event, no further method is called.
type Sink interface {
	// Answer sends a complete answer, whose body is given in chunks, to the caller.
	Answer(head Head, body [][]byte) error
	// Begin sends the head of a stream to the caller, or of an answer that is too long to be held.
	Begin(head Head) error
	// Event sends one complete event, or the next bytes of an answer, to the caller immediately.
	Event(raw []byte) error
	// Refuse sends a failure of this system, as opposed to an answer of a target.
	Refuse(err *failure.Error)
	// Abort closes the connection so that the caller cannot take the answer for
	// complete.
	Abort()
}
