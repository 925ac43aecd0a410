package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
)

const (
	testTTL         = 2 * time.Second
	testQuietPeriod = 4 * time.Second
)

// leaseRow is the row of the lease in a fake table service.
type leaseRow struct {
	mu      sync.Mutex
	value   []byte
	version int64
	// cutOff contains the hosts that can't reach the service. The answers to the next
	// lostAnswers writes are lost, but the writes take effect.
	cutOff      map[string]bool
	lostAnswers int
	// conflicts counts the writes that lost against others.
	conflicts int
	// era counts the restores from an older copy.
	era int64
}

func (s *leaseRow) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// tableClient is the table service as one host sees it.
type tableClient struct {
	row  *leaseRow
	host string
}

func (t tableClient) Era() int64 {
	t.row.mu.Lock()
	defer t.row.mu.Unlock()
	if t.row.cutOff[t.host] {
		return 0
	}
	return t.row.era
}

func (t tableClient) Get(context.Context, string, string) (platform.Row, bool, error) {
	t.row.mu.Lock()
	defer t.row.mu.Unlock()
	if t.row.cutOff[t.host] {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	return platform.Row{Key: "lease/weights", Version: t.row.version, Value: t.row.value, Era: t.row.era}, t.row.version > 0, nil
}

func (t tableClient) CommitVersion(_ context.Context, tx platform.Transaction) (int64, error) {
	t.row.mu.Lock()
	defer t.row.mu.Unlock()
	if t.row.cutOff[t.host] {
		return 0, platform.ErrUnavailable
	}
	if tx.Conditions[0].Version != t.row.version {
		t.row.conflicts++
		return 0, &platform.ConflictError{Current: t.row.version}
	}
	t.row.version++
	t.row.value = tx.Writes[0].Value
	if t.row.lostAnswers > 0 {
		t.row.lostAnswers--
		return 0, platform.ErrUnknownOutcome
	}
	return t.row.version, nil
}

// fakeEngines simulates targets. It carries out orders and records who sent them.
type fakeEngines struct {
	mu       sync.Mutex
	views    []*fleet.View
	versions map[string]int64
	orders   map[string]int64
	received []receivedOrder
	// refuse makes all targets refuse orders.
	refuse atomic.Bool
	// unreachableFor is the holder that reaches no target, if any.
	unreachableFor string
	// noRows is set if the rows don't state the ends of swaps. Targets are opened without them.
	noRows atomic.Bool
}

func (e *fakeEngines) cutOff(holder string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableFor = holder
}

func (e *fakeEngines) isCutOff(holder string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return holder == e.unreachableFor
}

type receivedOrder struct {
	holder       string
	fencingToken int64
	at           time.Time
}

func (e *fakeEngines) State(_ context.Context, t fleet.Target) (rollout.TargetState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.TargetState{Orders: e.orders[t.ID], Versions: map[string]int64{"m": e.versions[t.ID]}}, nil
}

func (e *fakeEngines) OrderWeights(_ context.Context, order rollout.Order, holder string, fencingToken int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse.Load() || holder == e.unreachableFor {
		return errors.New("refused or unreachable")
	}
	e.received = append(e.received, receivedOrder{holder, fencingToken, time.Now()})
	if e.orders[order.Target.ID] != order.After {
		return fmt.Errorf("%d orders were accepted, want %d", e.orders[order.Target.ID], order.After)
	}
	e.orders[order.Target.ID]++
	time.AfterFunc(1500*time.Millisecond, func() {
		e.mu.Lock()
		e.versions[order.Target.ID] = order.Version
		e.mu.Unlock()
		if e.noRows.Load() {
			return
		}
		for _, v := range e.views {
			v.Put(fleet.Target{ID: order.Target.ID, Versions: map[string]int64{"m": order.Version}})
		}
	})
	return nil
}

// check fails the test if two holders sent orders within the quiet period of each other,
// or if a fencing token is lower than an earlier one.
func (e *fakeEngines) check(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 1; i < len(e.received); i++ {
		before, now := e.received[i-1], e.received[i]
		if before.holder != now.holder && now.at.Sub(before.at) < testQuietPeriod {
			t.Errorf("%s sent an order %s after one of %s, want at least the quiet period between them", now.holder, now.at.Sub(before.at), before.holder)
		}
		if now.fencingToken < before.fencingToken {
			t.Errorf("fencing token decreased to %d after %d", now.fencingToken, before.fencingToken)
		}
	}
}

func (e *fakeEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func (e *fakeEngines) done(want int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, version := range e.versions {
		if version != want {
			return false
		}
	}
	return true
}

// runLeaders runs the leaders of three hosts over one lease row until scenario
// returns. They share a steadyClock.
func runLeaders(t *testing.T, scenario func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		row, steady := &leaseRow{cutOff: map[string]bool{}}, &steadyClock{}
		e := &fakeEngines{versions: map[string]int64{}, orders: map[string]int64{}}
		leaders := map[string]*rollout.Leader{}
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i, name := range []string{"a", "b", "c"} {
			view := fleet.NewView()
			for k := range 6 {
				id := fmt.Sprintf("t%d", k)
				e.versions[id] = 1
				view.Put(fleet.Target{ID: id, Versions: map[string]int64{"m": 1}})
			}
			e.views = append(e.views, view)
			leaders[name] = &rollout.Leader{
				Host: name, Table: tableClient{row, name}, Fleet: view, Targets: e, Clock: clock.System{}, Steady: steady,
				Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}, Requested: &rollout.RequestedVersions{}, Plan: *newPlan(), Rank: float64(i) / 3,
				OnSwapping: func(_, _ []string) {}, PathLost: func() bool { return e.isCutOff(name) },
				Lease: lease.State{Host: name, Incarnation: 1, TTL: testTTL, QuietPeriod: testQuietPeriod},
			}
			leaders[name].Plan.OpensEarly = func(string) bool { return e.noRows.Load() }
			leaders[name].ApplyRows(nil, true)
		}
		for name, l := range leaders {
			running.Go(func() { _ = l.Run(ctx) })
			running.Go(func() {
				clock.Every(ctx, clock.System{}, 100*time.Millisecond, func(context.Context) { deliverRow(row, name, l) })
			})
		}
		scenario(row, e, leaders)
		end()
		running.Wait()
		time.Sleep(2 * time.Second) // Swaps that are under way take up to 1.5 s.
		e.check(t)
	})
}

