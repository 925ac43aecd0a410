package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// silentTargets never answer.
type silentTargets struct{ TargetCaller }

func (silentTargets) Send(ctx context.Context, _ *Call) (Reply, error) {
	<-ctx.Done()
	return nil, &BrokenError{Sent: true, Err: ctx.Err()}
}

type discardedRows struct{ LedgerWriter }

func (discardedRows) Add(ledger.Row) {}

// beginStream returns the alternative of a stream whose target has sent three events and was then
// silent for longer than a sound one is. Another target is free.
func beginStream(t *testing.T) *alternative {
	t.Helper()
	g, _, _ := newStoreGateway(t)
	g.Clock, g.Steady, g.Targets, g.Ledger = clock.System{}, clock.System{}, silentTargets{}, discardedRows{}
	g.Fleet.Put(fleet.Target{ID: "e2", Service: "loom", Address: "10.0.0.2:1", Slots: 16, Versions: map[string]int64{"m": 1}})
	g.TargetsChanged()
	w := storeWork("w1")
	w.Route.Attempts, w.Route.Resumable, w.Deadline = 2, true, time.Now().Add(time.Minute)
	r := &run{g: g, work: w, lastID: w.LastEventID, request: g.placementRequest(w), keys: suspectKeys(w)}
	at := g.place(w)
	if at == nil {
		t.Fatal("no target")
	}
	a := r.newAlternative(t.Context(), at)
	for id := range int64(3) {
		a.progress(id + 1)
	}
	time.Sleep(soundSilence)
	return a
}

func TestEventDuringCheckKeepsTarget(t *testing.T) {
	for name, test := range map[string]struct {
		events []int64
		asked  bool
	}{
		"no event":         {nil, true},
		"next event":       {[]int64{4}, false},
		"event without ID": {[]int64{eventstream.NoID}, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				a := beginStream(t)
				if left := a.patience(); left > 0 {
					t.Fatalf("the target may be silent for %s more", left)
				}
				for _, id := range test.events {
					a.progress(id)
				}
				s := a.send()
				if diff := cmp.Diff(test.asked, s != nil); diff != "" {
					t.Errorf("another target is asked (-want +got):\n%s", diff)
				}
				if s != nil {
					a.abandon(s)
				}
			})
		})
	}
}

func TestStreamIsNotResumedAfterEventWithoutID(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a := beginStream(t)
		a.progress(eventstream.NoID)
		time.Sleep(2 * soundSilence)
		if s := a.send(); s != nil {
			t.Errorf("target %s is asked to go on after event %d, which isn't the last one that the caller has", s.at.target.ID, a.after)
			a.abandon(s)
		}
	})
}

// answeringReply is a whole answer.
type answeringReply struct {
	Reply

	status int
}

func (r answeringReply) Head() work.Head         { return work.Head{Status: r.status} }
func (r answeringReply) Body() ([][]byte, error) { return [][]byte{[]byte("the target's answer")}, nil }

// answeredSink records the status of an answer.
type answeredSink struct {
	work.Sink

	status int
}

func (s *answeredSink) Answer(head work.Head, _ [][]byte) error {
	s.status = head.Status
	return nil
}

func TestAnswerIsNotGivenUpForRefusal(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a := beginStream(t)
		s := a.send()
		if s == nil {
			t.Fatal("no other target is asked")
		}
		refused := &sending{at: s.at, ctx: s.ctx, cancel: s.cancel, done: make(chan struct{}), err: &NotRunError{Status: http.StatusServiceUnavailable}}
		close(refused.done)
		a.sent = refused
		w := a.work
		w.Route.Attempts = 1
		sink := &answeredSink{}
		r := &run{g: a.g, work: w, sink: sink, alternative: a, possibleRuns: 1}
		wd := newWatchdog(a.g.Clock, 0, nil)
		_ = r.relayAnswer(a.present, answeringReply{status: http.StatusInternalServerError}, wd)
		if diff := cmp.Diff(http.StatusInternalServerError, sink.status); diff != "" {
			t.Errorf("status of the answer (-want +got):\n%s", diff)
		}
		a.abandon(refused)
	})
}

// passingContext passes its deadline when it is asked for its error after passing is set.
type passingContext struct {
	context.Context

	end     context.CancelFunc
	passing atomic.Bool
}

func (c *passingContext) Err() error {
	if c.passing.Load() {
		c.end()
	}
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// failingTargets fail the first call after a silence, and don't answer the others.
type failingTargets struct {
	TargetCaller

	calls atomic.Int64
	fail  func() error
}

func (f *failingTargets) Send(ctx context.Context, call *Call) (Reply, error) {
	if f.calls.Add(1) == 1 {
		time.Sleep(time.Second)
		return nil, f.fail()
	}
	return silentTargets{}.Send(ctx, call)
}

// refusedSink records a failure of a request.
type refusedSink struct {
	work.Sink

	refused *failure.Error
}

func (s *refusedSink) Refuse(err *failure.Error) { s.refused = err }

func TestRunOfOtherTargetIsCountedAtDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		runs int
	}{
		"unreachable": {&BrokenError{Err: errors.New("no connection")}, 1},
		"refused":     {&NotRunError{Status: http.StatusServiceUnavailable}, 1},
		"misdirected": {&NotRunError{Status: http.StatusMisdirectedRequest, Misdirected: true}, 1},
		"broken":      {&BrokenError{Sent: true, Err: errors.New("no answer")}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				inner, end := context.WithTimeout(t.Context(), time.Minute)
				ctx := &passingContext{Context: inner, end: end}
				targets := &failingTargets{fail: func() error {
					ctx.passing.Store(true)
					return test.err
				}}
				g, _, _ := newStoreGateway(t)
				g.Clock, g.Steady, g.Targets = clock.System{}, clock.System{}, targets
				g.Fleet.Put(fleet.Target{ID: "e2", Service: "loom", Address: "10.0.0.2:1", Slots: 16, Versions: map[string]int64{"m": 1}})
				g.TargetsChanged()
				w := storeWork("w1")
				w.Route = &routing.Route{Kind: routing.Idempotent, Attempts: 2, Goal: 100 * time.Millisecond}
				w.Received, w.Deadline = time.Now(), time.Now().Add(time.Minute)
				sink := &refusedSink{}
				r := &run{g: g, work: w, sink: sink, lastID: w.LastEventID, request: g.placementRequest(w), keys: suspectKeys(w)}
				r.runAttempts(ctx)
				if sink.refused == nil {
					t.Fatal("the request has not failed")
				}
				want := []any{int64(2), http.StatusGatewayTimeout, false, test.runs, 0}
				got := []any{targets.calls.Load(), sink.refused.Status, sink.refused.NotRun, r.possibleRuns, len(g.avoidFactors)}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("calls, status, not run, possible runs and targets to avoid (-want +got):\n%s", diff)
				}
			})
		})
	}
}
