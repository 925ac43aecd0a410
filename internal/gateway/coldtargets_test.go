package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

const (
	coldFor = 3 * time.Second
	// coldPlay ends before the requests that wait for a target could meet a warm one.
	coldPlay = coldFor - 100*time.Millisecond
	// coldPerSecond is the rate of cold targets in these tests. With the burst of 5 and the factor
	// of 1.5, all hosts together may send a cold target 26 requests in a second, and one group of
	// hosts half of that.
	coldPerSecond = 14
	mostInSecond  = 26
)

// newColdFixture returns a gateway whose services state the rate of their cold targets.
func newColdFixture(t *testing.T, script ...step) *fixture {
	t.Helper()
	f := newFixture(t, script...)
	f.Config.ColdTargets = config.ColdTargets{BurstFactor: 1.5, Burst: 5}
	f.setColdRate(2, coldPerSecond)
	return f
}

// setColdRate applies a configuration with a rate of cold targets.
func (f *fixture) setColdRate(version int64, perSecond float64) {
	services := map[string]routing.Service{}
	for name, s := range f.Routes().Services {
		s.ColdFor, s.ColdPerSecond = coldFor, perSecond
		services[name] = s
	}
	f.SetRoutes(&routing.Config{Version: version, Services: services})
}

// put changes targets of the list.
func (f *fixture) put(change func(t *fleet.Target), ids ...string) {
	for _, id := range ids {
		t, _ := f.Fleet.Find(id)
		change(&t)
		f.Fleet.Put(t)
	}
	f.TargetsChanged()
}

// setCold makes targets cold until a time, or warm for the zero time.
func (f *fixture) setCold(until time.Time, ids ...string) {
	f.put(func(t *fleet.Target) { t.WarmAt = until }, ids...)
}

// arrivals records when each target gets requests.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

// record passes calls to another step and records them.
func (a *arrivals) record(next step) step {
	return func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
		a.mu.Lock()
		if a.times == nil {
			a.times = map[string][]time.Time{}
		}
		a.times[call.Target.ID] = append(a.times[call.Target.ID], time.Now())
		a.mu.Unlock()
		return next(ctx, call)
	}
}

// highest returns the largest number of requests that a target got in any second since a time.
func (a *arrivals) highest(target string, since time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	times := slices.DeleteFunc(slices.Clone(a.times[target]), func(at time.Time) bool { return at.Before(since) })
	for i, at := range times {
		first, _ := slices.BinarySearchFunc(times, at.Add(-time.Second), func(a, b time.Time) int { return a.Compare(b) })
		most = max(most, i+1-first)
	}
	return most
}

func (a *arrivals) number(target string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.times[target])
}

// flood sends requests to hosts in turn, 200 a second for a time, and returns the refusals.
func flood(hosts []*fixture, d time.Duration, kind routing.Kind, attempts int) (refused []*fakeSink) {
	var mu sync.Mutex
	var sent sync.WaitGroup
	for i := range int(d / (5 * time.Millisecond)) {
		time.Sleep(5 * time.Millisecond)
		sent.Go(func() {
			w := request(kind, attempts)
			w.ID = fmt.Sprint("r", i)
			if s := hosts[i%len(hosts)].serve(w); s.refused != nil {
				mu.Lock()
				refused = append(refused, s)
				mu.Unlock()
			}
		})
	}
	sent.Wait()
	time.Sleep(time.Millisecond) // What follows is later than the last request.
	return refused
}

// checkHighest fails the test if the targets of the plain service got fewer or more requests in a
// second than wanted.
func (a *arrivals) checkHighest(t *testing.T, since time.Time, least, most int) {
	t.Helper()
	for _, id := range []string{"d1", "d2", "d3"} {
		if n := a.highest(id, since); n < least || n > most {
			t.Errorf("%s: %d requests in a second, want %d to %d", id, n, least, most)
		}
	}
}

// A service gets far more requests than its cold targets take. Each must get no more than it takes
// from all hosts, and what can't be served must be refused as not run. Warm ones take all.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.setCold(time.Now().Add(coldFor), "d1", "d2", "d3")
		refused := flood([]*fixture{f}, coldPlay, routing.NonIdempotent, 1)
		got.checkHighest(t, time.Time{}, mostInSecond/4, mostInSecond/2)
		for _, s := range refused {
			if !s.refused.NotRun || s.refused.Status != http.StatusServiceUnavailable || s.refused.RetryAfter <= 0 {
				t.Fatalf("got %+v, want a refusal with status 503 as not run, and a delay", s.refused)
			}
		}
		if f.counter("targets.coldDeferred") == 0 || len(refused) == 0 || f.gauge("targets.cold") != 3 {
			t.Errorf("%d refusals, %d placements counted as deferred, %d cold targets, want some, some and 3", len(refused), f.counter("targets.coldDeferred"), f.gauge("targets.cold"))
		}
		time.Sleep(2 * coldInterval)
		begin := time.Now()
		if refused := flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1); len(refused) > 0 {
			t.Errorf("%d refusals when the targets are warm, want none", len(refused))
		}
		got.checkHighest(t, begin, mostInSecond, 200)
		if n := f.gauge("targets.cold"); n != 0 {
			t.Errorf("%d cold targets in the metrics after they are warm, want 0", n)
		}
	})
}