// deliverRow passes the lease row to a leader, as the feed of the shared table does.
func deliverRow(row *leaseRow, host string, l *rollout.Leader) {
	row.mu.Lock()
	update := platform.Row{Key: "lease/weights", Version: row.version, Value: row.value, Era: row.era}
	other := platform.Row{Key: "host/a", Version: 1, Era: row.era}
	cutOff := row.cutOff[host]
	row.mu.Unlock()
	switch {
	case cutOff:
	case update.Version > 0:
		l.ApplyRows([]platform.Row{update}, false)
	case update.Era > 0:
		l.ApplyRows([]platform.Row{other}, true)
	}
}

func requestVersion(leaders map[string]*rollout.Leader, version int64) {
	for _, l := range leaders {
		l.Requested.Add("m", version, l.Steady.Now())
	}
}

func leaseHolder(row *leaseRow) string {
	row.mu.Lock()
	defer row.mu.Unlock()
	var r lease.Record
	if json.Unmarshal(row.value, &r) != nil {
		return ""
	}
	return r.Holder
}

func TestLeaderSwapsAllTargetsOnce(t *testing.T) {
	runLeaders(t, func(_ *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		requestVersion(leaders, 2)
		time.Sleep(newPlan().TimeLimit)
		if !e.done(2) {
			t.Errorf("versions at the end of Plan.TimeLimit: %v, want 2 on all targets", e.versions)
		}
		if n := e.count(); n != 6 {
			t.Errorf("%d orders, want 6 for 6 targets", n)
		}
	})
}

