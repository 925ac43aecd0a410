package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
)

// relayAnswer relays a complete answer.
func (r *run) relayAnswer(at *attempt, reply Reply, wd *watchdog) error {
	wd.reset()
	body, err := reply.Body()
	wd.stop()
	long := errors.Is(err, bounded.ErrNoRoom)
	if err != nil && !long {
		return err
	}
	head := reply.Head()
	if r.begun {
		return &BrokenError{Sent: true, Err: fmt.Errorf("the target answered with status %d instead of resuming the stream", head.Status)}
	}
	if head.Status >= http.StatusInternalServerError && (r.alternative.claim() || r.takeRetry()) {
		return &retryableAnswerError{status: head.Status}
	}
	r.g.recordFirstToken(at)
	at.failed = head.Status >= http.StatusInternalServerError
	if long {
		return r.relayUnheld(at, reply, body)
	}
	r.recordDone(at, head.Status)
	r.callerGone(r.sink.Answer(head, body))
	return nil
}

// relayUnheld passes an answer on while it is read, from its beginning, since the host has no room to
// hold it. From then on the request can't be sent again.
func (r *run) relayUnheld(at *attempt, reply Reply, beginning [][]byte) error {
	r.g.count("answers.unheld")
	r.g.Log.Warn().Str("part", "request").Str("requestId", r.work.ID).Str("target", at.target.ID).Str("address", at.target.Address).
		Int("status", reply.Head().Status).Msg("request: no room to hold the answer, it is passed on while it is read")
	if s := r.alternative.end(); s != nil {
		r.alternative.abandon(s)
	}
	r.begun, r.unnumbered = true, true
	head := reply.Head()
	if r.callerGone(r.sink.Begin(head)) {
		return nil
	}
	for _, chunk := range beginning {
		if r.callerGone(r.sink.Event(chunk)) {
			return nil
		}
	}
	buffer := make([]byte, unheldBytes)
	for {
		n, err := reply.ReadRest(buffer)
		if n > 0 && r.callerGone(r.sink.Event(buffer[:n])) {
			return nil
		}
		switch {
		case errors.Is(err, io.EOF):
			r.recordDone(at, head.Status)
			return nil
		case err != nil:
			return err
		}
	}
}

// unheldBytes is the size of the pieces in which an answer is passed on that isn't held.
const unheldBytes = 16 << 10

// relayStream relays the events of a stream, each as soon as it is complete. It
// drops the events that a resumed stream repeats.
func (r *run) relayStream(at *attempt, reply Reply, wd *watchdog) error {
	for {
		event, err := reply.Next()
		if errors.Is(err, io.EOF) {
			if r.begun || r.beginStream(at, reply) {
				r.recordDone(at, http.StatusOK)
				at.answered = at.events >= answeringEvents || reply.Framed()
			}
			return nil
		}
		if err != nil {
			return brokenStream(err)
		}
		if event.ID != eventstream.NoID && event.ID <= r.lastID {
			continue
		}
		wd.pause()
		if !r.alternative.progress(event.ID) {
			return &BrokenError{Sent: true, Err: errSilent}
		}
		if r.unnumbered = event.ID == eventstream.NoID; r.unnumbered {
			wd.stop() // A slow stream is better than one that can't be resumed.
		}
		if !r.begun {
			r.g.recordFirstToken(at)
			if !r.beginStream(at, reply) {
				return nil
			}
		}
		r.recordTokens(at)
		r.recordEvent()
		if event.ID != eventstream.NoID {
			r.lastID = event.ID
		}
		if r.callerGone(r.sink.Event(event.Raw)) {
			return nil
		}
		wd.reset()
	}
}

// brokenStream returns the error of a stream that ended early: its connection was lost, unless the
// reply says otherwise.
func brokenStream(err error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return broken
	}
	return &BrokenError{Sent: true, Lost: true, Err: err}
}

// recordEvent counts an event and measures the pause before it.
func (r *run) recordEvent() {
	now := r.g.Clock.Now()
	if r.events == 0 {
		r.firstEvent = now.Sub(r.work.Received)
		r.g.measure("requests.firstEventMicros", r.firstEvent)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.events++
	r.lastEventAt = now
}

// beginStream sends the beginning of a stream, and returns false if the caller
// has disconnected. From then on, only targets of the same build can go on with it. The host
// that relays a request records where its stream began, since it may have taken the answer of
// another host instead.
func (r *run) beginStream(at *attempt, reply Reply) bool {
	r.begun = true
	if r.g.Builds != nil && r.request.Resumable && r.work.LastEventID == eventstream.NoID && !r.work.Relayed {
		r.g.Builds.Begin(r.work.Service, at.target.Build, r.work.ID)
	}
	r.request.Build = &at.target.Build
	r.alternative.requireBuild(at.target.Build)
	head := reply.Head()
	head.Build = at.target.Build
	return !r.callerGone(r.sink.Begin(head))
}

// callerGone reports whether writing to the caller has failed, and logs it if so.
// This ends the request but counts as no failure of a target or a host.
func (r *run) callerGone(err error) bool {
	if err != nil {
		r.logEnd("callerGone", nil)
	}
	return err != nil
}

// recordDone records a finished request in the metrics, the log and the ledger.
// The ledger counts each event as one answer token. recordDone is called at most
// once per request.
func (r *run) recordDone(at *attempt, status int) {
	at.answered = status < http.StatusBadRequest
	r.g.count("requests.done")
	r.g.measure("requests.wholeMicros", r.g.Clock.Now().Sub(r.work.Received))
	r.logDone(at, status)
	if at.byHost { // The host that placed the request records it.
		return
	}
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
