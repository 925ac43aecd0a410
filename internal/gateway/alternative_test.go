package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// after makes a step begin later, as if the target waited for room before it answers.
func after(delay time.Duration, next step) step {
	return func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
		if call.Written != nil {
			call.Written()
		}
		if clock.Sleep(ctx, clock.System{}, delay) != nil {
			return nil, &gateway.BrokenError{Sent: true, Err: ctx.Err()}
		}
		return next(ctx, call)
	}
}

// A target that is silent for a second and then goes on must not cost its caller the answer.
func TestSilentTargetIsKeptUntilAnotherTakesRequest(t *testing.T) {
	slowStream := pausing(1, 2, 2200*time.Millisecond, 4)
	shortStop := pausing(1, 2, 1200*time.Millisecond, 4)
	for name, test := range map[string]struct {
		kind   routing.Kind
		script []step
		body   string
	}{
		"stream, the other target refuses":             {routing.Stream, []step{slowStream, fails(notRun)}, "1234"},
		"stream, the other one refuses after a while":  {routing.Stream, []step{slowStream, after(100*time.Millisecond, fails(notRun))}, "1234"},
		"stream, the other connection breaks":          {routing.Stream, []step{slowStream, fails(broken)}, "1234"},
		"stream, the other target can't be reached":    {routing.Stream, []step{slowStream, fails(unreachable)}, "1234"},
		"stream, the other target fails":               {routing.Stream, []step{slowStream, answer(http.StatusInternalServerError, "no")}, "1234"},
		"stream, the other target knows no such thing": {routing.Stream, []step{slowStream, answer(http.StatusNotFound, "no")}, "1234"},
		"stream, the other target takes it":            {routing.Stream, []step{slowStream, stream(3, 5, io.EOF)}, "12345"},
		"stream, the other target is slow to begin":    {routing.Stream, []step{silent(1, 2), after(2*time.Second, stream(3, 5, io.EOF))}, "12345"},
		"stream without events, the other one refuses": {routing.Stream, []step{after(1200*time.Millisecond, stream(1, 4, io.EOF)), fails(notRun)}, "1234"},
		"stream, the other one refuses late":           {routing.Stream, []step{shortStop, after(400*time.Millisecond, fails(notRun)), fails(notRun)}, "1234"},
		"stream, all are silent, the others refuse":    {routing.Stream, []step{shortStop, after(time.Second, fails(notRun))}, "1234"},
		"stream, the other one breaks after its head":  {routing.Stream, []step{slowStream, stream(3, 2, broken), fails(notRun)}, "1234"},
		"look-up, the other target refuses late":       {routing.Idempotent, []step{after(1200*time.Millisecond, answer(http.StatusOK, "yes")), after(400*time.Millisecond, fails(notRun)), fails(notRun)}, "yes"},
		"look-up, the silent one refuses at last":      {routing.Idempotent, []step{after(1050*time.Millisecond, fails(notRun)), after(900*time.Millisecond, fails(broken)), answer(http.StatusOK, "yes")}, "yes"},
		"look-up, the other target refuses":            {routing.Idempotent, []step{after(1200*time.Millisecond, answer(http.StatusOK, "yes")), fails(notRun)}, "yes"},
		"look-up, the other target fails":              {routing.Idempotent, []step{after(1200*time.Millisecond, answer(http.StatusOK, "yes")), answer(http.StatusInternalServerError, "no")}, "yes"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFixture(t, test.script...)
				item := request(test.kind, 2)
				item.Route.Resumable = true
				s := f.serve(item)
				if diff := cmp.Diff([]any{test.body, false, true, 1}, []any{s.body, s.aborted, s.refused == nil, len(f.ledger.rows)}); diff != "" {
					t.Errorf("body, aborted, not refused and rows in the ledger after calls to %v (-want +got):\n%s", f.targets.targets(), diff)
				}
			})
		})
	}
}

// A target that answers again before another one has taken the request keeps it.
func TestOtherAttemptEndsWhenSilentTargetAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cancelled := make(chan error, 1)
		other := func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
			call.Written()
			<-ctx.Done()
			cancelled <- context.Cause(ctx)
			return nil, &gateway.BrokenError{Sent: true, Err: ctx.Err()}
		}
		f := newFixture(t, pausing(1, 2, 1900*time.Millisecond, 4), other)
		item := request(routing.Stream, 2)
		item.Route.Resumable = true
		s := f.serve(item)
		if diff := cmp.Diff([]any{"1234", false, 2}, []any{s.body, s.aborted, len(f.targets.calls)}); diff != "" {
			t.Errorf("body, aborted and calls (-want +got):\n%s", diff)
		}
		if cause := <-cancelled; cause == nil {
			t.Error("the other attempt goes on")
		}
	})
}

// A request must not run on two targets for longer than a refusal of the second one takes.
func TestSilentTargetIsLeftOnceAnotherHasRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var left, taken time.Time
		first := func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
			context.AfterFunc(ctx, func() { left = time.Now() })
			return silent(1, 2)(ctx, call)
		}
		second := func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
			taken = time.Now()
			return after(time.Second, stream(3, 4, io.EOF))(ctx, call)
		}
		f := newFixture(t, first, second)
		item := request(routing.Stream, 2)
		item.Route.Resumable = true
		if s := f.serve(item); s.body != "1234" {
			t.Errorf("got %q, want 1234", s.body)
		}
		synctest.Wait()
		if both := left.Sub(taken); both < 0 || both >= 400*time.Millisecond {
			t.Errorf("the request was on both targets for %s, want less than 400 ms", both)
		}
	})
}

// Attempts that nobody has taken must not let a request run on more targets than its route allows.
func TestRequestRunsOnNoMoreTargetsThanItsRouteAllows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, pausing(1, 2, 2200*time.Millisecond, 3), fails(broken))
		item := request(routing.Stream, 2)
		item.Route.Resumable = true
		if s := f.serve(item); s.body != "123" || len(f.targets.calls) != 2 {
			t.Errorf("got %q after calls to %v, want 123 after two", s.body, f.targets.targets())
		}
	})
}

// slowSink is a caller that takes bytes slowly.
type slowSink struct{ fakeSink }

func (s *slowSink) Answer(head work.Head, body [][]byte) error {
	time.Sleep(1500 * time.Millisecond)
	return s.fakeSink.Answer(head, body)
}

func (s *slowSink) Event(raw []byte) error {
	time.Sleep(1500 * time.Millisecond)
	return s.fakeSink.Event(raw)
}

// A caller that takes bytes slowly must not make its target look silent.
func TestSlowCallerIsNoSilenceOfTarget(t *testing.T) {
	for name, test := range map[string]struct {
		kind  routing.Kind
		first step
		body  string
	}{
		"stream":  {routing.Stream, stream(1, 2, io.EOF), "12"},
		"look-up": {routing.Idempotent, answer(http.StatusOK, "yes"), "yes"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFixture(t, test.first, fails(notRun))
				item := request(test.kind, 2)
				item.Route.Resumable = true
				s := &slowSink{}
				f.Serve(context.Background(), item, s)
				if diff := cmp.Diff([]any{test.body, false, 1}, []any{s.body, s.aborted, len(f.targets.calls)}); diff != "" {
					t.Errorf("body, aborted and calls (-want +got):\n%s", diff)
				}
			})
		})
	}
}