// A holder that can't reach the table service stops sending orders. Another host
// takes over after the quiet period.
func TestHolderIsCutOff(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		requestVersion(leaders, 2)
		time.Sleep(1500 * time.Millisecond)
		first := leaseHolder(row)
		row.set(func() { row.cutOff[first] = true })
		time.Sleep(25 * time.Second)
		if !e.done(2) || leaseHolder(row) == first {
			t.Errorf("holder %q, first holder %q, versions %v; want another holder and version 2 on all targets", leaseHolder(row), first, e.versions)
		}
		row.set(func() { row.cutOff[first] = false })
		requestVersion(leaders, 3)
		time.Sleep(15 * time.Second)
		if !e.done(3) {
			t.Errorf("versions 15 s after the next request: %v, want 3 on all targets", e.versions)
		}
	})
}

// A holder that reaches no target must not keep the lease from hosts that do.
func TestHolderWithoutPathToTargetsGivesUpLease(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		requestVersion(leaders, 2)
		time.Sleep(1500 * time.Millisecond)
		first := leaseHolder(row)
		e.cutOff(first)
		time.Sleep(25 * time.Second)
		if !e.done(2) || leaseHolder(row) == first {
			t.Errorf("holder %q, first holder %q, versions %v; want another holder and version 2 on all targets", leaseHolder(row), first, e.versions)
		}
	})
}

// If the answer to a lease write is lost, the leader reads the row again before
// it acts on the lease.
func TestLeaseWriteWithLostAnswer(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		row.set(func() { row.lostAnswers = 2 })
		requestVersion(leaders, 2)
		time.Sleep(20 * time.Second)
		if !e.done(2) {
			t.Errorf("versions after 20 s: %v, want 2 on all targets", e.versions)
		}
	})
}

// Targets are removed from the lease row after their swap, even if the table
// service was unavailable when the last swap ended.
func TestEndOfSwapsIsPublishedAfterOutage(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		requestVersion(leaders, 2)
		for !e.done(2) {
			time.Sleep(10 * time.Millisecond)
		}
		row.set(func() { row.cutOff = map[string]bool{"a": true, "b": true, "c": true} })
		time.Sleep(500 * time.Millisecond)
		row.set(func() { row.cutOff = map[string]bool{} })
		time.Sleep(time.Second)
		var r lease.Record
		row.mu.Lock()
		defer row.mu.Unlock()
		if err := json.Unmarshal(row.value, &r); err != nil || len(r.Busy)+len(r.Pending) > 0 {
			t.Errorf("row after the end of all swaps: %+v, %v, want no busy or pending targets", r, err)
		}
	})
}

// steadyClock is the clock of a host that was suspended for some time, which its system
// clock doesn't count.
type steadyClock struct {
	clock.System
	suspended atomic.Int64
}

func (c *steadyClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.suspended.Load())) }

// A holder whose host was suspended for most of the time limit swaps as many targets at
// once as the remaining time requires.
func TestSuspensionCountsTowardsTimeLimitOfSwaps(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		e.refuse.Store(true)
		requestVersion(leaders, 2)
		time.Sleep(time.Second)
		leaders["a"].Steady.(*steadyClock).suspended.Store(int64(newPlan().TimeLimit))
		time.Sleep(time.Second)
		row.mu.Lock()
		defer row.mu.Unlock()
		r, err := lease.Decode(row.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(r.Busy) + len(r.Pending); got != 2 {
			t.Errorf("%d of 6 targets swap at once after the time limit, want 2, twice the usual number", got)
		}
	})
}

