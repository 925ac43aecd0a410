package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
)

const (
	testLease = 2 * time.Second
	testQuiet = 4 * time.Second
)

// sharedRow is the row of the lease, and which hosts reach it.
type sharedRow struct {
	mu      sync.Mutex
	value   []byte
	version int64
	// cut names the hosts that don't reach the service; lost loses the answers
	// of that many writes after their effect.
	cut  map[string]bool
	lost int
}

func (s *sharedRow) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// tableOf is the service as one host reaches it.
type tableOf struct {
	row  *sharedRow
	host string
}

func (t tableOf) Get(context.Context, string, string) (platform.Row, bool, error) {
	t.row.mu.Lock()
	defer t.row.mu.Unlock()
	if t.row.cut[t.host] {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	return platform.Row{Key: "lease/weights", Version: t.row.version, Value: t.row.value}, t.row.version > 0, nil
}

func (t tableOf) CommitVersion(_ context.Context, tx platform.Transaction) (int64, error) {
	t.row.mu.Lock()
	defer t.row.mu.Unlock()
	if t.row.cut[t.host] {
		return 0, platform.ErrUnavailable
	}
	if tx.Conditions[0].Version != t.row.version {
		return 0, &platform.ConflictError{Current: t.row.version}
	}
	t.row.version++
	t.row.value = tx.Writes[0].Value
	if t.row.lost > 0 {
		t.row.lost--
		return 0, platform.ErrUnknownOutcome
	}
	return t.row.version, nil
}

// engines carry out orders and note who gave them.
type engines struct {
	mu     sync.Mutex
	views  []*fleet.View
	state  map[string]int64
	orders map[string]int64
	given  []givenOrder
}

type givenOrder struct {
	holder string
	fence  int64
	at     time.Time
}

func (e *engines) State(_ context.Context, t fleet.Target) (rollout.TargetState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.TargetState{Orders: e.orders[t.ID], Versions: map[string]int64{"m": e.state[t.ID]}}, nil
}

func (e *engines) OrderWeights(_ context.Context, order rollout.Order, holder string, fence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, givenOrder{holder, fence, time.Now()})
	if e.orders[order.Target.ID] != order.After {
		return fmt.Errorf("%d orders were accepted, not %d", e.orders[order.Target.ID], order.After)
	}
	e.orders[order.Target.ID]++
	time.AfterFunc(1500*time.Millisecond, func() {
		e.mu.Lock()
		e.state[order.Target.ID] = order.Version
		e.mu.Unlock()
		for _, v := range e.views {
			v.Put(fleet.Target{ID: order.Target.ID, Versions: map[string]int64{"m": order.Version}})
		}
	})
	return nil
}

// check fails when two holders act within the quiet time of each other, or a
// fence falls.
func (e *engines) check(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 1; i < len(e.given); i++ {
		before, now := e.given[i-1], e.given[i]
		if before.holder != now.holder && now.at.Sub(before.at) < testQuiet {
			t.Errorf("%s gives an order %s after %s", now.holder, now.at.Sub(before.at), before.holder)
		}
		if now.fence < before.fence {
			t.Errorf("fence %d after %d", now.fence, before.fence)
		}
	}
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.given)
}

func (e *engines) done(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, held := range e.state {
		if held != version {
			return false
		}
	}
	return true
}

// hosts run leaders over one row until play returns.
func hosts(t *testing.T, play func(row *sharedRow, e *engines, leaders map[string]*rollout.Leader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		row := &sharedRow{cut: map[string]bool{}}
		e := &engines{state: map[string]int64{}, orders: map[string]int64{}}
		leaders := map[string]*rollout.Leader{}
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i, name := range []string{"a", "b", "c"} {
			view := fleet.NewView()
			for k := range 6 {
				id := fmt.Sprintf("t%d", k)
				e.state[id] = 1
				view.Put(fleet.Target{ID: id, Versions: map[string]int64{"m": 1}})
			}
			e.views = append(e.views, view)
			leaders[name] = &rollout.Leader{
				Host: name, Table: tableOf{row, name}, Fleet: view, Targets: e, Clock: clock.System{}, Steady: clock.System{},
				Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}, Plan: *newPlan(), Rank: float64(i) / 3,
				OnSwapping: func(_, _ []string) {},
				Lease:      lease.State{Host: name, Incarnation: 1, TTL: testLease, Margin: testQuiet},
			}
			leaders[name].ApplyRows(nil, true)
		}
		for name, l := range leaders {
			running.Go(func() { _ = l.Run(ctx) })
			running.Go(func() {
				clock.Every(ctx, clock.System{}, 100*time.Millisecond, func(context.Context) { tell(row, name, l) })
			})
		}
		play(row, e, leaders)
		end()
		running.Wait()
		time.Sleep(2 * time.Second)
		e.check(t)
	})
}

