package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/store"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// engines is a fake of two engines whose behaviour a test chooses.
type engines struct {
	dispatch.TargetCaller
	run func(ctx context.Context, url string, run *target.RunRequest, w io.Writer) error

	mu        sync.Mutex
	runs      []string
	cancelled []string
}

func (e *engines) Run(ctx context.Context, url string, run *target.RunRequest) (*target.Stream, error) {
	e.mu.Lock()
	e.runs = append(e.runs, url)
	e.mu.Unlock()
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	go func() { _ = writer.CloseWithError(e.run(ctx, url, run, writer)) }()
	return target.NewStream(reader), nil
}

func (e *engines) Cancel(_ context.Context, url, _ string, attempt int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, fmt.Sprint(url, "/", attempt))
	return nil
}

func (e *engines) Load(context.Context, string) (target.LoadReport, error) {
	return target.LoadReport{Versions: []string{"v1"}, Incarnation: 1}, nil
}

func (e *engines) CacheEvents(context.Context, string, int64) (target.CacheEvents, error) {
	return target.CacheEvents{Incarnation: 1}, nil
}

// answer writes a whole answer of three tokens.
func answer(w io.Writer, run *target.RunRequest, from int) error {
	encoder := json.NewEncoder(w)
	for i := from; i < 3; i++ {
		if err := encoder.Encode(target.RunEvent{RequestID: run.RequestID, Attempt: run.Attempt, Index: i, Text: fmt.Sprint(i)}); err != nil {
			return err
		}
	}
	return encoder.Encode(target.RunEvent{RequestID: run.RequestID, Attempt: run.Attempt, Index: 3, FinishReason: "stop"})
}

// surroundings stands for records, peers, ledger and store hosts.
type surroundings struct {
	dispatch.StoreCaller
	set *record.Set
	// home is the URL of the pool's home, empty when this host is it.
	home string
	mu   sync.Mutex
	rows []ledger.Row
}

func (s *surroundings) Current() *record.Set                      { return s.set }
func (s *surroundings) Defensible() bool                          { return true }
func (s *surroundings) Full() bool                                { return false }
func (s *surroundings) Hosts() int                                { return 1 }
func (s *surroundings) Loads() map[string]placement.TargetLoad    { return nil }
func (s *surroundings) InFlight() (int, bool)                     { return 0, true }
func (s *surroundings) AccountDemand(string) (float64, int, bool) { return 0, 0, true }
func (s *surroundings) PoolOwner(string) (string, bool)           { return s.home, s.home == "" }
func (s *surroundings) Decide(context.Context, string, *wire.DecideRequest) (*wire.DecideResponse, error) {
	return nil, errors.ErrUnsupported
}
func (s *surroundings) Observe(context.Context, string, *wire.ObserveRequest) error { return nil }
func (s *surroundings) IsOwner(string) bool                                         { return false }
func (s *surroundings) Refuse(context.Context, string, string, time.Time) error     { return nil }
func (s *surroundings) List(context.Context, string, store.Cursor) (store.Listing, error) {
	return store.Listing{}, nil
}

func (s *surroundings) Add(row ledger.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, row)
}

func newSurroundings(t *testing.T) *surroundings {
	t.Helper()
	engine := `{"kind":"engine","url":"%s","failureDomain":"west","models":["m"],"slots":4,"prefillTokensPerSecond":1000,"tokenGapMillis":10}`
	var changes []record.Change
	for key, spec := range map[string]string{
		"model/m": `{"contextTokens":1000}`, "version/v1": `{"model":"m","weights":"w"}`, "rule/m": `{"model":"m","version":"v1"}`,
		"target/a": fmt.Sprintf(engine, "http://a"), "target/b": fmt.Sprintf(engine, "http://b"),
	} {
		kind, name, _ := strings.Cut(key, "/")
		changes = append(changes, record.Change{Record: record.Record{Kind: record.Kind(kind), Schema: 1, Name: name, Spec: json.RawMessage(spec)}})
	}
	set, findings := record.NewSet().With(1, changes)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return &surroundings{set: set}
}