// Cold targets of a service that doesn't state what they take must be used like any other, and be
// counted. It is what overloads them.
func TestColdTargetsWithoutRateAreUsed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.setColdRate(3, 0)
		f.setCold(time.Now().Add(coldFor), "d1", "d2", "d3")
		refused := flood([]*fixture{f}, coldPlay, routing.NonIdempotent, 1)
		got.checkHighest(t, time.Time{}, mostInSecond+1, 200)
		if n := f.counter("targets.coldUnlimited"); n != 3 || len(refused) > 0 {
			t.Errorf("%d targets counted as cold without a rate, %d refusals, want 3 and none", n, len(refused))
		}
	})
}

// Cold targets of a service that states a rate of 0 were used like any other.
func TestColdTargetsThatTakeNothingGetNoRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		cfg := *f.Routes()
		cfg.Version++
		cfg.Services = maps.Clone(cfg.Services)
		cfg.Services[docks] = routing.Service{Name: docks, ColdFor: coldFor, ColdClosed: true}
		cfg.Index()
		f.SetRoutes(&cfg)
		f.setCold(time.Now().Add(coldFor), "d1", "d2")
		if refused := flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1); len(refused) > 0 || got.number("d1")+got.number("d2") > 0 {
			t.Errorf("%d refusals, %d and %d requests to the cold targets beside a warm one, want none", len(refused), got.number("d1"), got.number("d2"))
		}
		f.setCold(time.Now().Add(coldFor), "d3")
		time.Sleep(time.Millisecond)
		before := got.number("d3")
		w := request(routing.NonIdempotent, 1)
		if s := f.serve(w); s.refused == nil || !s.refused.NotRun || s.refused.RetryAfter <= 0 || got.number("d3") != before {
			t.Errorf("got refusal %+v, want one as not run with a delay, while all targets are cold", s.refused)
		}
		time.Sleep(coldFor + coldInterval)
		if refused := flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1); len(refused) > 0 || got.number("d1") == 0 {
			t.Errorf("%d refusals, %d requests to a target that was cold, want none and some", len(refused), got.number("d1"))
		}
	})
}

// coldInterval is longer than the interval at which a gateway looks for targets that are warm.
const coldInterval = 150 * time.Millisecond

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.Metrics).Count()
}

func (f *fixture) gauge(name string) int64 {
	if g, ok := f.Metrics.Get(name).(metrics.Gauge); ok {
		return g.Value()
	}
	return -1
}

// Several hosts must keep to the rate together, if they agree on how many they are and if two parts of
// them know only their own hosts.
func TestHostsTogetherDontOverloadColdTarget(t *testing.T) {
	for name, parts := range map[string]int{"one group": 1, "two parts": 2} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const n = 8
				var got arrivals
				var hosts []*fixture
				for i := range n {
					f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
					f.KnownHosts = func() (int, bool) { return n / parts, true }
					f.KnownRank = func(string) int { return i % (n / parts) }
					hosts = append(hosts, f)
				}
				flood(hosts, 2500*time.Millisecond, routing.NonIdempotent, 1) // They settle.
				begin := time.Now()
				for _, f := range hosts {
					f.setCold(begin.Add(coldFor), "d1", "d2", "d3")
				}
				flood(hosts, coldPlay, routing.NonIdempotent, 1)
				got.checkHighest(t, begin, 1, mostInSecond*parts/2)
			})
		})
	}
}

// A cold target must not be used while a warm one is free.
func TestColdTargetIsNotUsedWhileWarmOneIsFree(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.setCold(time.Now().Add(10*time.Second), "d1", "d2")
		flood([]*fixture{f}, 2*time.Second, routing.NonIdempotent, 1)
		if got.number("d1")+got.number("d2") > 0 || got.number("d3") == 0 {
			t.Errorf("requests to the cold targets: %d and %d, to the warm one: %d, want all to the warm one", got.number("d1"), got.number("d2"), got.number("d3"))
		}
	})
}

