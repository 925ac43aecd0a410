// Package work describes what a caller asks for, whatever protocol it came in.
package work

import (
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	Key    string
	Tokens int
}

// Work is one request on its way to a target.
type Work struct {
	// ID names this attempt of the caller.
	ID      string
	Account string
	// Isolated work shares no cache with other client accounts.
	Isolated bool
	Route    *routing.Route
	Service  string
	// ConfigVersion is the version of the configuration that routed it.
	ConfigVersion int64
	Priority      int
	Model         string
	// Parts are the parts of the prompt in order; the last belongs to the
	// request or its session.
	Parts        []Part
	PromptTokens int
	// AnswerTokens bounds the answer.
	AnswerTokens int
	// Fingerprint is the same for the same content of the same account.
	Fingerprint string
	Received    time.Time
	// Deadline is the latest time at which an answer is of use.
	Deadline time.Time
	// LastEventID is the last event the caller has, eventstream.NoID for none.
	LastEventID int64
	// Payload is for the front end and the target client only.
	Payload any
}

// Head is the beginning of a target's answer.
type Head struct {
	Status int
	Header http.Header
}

// Sink takes the answer to one request. Exactly one of Answer, Refuse and Begin
// is called; Event and Abort may follow Begin.
type Sink interface {
	// Answer passes on a whole answer.
	Answer(head Head, body []byte) error
	// Begin passes on the beginning of a stream.
	Begin(head Head) error
	// Event passes on one whole event at once.
	Event(raw []byte) error
	// Refuse tells of a failure of this system's own.
	Refuse(err *failure.Error)
	// Abort breaks the connection off, so that the answer can't look complete.
	Abort()
}