// textSink gathers an answer.
type textSink struct {
	text strings.Builder
}

func (s *textSink) Begin(string, string) error { return nil }
func (s *textSink) Flush() error               { return nil }
func (s *textSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// outcome is what became of one request.
type outcome struct {
	text string
	err  error
	d    *dispatch.Dispatcher
	rows []ledger.Row
}

// generate runs one request against fake engines in virtual time.
func generate(t *testing.T, client dispatch.TargetCaller) outcome {
	t.Helper()
	return generateIn(t, client, newSurroundings(t))
}

func generateIn(t *testing.T, client dispatch.TargetCaller, around *surroundings) outcome {
	t.Helper()
	d, stop := startDispatcher(t, client, around)
	sink := &textSink{}
	_, err := d.Generate(t.Context(), &dispatch.GenerationRequest{Account: "orders", Model: "m", Prompt: "hello", MaxTokens: 3}, sink)
	_ = d.Stop(t.Context())
	stop()
	// Late answers of attempts that lost come to their end.
	time.Sleep(time.Second)
	return outcome{text: sink.text.String(), err: err, d: d, rows: around.rows}
}

// startDispatcher starts a dispatcher and lets it look at its targets once.
func startDispatcher(t *testing.T, client dispatch.TargetCaller, around *surroundings) (d *dispatch.Dispatcher, stop func()) {
	t.Helper()
	cfg := config.Default()
	cfg.Placement.WarmUp = config.DurationOf(0)
	d = &dispatch.Dispatcher{
		Host: "one", Incarnation: 1, Config: cfg, Clock: clock.System{}, Targets: client, Stores: around, Records: around, Peers: around,
		Ledger: around, Refuser: around, Metrics: metrics.NewRegistry(),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	d.Init()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	time.Sleep(time.Second)
	return d, func() {
		cancel()
		<-done
	}
}

func counter(d *dispatch.Dispatcher, name string) int64 {
	return metrics.GetOrRegisterCounter(name, d.Metrics).Count()
}

// The first target is silent, a second attempt answers, and the late answer of
// the first one is dropped.
func TestHedgeLoserIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		e.run = func(_ context.Context, _ string, run *target.RunRequest, w io.Writer) error {
			if run.Attempt == 1 {
				time.Sleep(86 * time.Millisecond)
				return answer(w, run, 0)
			}
			time.Sleep(10 * time.Millisecond)
			return answer(w, run, 0)
		}
		got := generate(t, e)
		if got.text != "012" || got.err != nil {
			t.Errorf("got %q, %v; want the whole answer once", got.text, got.err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if diff := cmp.Diff([]string{e.runs[0] + "/1"}, e.cancelled); diff != "" {
			t.Errorf("cancelled (-want +got):\n%s", diff)
		}
		if len(e.runs) != 2 || e.runs[0] == e.runs[1] || counter(got.d, "attempts.hedges") != 1 || len(got.rows) != 1 {
			t.Errorf("got runs %v, %d hedges, %d rows; want two targets, one hedge, one row", e.runs, counter(got.d, "attempts.hedges"), len(got.rows))
		}
	})
}

// A stream breaks after its first token. The rest comes from another target,
// without a token twice or missing.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		e.run = func(_ context.Context, _ string, run *target.RunRequest, w io.Writer) error {
			if run.Attempt == 1 {
				_ = json.NewEncoder(w).Encode(target.RunEvent{RequestID: run.RequestID, Attempt: 1, Index: 0, Text: "0"})
				return io.ErrUnexpectedEOF
			}
			if run.DeliveredTokens != 1 || run.Delivered != "0" {
				t.Errorf("resumed with %d tokens %q, want 1 token 0", run.DeliveredTokens, run.Delivered)
			}
			return answer(w, run, run.DeliveredTokens)
		}
		got := generate(t, e)
		if got.text != "012" || got.err != nil || counter(got.d, "attempts.retries") != 1 {
			t.Errorf("got %q, %v, %d retries; want the whole answer after one retry", got.text, got.err, counter(got.d, "attempts.retries"))
		}
	})
}