// Retries, and requests that are sent to another target while the first one is silent, must count
// towards the rate of a cold target.
func TestRetriesAndAlternativesCountForColdTargets(t *testing.T) {
	for name, failing := range map[string]step{
		"refusals":    fails(&gateway.NotRunError{Status: http.StatusServiceUnavailable}),
		"unreachable": fails(&gateway.BrokenError{Err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}}),
		"silence": func(ctx context.Context, _ *gateway.Call) (gateway.Reply, error) {
			<-ctx.Done()
			return nil, &gateway.BrokenError{Sent: true, Err: ctx.Err()}
		},
		"failures": answer(http.StatusInternalServerError, "no"),
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var got arrivals
				f := newColdFixture(t, got.record(failing))
				f.Config.Retries.BudgetPercent, f.Config.Retries.Reserve = 100, 1e6
				f.setCold(time.Now().Add(5*time.Second), "d1", "d2", "d3")
				tried := map[string]int{}
				f.Log = &log.Logger{Level: log.InfoLevel, Writer: &placements{attempts: tried}}
				flood([]*fixture{f}, 4*time.Second, routing.Idempotent, 4)
				got.checkHighest(t, time.Time{}, 1, mostInSecond/2)
				if most := slices.Max(slices.Collect(maps.Values(tried))); most < 2 {
					t.Error("no request was tried twice, the test shows nothing")
				}
			})
		})
	}
}

// A target may become cold at any moment, as another process or the same one. From then on it must
// get no more than a cold target takes, also if the list of targets has changed and has not been
// applied yet.
func TestTargetBecomesColdWhileItIsUsed(t *testing.T) {
	for name, change := range map[string]func(t *fleet.Target){
		"the same process": func(*fleet.Target) {},
		"another process":  func(t *fleet.Target) { t.Started++ },
	} {
		for _, applied := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/", applied), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					var got arrivals
					f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
					flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1)
					begin := time.Now()
					for _, id := range []string{"d1", "d2", "d3"} {
						target, _ := f.Fleet.Find(id)
						change(&target)
						target.WarmAt = begin.Add(coldFor)
						f.Fleet.Put(target)
					}
					if applied {
						f.TargetsChanged()
					}
					flood([]*fixture{f}, coldPlay, routing.NonIdempotent, 1)
					got.checkHighest(t, begin, 1, mostInSecond/2)
				})
			})
		}
	}
}

// A process that is gone is followed by one that is cold, which may be reached before its row is
// known: when its address has refused a connection, or when it has crashed. The row of another
// process that is warm ends that.
func TestTargetWhoseProcessIsGoneIsTakenToBeCold(t *testing.T) {
	for name, gone := range map[string]error{
		"connection refused": &gateway.BrokenError{Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}},
		"crash":              &gateway.BrokenError{Sent: true, Lost: true, Err: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var got arrivals
				f := newColdFixture(t, fails(gone), got.record(answer(http.StatusOK, "yes")))
				f.put(func(t *fleet.Target) { t.Leaving = true }, "d2", "d3")
				f.serve(request(routing.NonIdempotent, 1))
				flood([]*fixture{f}, 4*time.Second, routing.NonIdempotent, 1)
				if n := got.highest("d1", time.Time{}); n == 0 || n > mostInSecond/2 {
					t.Errorf("%d requests in a second to the process that may be new, want some and at most %d", n, mostInSecond/2)
				}
				f.put(func(t *fleet.Target) { t.Started++ }, "d1")
				if refused := flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1); len(refused) > 0 {
					t.Errorf("%d refusals once the row states that the process is warm, want none", len(refused))
				}
			})
		})
	}
}

// A target that says in an answer that it is cold is cold, whatever its row says.
func TestAnswerOfColdTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(func(context.Context, *gateway.Call) (gateway.Reply, error) {
			return nil, &gateway.NotRunError{Status: http.StatusServiceUnavailable, Notice: gateway.Notice{ColdFor: 2 * time.Second}}
		}))
		f.put(func(t *fleet.Target) { t.Leaving = true }, "d2", "d3")
		f.serve(request(routing.NonIdempotent, 1))
		begin := time.Now()
		flood([]*fixture{f}, 2*time.Second, routing.NonIdempotent, 1)
		if n := got.highest("d1", begin); n == 0 || n > mostInSecond/2 {
			t.Errorf("%d requests in a second, want some and at most %d", n, mostInSecond/2)
		}
	})
}