// Hosts of a large group hear late of a lease that another one has taken. When its holder was lost during
// a swap, all of them tried to take it, each with a write and a read in vain.
func TestManyHostsTakeLeaseInTurn(t *testing.T) {
	const hosts, delay = 40, 300 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		row, steady := &leaseRow{cutOff: map[string]bool{}}, &steadyClock{}
		view := fleet.NewView()
		view.Put(fleet.Target{ID: "t0", Versions: map[string]int64{"m": 1}})
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range hosts {
			name := fmt.Sprint("host-", i)
			e := &fakeEngines{versions: map[string]int64{}, orders: map[string]int64{}}
			e.refuse.Store(true)
			l := &rollout.Leader{
				Host: name, Table: tableClient{row, name}, Fleet: view, Targets: e, Clock: clock.System{}, Steady: steady,
				Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}, Requested: &rollout.RequestedVersions{}, Plan: *newPlan(),
				Rank: float64(i) / hosts, TakeoverTurn: func(bool) (int, bool) { return i, true }, OnSwapping: func(_, _ []string) {},
				Lease: lease.State{Host: name, Incarnation: 1, TTL: testTTL, QuietPeriod: testQuietPeriod},
			}
			l.ApplyRows(nil, true)
			l.Requested.Add("m", 2, steady.Now())
			running.Go(func() { _ = l.Run(ctx) })
			running.Go(func() {
				for ctx.Err() == nil {
					row.mu.Lock()
					update, cutOff := platform.Row{Key: "lease/weights", Version: row.version, Value: row.value}, row.cutOff[name]
					row.mu.Unlock()
					_ = clock.Sleep(ctx, clock.System{}, delay) // The loop checks ctx.
					if update.Version > 0 && !cutOff {
						l.ApplyRows([]platform.Row{update}, false)
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		first := leaseHolder(row)
		row.set(func() { row.cutOff[first] = true })
		time.Sleep(testTTL + testQuietPeriod + time.Second)
		if next := leaseHolder(row); next == first || next == "" {
			t.Errorf("holder %q after that of %q was cut off, want another one", next, first)
		}
		end()
		running.Wait()
		if row.conflicts > 4 {
			t.Errorf("%d writes of the lease in vain, want at most 4", row.conflicts)
		}
		t.Logf("%d writes in vain", row.conflicts)
	})
}

// A host whose write of the lease was in vain took a row that its peers brought late for the present one, and wrote
// again in vain.
func TestOutdatedRowAfterConflictIsIgnored(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		row := &leaseRow{cutOff: map[string]bool{}, version: 6, value: []byte(`{"holder":"c","fence":3}`)}
		view := fleet.NewView()
		view.Put(fleet.Target{ID: "t0", Versions: map[string]int64{"m": 1}})
		l := &rollout.Leader{
			Host: "a", Table: tableClient{row, "a"}, Fleet: view, Targets: &fakeEngines{versions: map[string]int64{}, orders: map[string]int64{}},
			Clock: clock.System{}, Steady: clock.System{}, Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
			Requested: &rollout.RequestedVersions{}, Plan: *newPlan(), OnSwapping: func(_, _ []string) {},
			Lease: lease.State{Host: "a", Incarnation: 1, TTL: testTTL, QuietPeriod: testQuietPeriod},
		}
		l.Requested.Add("m", 2, time.Now())
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		outdated := platform.Row{Key: "lease/weights", Version: 5, Value: []byte(`{"holder":"b","fence":2}`)}
		for range 100 {
			l.ApplyRows([]platform.Row{outdated}, true)
			time.Sleep(95 * time.Millisecond)
		}
		end()
		running.Wait()
		if row.conflicts != 1 {
			t.Errorf("%d writes of the lease in vain, want 1", row.conflicts)
		}
	})
}

// A lease row that can't be decoded blocked the lease: no host took it after its holder had stopped.
func TestUnreadableLeaseIsTakenAfterItsHolder(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		requestVersion(leaders, 2)
		for e.count() == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		row.set(func() { row.cutOff = map[string]bool{"a": true, "b": true, "c": true} })
		time.Sleep(testTTL + testQuietPeriod)
		// A holder of another build renews the lease. Its rows can't be decoded, and its fencing token
		// is as high as its writes allow.
		for range 20 {
			row.set(func() {
				row.version++
				row.value = []byte(`{"holder":{"name":"z"}}`)
				clear(row.cutOff)
				e.mu.Lock()
				e.received = append(e.received, receivedOrder{"z", row.version, time.Now()})
				e.mu.Unlock()
			})
			time.Sleep(testTTL / 2)
		}
		time.Sleep(40 * time.Second)
		if !e.done(2) {
			t.Errorf("versions after the holder of another build has stopped: %v, want 2 on all targets", e.versions)
		}
	})
}

func TestNoOrderWithoutTableService(t *testing.T) {
	runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
		row.set(func() { row.cutOff = map[string]bool{"a": true, "b": true, "c": true} })
		requestVersion(leaders, 2)
		time.Sleep(10 * time.Second)
		if n := e.count(); n != 0 {
			t.Errorf("%d orders were sent without the table service, want none", n)
		}
	})
}

