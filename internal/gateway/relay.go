package gateway

import (
	"errors"
	"io"
	"net/http"

	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
)

// whole passes a complete answer on.
func (r *run) whole(at *attempt, reply Reply) error {
	body, err := reply.Body()
	if err != nil {
		return err
	}
	head := reply.Head()
	if head.Status >= http.StatusInternalServerError && r.begun {
		return &BrokenError{Sent: true, Err: errors.New("a target failed to go on with the stream")}
	}
	if head.Status >= http.StatusInternalServerError && r.again() {
		return &failedAnswer{status: head.Status}
	}
	r.g.firstToken(at)
	if head.Status >= http.StatusInternalServerError {
		r.g.outcome(at, true)
	}
	r.done(at, head.Status)
	r.callerGone(r.sink.Answer(head, body))
	return nil
}

// relay passes the events of a stream on, each as soon as it is whole.
func (r *run) relay(at *attempt, reply Reply, dog *watchdog) error {
	for {
		event, err := reply.Next()
		if errors.Is(err, io.EOF) {
			if r.begun || r.begin(reply) {
				r.done(at, http.StatusOK)
			}
			return nil
		}
		if err != nil {
			return &BrokenError{Sent: true, Lost: true, Err: err}
		}
		dog.fed()
		if event.ID != eventstream.NoID && event.ID <= r.after {
			continue
		}
		if !r.begun {
			r.g.firstToken(at)
			if !r.begin(reply) {
				return nil
			}
		}
		r.g.tokens(at)
		r.paced()
		if event.ID != eventstream.NoID {
			r.after = event.ID
		}
		if r.callerGone(r.sink.Event(event.Raw)) {
			return nil
		}
	}
}

// paced counts an event and the pause before it.
func (r *run) paced() {
	now := r.g.Clock.Now()
	if r.events == 0 {
		r.first = now.Sub(r.work.Received)
		r.g.measure("requests.firstEventMicros", r.first)
	} else {
		r.gap = max(r.gap, now.Sub(r.lastEvent))
	}
	r.events++
	r.lastEvent = now
}

// begin passes the beginning of a stream on, and returns false when the caller
// is gone.
func (r *run) begin(reply Reply) bool {
	r.begun = true
	return !r.callerGone(r.sink.Begin(reply.Head()))
}

// callerGone reports whether writing to the caller has failed, which ends the
// request without a fault of anyone here.
func (r *run) callerGone(err error) bool {
	if err != nil {
		r.logEnd("callerGone", nil)
	}
	return err != nil
}

// done counts a finished request once.
func (r *run) done(at *attempt, status int) {
	r.g.count("requests.done")
	r.g.measure("requests.wholeMicros", r.g.Clock.Now().Sub(r.work.Received))
	r.logDone(at, status)
	r.g.Ledger.Add(ledger.Row{
		RequestID:     r.work.ID,
		ClientAccount: r.work.Account,
		Model:         r.work.Model,
		Version:       at.version,
		Target:        at.target.ID,
		PromptTokens:  r.work.PromptTokens,
		AnswerTokens:  r.events,
		ReusedTokens:  at.decision.Chosen.ReusedTokens,
		At:            r.g.Clock.Now(),
	})
}