// A host that knows no other host must not take itself for the only one: it uses no cold target until
// it has read a list of hosts or heard of one, and until their number has been the same for a while.
func TestHostThatKnowsNoOtherUsesNoColdTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		hosts, known := 1, false
		f.KnownHosts = func() (int, bool) { return hosts, known }
		f.KnownRank = func(string) int { return 0 }
		f.setCold(time.Now().Add(time.Hour), "d1", "d2", "d3")
		flood([]*fixture{f}, 4*time.Second, routing.NonIdempotent, 1)
		known = true
		flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1)
		hosts = 4
		flood([]*fixture{f}, 1900*time.Millisecond, routing.NonIdempotent, 1)
		if n := got.number("d1") + got.number("d2") + got.number("d3"); n > 0 {
			t.Errorf("%d requests to cold targets while the host doesn't know the others, want none", n)
		}
		flood([]*fixture{f}, 3*time.Second, routing.NonIdempotent, 1)
		if n := got.highest("d1", time.Time{}); n == 0 || n > mostInSecond/4 {
			t.Errorf("%d requests in a second for one of four hosts, want some and at most %d", n, mostInSecond/4)
		}
	})
}

// If one host grants the requests to a cold target, the others must send none of their own accord.
func TestOnlyGrantorUsesColdTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.KnownHosts, f.KnownRank = func() (int, bool) { return 9, true }, func(string) int { return 8 }
		f.ColdGrantor = func(target string) (self, exists bool) { return target == "d1", target != "d3" }
		flood([]*fixture{f}, 2500*time.Millisecond, routing.NonIdempotent, 1)
		begin := time.Now()
		f.setCold(begin.Add(coldFor), "d1", "d2", "d3")
		flood([]*fixture{f}, coldPlay, routing.NonIdempotent, 1)
		if n := got.highest("d1", begin); n < mostInSecond/4 || n > mostInSecond/2 {
			t.Errorf("%d requests in a second to the target of which the host is grantor, want %d to %d", n, mostInSecond/4, mostInSecond/2)
		}
		if n := got.highest("d2", begin) + got.highest("d3", begin); n > 0 {
			t.Errorf("%d requests in a second to targets of others, want none", n)
		}
	})
}

// Calls of the rollout must leave fewer requests to a cold target.
func TestCallsOfRolloutCountForColdTargets(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.put(func(t *fleet.Target) { t.Leaving = true }, "d2", "d3")
		f.setCold(time.Now().Add(coldFor), "d1")
		counted := f.Counted(stateClient{})
		d1, _ := f.Fleet.Find("d1")
		for range 40 {
			if _, err := counted.State(context.Background(), d1); err != nil {
				t.Fatal(err)
			}
		}
		flood([]*fixture{f}, 2*time.Second, routing.NonIdempotent, 1)
		if n := got.number("d1"); n > 0 {
			t.Errorf("%d requests in the 2 s after 40 calls of the rollout, want none", n)
		}
	})
}

var _ rollout.TargetClient = stateClient{}

// placements counts the attempts of each request by the lines of the log.
type placements struct {
	mu       sync.Mutex
	attempts map[string]int
}

func (p *placements) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	if _, after, found := bytes.Cut(line, []byte(`"part":"placement","requestId":"`)); found {
		id, _, _ := bytes.Cut(after, []byte(`"`))
		p.mu.Lock()
		p.attempts[string(id)]++
		p.mu.Unlock()
	}
	return len(line), nil
}

// onLine calls a function once when a line of the log contains a text.
type onLine struct {
	text string
	once sync.Once
	call func()
}

func (l *onLine) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	if bytes.Contains(line, []byte(l.text)) {
		l.once.Do(l.call)
	}
	return len(line), nil
}

// A target that becomes cold, or whose failure domain is evacuated, after it was chosen must not get
// the request that was on its way. Another target gets it, and the first one isn't blamed. What was granted
// to a process that was cold is not granted to the next one.
func TestRequestIsWithdrawnBeforeItIsSent(t *testing.T) {
	for _, kind := range []string{"cold", "cold again", "evacuated"} {
		t.Run(kind, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newColdFixture(t, answer(http.StatusOK, "yes"))
				f.put(func(t *fleet.Target) { t.FailureDomain = "north" }, "d1")
				f.put(func(t *fleet.Target) { t.FailureDomain = "south"; t.Leaving = true }, "d2", "d3")
				if kind == "cold again" {
					f.setCold(time.Now().Add(coldFor), "d1")
					time.Sleep(time.Second) // The host saves up a request.
				}
				f.Log = &log.Logger{Level: log.InfoLevel, Writer: &onLine{text: "placement: chosen", call: func() {
					f.put(func(t *fleet.Target) { t.Leaving, t.Started = false, 5 }, "d2")
					if kind == "evacuated" {
						f.SetEvacuated([]string{"north"})
						return
					}
					d1, _ := f.Fleet.Find("d1")
					d1.WarmAt = time.Now().Add(coldFor)
					if kind == "cold again" {
						d1.Started = 6
					}
					f.Fleet.Put(d1) // The change has not been applied yet.
				}}}
				s := f.serve(request(routing.NonIdempotent, 1))
				if calls := f.targets.targets(); s.status != http.StatusOK || len(calls) != 1 || calls[0] != "d2" {
					t.Errorf("got status %d and refusal %+v, requests to %v, want 200 from d2 alone", s.status, s.refused, calls)
				}
				if n := f.counter("attempts.repeated"); n > 0 {
					t.Errorf("%d retries taken from the budget, want none", n)
				}
			})
		})
	}
}