// The table service is restored from a copy in which the lease is absent or held by an
// earlier holder, also twice in a row, while the holder is cut off from the service and
// still acts. No two hosts may send orders within the quiet period, and no fencing token
// may go back. The swaps are completed all the same.
func TestRestoredTableServiceKeepsOneHolder(t *testing.T) {
	for name, test := range map[string]struct {
		absent, cutOff bool
		restores       int
	}{
		"lease absent":                            {absent: true, restores: 1},
		"lease absent, holder cut off":            {absent: true, cutOff: true, restores: 1},
		"earlier holder in the copy":              {restores: 1},
		"earlier holder in the copy, now cut off": {cutOff: true, restores: 1},
		"two restores in a row":                   {absent: true, cutOff: true, restores: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaders(t, func(row *leaseRow, e *fakeEngines, leaders map[string]*rollout.Leader) {
				requestVersion(leaders, 2)
				for e.count() == 0 {
					time.Sleep(50 * time.Millisecond)
				}
				var copied leaseRow
				row.set(func() { copied.value, copied.version = row.value, row.version })
				holder, err := lease.Decode(copied.value)
				if err != nil {
					t.Fatal(err)
				}
				if !test.absent {
					// A second holder takes over. Its record is not in the copy.
					row.set(func() { row.cutOff[holder.Holder] = true })
					requestVersion(leaders, 3)
					time.Sleep(testTTL + testQuietPeriod + 2*time.Second)
					row.set(func() { clear(row.cutOff) })
					time.Sleep(200 * time.Millisecond)
				}
				for range test.restores {
					row.set(func() {
						if test.cutOff {
							if r, err := lease.Decode(row.value); err == nil {
								row.cutOff[r.Holder] = true
							}
						}
						row.era++
						row.value, row.version = copied.value, copied.version
						if test.absent {
							row.value, row.version = nil, 0
						}
					})
					time.Sleep(700 * time.Millisecond)
				}
				requestVersion(leaders, 4)
				time.Sleep(20 * time.Second)
				row.set(func() { clear(row.cutOff) })
				time.Sleep(20 * time.Second)
				if !e.done(4) {
					t.Errorf("swaps aren't complete after the restore: versions %v, want all at 4", e.versions)
				}
			})
		})
	}
}

// obsoleteParts is a Cleaner whose parts are obsolete until the first call.
type obsoleteParts struct{ freed chan struct{} }

func (o obsoleteParts) HasObsoleteParts() bool {
	select {
	case <-o.freed:
		return false
	default:
		return true
	}
}

func (o obsoleteParts) FreeObsoleteParts(context.Context, time.Duration) { close(o.freed) }

// Only few hosts of a large group know the contents of the stores. If these waited for the turns of all hosts
// before they take the lease, stores stayed full of parts of replaced weights for seconds.
func TestLeaseForCleanupIsTakenByTurnsOfItsOwn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		row, steady := &leaseRow{cutOff: map[string]bool{}}, &steadyClock{}
		cleaner := obsoleteParts{freed: make(chan struct{})}
		l := &rollout.Leader{
			Host: "host-18", Table: tableClient{row, "host-18"}, Fleet: fleet.NewView(), Targets: &fakeEngines{}, Clock: clock.System{}, Steady: steady, Cleaner: cleaner,
			Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}, Requested: &rollout.RequestedVersions{}, Plan: *newPlan(),
			TakeoverTurn: func(cleanup bool) (int, bool) {
				if cleanup {
					return 1, true
				}
				return 18, true
			},
			OnSwapping: func(_, _ []string) {},
			Lease:      lease.State{Host: "host-18", Incarnation: 1, TTL: testTTL, QuietPeriod: testQuietPeriod},
		}
		l.ApplyRows(nil, true)
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		time.Sleep(time.Second)
		if cleaner.HasObsoleteParts() {
			t.Error("obsolete parts are not freed after 1 s, want the turn of the cleanup, 0.25 s")
		}
		end()
		running.Wait()
	})
}