// An answer that ends early after some tokens is counted once, as partial, and
// its error says that it may have run.
func TestPartialAnswerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		e.run = func(_ context.Context, _ string, run *target.RunRequest, w io.Writer) error {
			if run.DeliveredTokens == 0 {
				_ = json.NewEncoder(w).Encode(target.RunEvent{RequestID: run.RequestID, Attempt: run.Attempt, Index: 0, Text: "0"})
			}
			return io.ErrUnexpectedEOF
		}
		got := generate(t, e)
		if got.err == nil || failure.From(got.err).NotRun || len(got.rows) != 1 || !got.rows[0].Partial || got.rows[0].AnswerTokens != 1 {
			t.Errorf("got error %v, rows %+v; want an error that may have run and one partial row of one token", got.err, got.rows)
		}
	})
}

// Refusals by all targets that did no work end in a refusal that says so; one
// target that may have worked changes that.
func TestNotRunIsTrue(t *testing.T) {
	for _, worked := range []bool{false, true} {
		t.Run(fmt.Sprint("worked=", worked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &refusing{worked: worked}
				got := generate(t, e)
				if got.err == nil || failure.From(got.err).NotRun == worked || len(got.rows) != 0 {
					t.Errorf("got %v, %d rows; want an error with not run %t and no row", got.err, len(got.rows), !worked)
				}
			})
		})
	}
}

// refusing refuses each run; its first one may have worked.
type refusing struct {
	engines
	worked bool
	count  int
}

func (e *refusing) Run(context.Context, string, *target.RunRequest) (*target.Stream, error) {
	e.count++
	notRun := !e.worked || e.count > 1
	return nil, &target.RefusalError{Status: http.StatusServiceUnavailable, Code: "busy", NotRun: notRun}
}

// A host decides by its own view when the home of the pool gives no answer.
func TestSilentHomeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{run: func(_ context.Context, _ string, run *target.RunRequest, w io.Writer) error { return answer(w, run, 0) }}
		around := newSurroundings(t)
		around.home = "http://home"
		got := generateIn(t, e, around)
		if got.text != "012" || got.err != nil || counter(got.d, "pool.fallbacks") != 1 {
			t.Errorf("got %q, %v, %d fallbacks; want the whole answer after one", got.text, got.err, counter(got.d, "pool.fallbacks"))
		}
	})
}

// The home places jobs of other hosts, keeps them while their host names them,
// and ends them when it no longer does.
func TestHomeEndsLapsedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, stop := startDispatcher(t, &engines{}, newSurroundings(t))
		ask := &wire.DecideRequest{Host: "two", RequestId: "r", Account: "orders", Model: "m", Version: "v1", PromptTokens: 5, AnswerTokens: 5, WaitMillis: 1000}
		var jobs []int64
		for range 3 {
			got, err := d.DecideFor(t.Context(), ask)
			if err != nil || !got.Admitted || got.Target == "" || got.Ticket == 0 {
				t.Fatalf("got %+v, error %v; want a target", got, err)
			}
			jobs = append(jobs, got.Job)
		}
		// One job ends, one is named, one is forgotten.
		d.ObserveFor(&wire.ObserveRequest{Host: "two", Ended: []*wire.JobEnd{{Job: jobs[0], ActualWork: 10}}})
		for range 6 {
			time.Sleep(time.Second)
			d.ObserveFor(&wire.ObserveRequest{Host: "two", Running: jobs[1:2]})
		}
		if got := d.PeerReport().RequestsInFlight; got != 1 || counter(d, "pool.lapsed") != 1 {
			t.Errorf("got %d in flight, %d lapsed; want 1 and 1", got, counter(d, "pool.lapsed"))
		}
		// Another host can't end it.
		d.ObserveFor(&wire.ObserveRequest{Host: "three", Ended: []*wire.JobEnd{{Job: jobs[1]}}})
		if got := d.PeerReport().RequestsInFlight; got != 1 {
			t.Errorf("another host ended the job: %d in flight", got)
		}
		stop()
	})
}
