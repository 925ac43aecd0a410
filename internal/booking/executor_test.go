package booking_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/booking"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/standin"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

// service is a plain service that counts how often the calls of each key ran.
type service struct {
	ran    map[string]int
	number int
}

// callOutcome is the outcome of one call to the service.
type callOutcome int

const (
	callAnswered callOutcome = iota
	callNotReached
	callAnswerLost
	callHostDies
)

// hostDied is the panic value that simulates a host that dies during a call.
type hostDied struct{}

func (s *service) call(key string, outcome callOutcome) (target.ServiceAnswer, error) {
	switch outcome {
	case callNotReached:
		return target.ServiceAnswer{}, failure.NotRun(503, failure.NoTarget, "not reached")
	case callAnswerLost:
		s.run(key)
		return target.ServiceAnswer{}, failure.MaybeRun(failure.MayHaveRun, "answer lost")
	case callHostDies:
		panic(hostDied{})
	case callAnswered:
	}
	return s.run(key), nil
}

func (s *service) run(key string) target.ServiceAnswer {
	s.ran[key]++
	s.number++
	return target.ServiceAnswer{Status: 201, Body: fmt.Appendf(nil, `{"number":%d}`, s.number)}
}

func newExecutors(c *clock.Fake, next func() standin.Outcome, n int) []*booking.Executor {
	platform := standin.NewPlatform(c)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	var executors []*booking.Executor
	for i := range n {
		executors = append(executors, &booking.Executor{
			Host: fmt.Sprintf("host-%d", i), Table: &standin.DirectTable{Platform: platform, Next: next},
			Clock: c, Log: logger, KeepFor: 7 * 24 * time.Hour,
		})
	}
	return executors
}

// book calls Book once and reports whether the host died during the call.
func book(e *booking.Executor, r *booking.Request, s *service, outcome callOutcome) (answer target.ServiceAnswer, died bool, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(hostDied); !ok {
				panic(cause)
			}
			died = true
		}
	}()
	answer, err = e.Book(context.Background(), r, func(context.Context) (target.ServiceAnswer, error) {
		return s.call(r.Key, outcome)
	})
	return answer, false, err
}

// A booking must run at most once for its key, whichever step fails. After an error
// with NotRun set, the call must not have run. Repeated requests must get the same
// answer.
func TestBookingRunsAtMostOnce(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(t *rapid.T) {
		c := &clock.Fake{}
		c.Advance(time.Hour)
		faulty := rapid.SampledFrom([]standin.Outcome{
			standin.Answered, standin.Answered, standin.Answered, standin.Refused, standin.AnswerLost, standin.RequestLost,
		})
		executors := newExecutors(c, func() standin.Outcome { return faulty.Draw(t, "table") }, 3)
		s := &service{ran: map[string]int{}}
		answers := map[string]string{}
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			steps++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			executor := rapid.SampledFrom(executors).Draw(t, "host")
			outcome := rapid.SampledFrom([]callOutcome{callAnswered, callNotReached, callAnswerLost, callHostDies}).Draw(t, "call")
			before := s.ran[key]
			answer, died, err := book(executor, &booking.Request{Account: "orders", Service: "docks", Key: key, Content: []byte("body")}, s, outcome)
			_ = executor.Drain(context.Background())
			if s.ran[key] > 1 {
				t.Fatalf("key %s ran %d times", key, s.ran[key])
			}
			if died {
				continue
			}
			if err != nil && failure.From(err).NotRun && s.ran[key] != before {
				t.Fatalf("key %s ran, but the error says that it did not: %v", key, err)
			}
			if err != nil {
				continue
			}
			if previous, ok := answers[key]; ok && previous != string(answer.Body) {
				t.Fatal(cmp.Diff(previous, string(answer.Body)))
			}
			answers[key] = string(answer.Body)
		}
	})
}

func TestBookingOutcomes(t *testing.T) {
	c := &clock.Fake{}
	executors := newExecutors(c, nil, 2)
	s := &service{ran: map[string]int{}}
	request := func(key, body string) *booking.Request {
		return &booking.Request{Account: "orders", Service: "docks", Key: key, Content: []byte(body)}
	}
	steps := []struct {
		name    string
		host    int
		request *booking.Request
		call    callOutcome
		want    string
		code    failure.Code
		notRun  bool
	}{
		{name: "first", request: request("a", "x"), want: `{"number":1}`},
		{name: "again on another host", host: 1, request: request("a", "x"), want: `{"number":1}`},
		{name: "another body", request: request("a", "y"), code: failure.KeyReused, notRun: true},
		{name: "not reached", request: request("b", "x"), call: callNotReached, code: failure.NoTarget, notRun: true},
		{name: "not reached, again", host: 1, request: request("b", "x"), want: `{"number":2}`},
		{name: "answer lost", request: request("c", "x"), call: callAnswerLost, code: failure.MayHaveRun},
		{name: "answer lost, again", host: 1, request: request("c", "x"), code: failure.MayHaveRun},
		{name: "host dies", request: request("d", "x"), call: callHostDies},
		{name: "host dies, again", host: 1, request: request("d", "x"), code: failure.MayHaveRun},
	}
	for _, step := range steps {
		answer, died, err := book(executors[step.host], step.request, s, step.call)
		if died {
			continue
		}
		if diff := cmp.Diff(step.want, string(answer.Body)); diff != "" {
			t.Errorf("%s: answer (-want +got):\n%s", step.name, diff)
		}
		if step.code == "" {
			continue
		}
		got := failure.From(err)
		if got.Code != step.code || got.NotRun != step.notRun {
			t.Errorf("%s: got %s, not run %t; want %s, %t", step.name, got.Code, got.NotRun, step.code, step.notRun)
		}
	}
}

// Purge must delete expired records and no others.
func TestPurge(t *testing.T) {
	c := &clock.Fake{}
	c.Advance(time.Hour)
	executors := newExecutors(c, nil, 1)
	s := &service{ran: map[string]int{}}
	ctx := context.Background()
	if _, _, err := book(executors[0], &booking.Request{Account: "orders", Service: "docks", Key: "old"}, s, callAnswered); err != nil {
		t.Fatal(err)
	}
	c.Advance(executors[0].KeepFor)
	if _, _, err := book(executors[0], &booking.Request{Account: "orders", Service: "docks", Key: "new"}, s, callAnswered); err != nil {
		t.Fatal(err)
	}
	c.Advance(time.Hour)
	if err := executors[0].Purge(ctx); err != nil {
		t.Fatal(err)
	}
	rows, err := executors[0].Table.Scan(ctx, platform.Scan{Table: "booking"})
	if err != nil || len(rows) != 1 {
		t.Errorf("got %d records, error %v; want only the unexpired one", len(rows), err)
	}
}

// BenchmarkBookings measures the calls to the table service per booking.
func BenchmarkBookings(b *testing.B) {
	c := &clock.Fake{}
	standinPlatform := standin.NewPlatform(c)
	executor := &booking.Executor{Host: "one", Table: &standin.DirectTable{Platform: standinPlatform}, Clock: c, KeepFor: time.Hour}
	s := &service{ran: map[string]int{}}
	for i := range b.N {
		if _, _, err := book(executor, &booking.Request{Account: "orders", Service: "docks", Key: fmt.Sprint(i)}, s, callAnswered); err != nil {
			b.Fatal(err)
		}
	}
	reads, commits := standinPlatform.Counts()
	b.ReportMetric(100*float64(commits)/float64(b.N), "commits/100-bookings")
	b.ReportMetric(100*float64(reads)/float64(b.N), "reads/100-bookings")
}