// Targets in an evacuated failure domain must get no request, new, repeated or instead of a silent
// one, while streams that run there continue.
func TestEvacuatedTargetsGetNoRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		release := make(chan struct{})
		f := newColdFixture(t, got.record(func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
			if call.Work.ID == "running" {
				<-release
			}
			if call.Target.ID == "d3" {
				return answer(http.StatusInternalServerError, "no")(ctx, call)
			}
			return answer(http.StatusOK, "yes")(ctx, call)
		}))
		f.put(func(t *fleet.Target) { t.FailureDomain = "north" }, "d1", "d2")
		f.put(func(t *fleet.Target) { t.FailureDomain = "south" }, "d3")
		var running *fakeSink
		var done sync.WaitGroup
		done.Go(func() {
			w := request(routing.NonIdempotent, 1)
			w.ID = "running"
			f.put(func(t *fleet.Target) { t.Leaving = true }, "d3")
			running = f.serve(w)
		})
		time.Sleep(time.Second)
		f.put(func(t *fleet.Target) { t.Leaving, t.Started = false, 2 }, "d3")
		f.SetEvacuated([]string{"north"})
		before := got.number("d1") + got.number("d2")
		flood([]*fixture{f}, 2*time.Second, routing.Idempotent, 3)
		if n := got.number("d1") + got.number("d2") - before; n > 0 || got.number("d3") == 0 {
			t.Errorf("%d requests to evacuated targets, %d to the other one, want none and some", n, got.number("d3"))
		}
		if n := f.gauge("targets.evacuated"); n != 2 {
			t.Errorf("%d evacuated targets in the metrics, want 2", n)
		}
		close(release)
		done.Wait()
		if running.status != http.StatusOK {
			t.Errorf("got status %d for the request that ran, want 200", running.status)
		}
		f.SetEvacuated([]string{"north", "south"})
		if s := f.serve(request(routing.NonIdempotent, 1)); s.refused == nil || !s.refused.NotRun || !strings.Contains(s.refused.Message, "evacuated failure domains: north, south") {
			t.Errorf("got %+v, want a refusal as not run that names the failure domains", s.refused)
		}
	})
}

// When an evacuation ends, the targets of the failure domain may be cold before their rows say so.
func TestTargetsAreColdAfterEvacuation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.put(func(t *fleet.Target) { t.FailureDomain = "north" }, "d1", "d2", "d3")
		f.SetEvacuated([]string{"north"})
		time.Sleep(time.Second)
		begin := time.Now()
		f.SetEvacuated(nil)
		flood([]*fixture{f}, coldPlay, routing.NonIdempotent, 1)
		got.checkHighest(t, begin, 1, mostInSecond/2)
		time.Sleep(2 * coldInterval)
		if refused := flood([]*fixture{f}, time.Second, routing.NonIdempotent, 1); len(refused) > 0 {
			t.Errorf("%d refusals %s after the evacuation, want none", len(refused), coldFor)
		}
	})
}

// A host to which a request is relayed must check the rules itself.
func TestRelayedRequestsKeepRules(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got arrivals
		f := newColdFixture(t, got.record(answer(http.StatusOK, "yes")))
		f.put(func(t *fleet.Target) { t.FailureDomain = "north" }, "d1")
		f.setCold(time.Now().Add(coldFor), "d2", "d3")
		f.SetEvacuated([]string{"north"})
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			w := request(routing.NonIdempotent, 1)
			w.Relayed = true
			go f.serve(w)
		}
		time.Sleep(time.Second)
		if got.number("d1") > 0 || got.highest("d2", time.Time{}) > mostInSecond/2 || got.number("d2") == 0 {
			t.Errorf("%d requests to the evacuated target, %d in a second to a cold one, want none, and some up to %d",
				got.number("d1"), got.highest("d2", time.Time{}), mostInSecond/2)
		}
	})
}