// tell is the feed of the shared table.
func tell(row *sharedRow, host string, l *rollout.Leader) {
	row.mu.Lock()
	told := platform.Row{Key: "lease/weights", Version: row.version, Value: row.value}
	cut := row.cut[host]
	row.mu.Unlock()
	if !cut && told.Version > 0 {
		l.ApplyRows([]platform.Row{told}, false)
	}
}

func name(leaders map[string]*rollout.Leader, version int64) {
	for _, l := range leaders {
		l.SetRequestedVersion("m", version)
	}
}

func holder(row *sharedRow) string {
	row.mu.Lock()
	defer row.mu.Unlock()
	var r lease.Record
	if json.Unmarshal(row.value, &r) != nil {
		return ""
	}
	return r.Holder
}

func TestOneHostBringsAllTargetsToAVersion(t *testing.T) {
	hosts(t, func(_ *sharedRow, e *engines, leaders map[string]*rollout.Leader) {
		name(leaders, 2)
		time.Sleep(newPlan().Within)
		if !e.done(2) {
			t.Errorf("after the time in which all have to be done: %v", e.state)
		}
		if n := e.count(); n != 6 {
			t.Errorf("%d orders for 6 targets", n)
		}
	})
}

// A holder that is cut off from the service stops, and another one goes on
// after the quiet time.
func TestHolderIsCutOff(t *testing.T) {
	hosts(t, func(row *sharedRow, e *engines, leaders map[string]*rollout.Leader) {
		name(leaders, 2)
		time.Sleep(1500 * time.Millisecond)
		first := holder(row)
		row.set(func() { row.cut[first] = true })
		time.Sleep(25 * time.Second)
		if !e.done(2) || holder(row) == first {
			t.Errorf("holder %q after %q: %v", holder(row), first, e.state)
		}
		row.set(func() { row.cut[first] = false })
		name(leaders, 3)
		time.Sleep(15 * time.Second)
		if !e.done(3) {
			t.Errorf("next version: %v", e.state)
		}
	})
}

// A write whose answer is lost is read back before anything is built on it.
func TestAnswerOfALeaseIsLost(t *testing.T) {
	hosts(t, func(row *sharedRow, e *engines, leaders map[string]*rollout.Leader) {
		row.set(func() { row.lost = 2 })
		name(leaders, 2)
		time.Sleep(20 * time.Second)
		if !e.done(2) {
			t.Errorf("after 20 s: %v", e.state)
		}
	})
}

// Targets that have swapped are told of as free, also when the service was away
// as the last one ended.
func TestEndOfSwapsIsToldAfterAnOutage(t *testing.T) {
	hosts(t, func(row *sharedRow, e *engines, leaders map[string]*rollout.Leader) {
		name(leaders, 2)
		for !e.done(2) {
			time.Sleep(10 * time.Millisecond)
		}
		row.set(func() { row.cut = map[string]bool{"a": true, "b": true, "c": true} })
		time.Sleep(500 * time.Millisecond)
		row.set(func() { row.cut = map[string]bool{} })
		time.Sleep(time.Second)
		var r lease.Record
		row.mu.Lock()
		defer row.mu.Unlock()
		if err := json.Unmarshal(row.value, &r); err != nil || len(r.Busy)+len(r.Pending) > 0 {
			t.Errorf("after the end of all swaps the row says %+v, %v", r, err)
		}
	})
}

func TestNoOrderWithoutTheService(t *testing.T) {
	hosts(t, func(row *sharedRow, e *engines, leaders map[string]*rollout.Leader) {
		row.set(func() { row.cut = map[string]bool{"a": true, "b": true, "c": true} })
		name(leaders, 2)
		time.Sleep(10 * time.Second)
		if n := e.count(); n != 0 {
			t.Errorf("%d orders", n)
		}
	})
}
