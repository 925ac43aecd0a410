package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
)

var begin = time.Unix(1000, 0)

func targets(n int) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{ID: fmt.Sprintf("t%02d", i), Versions: map[string]int64{"m": 1}})
	}
	return list
}

func newPlan() *rollout.Plan {
	return &rollout.Plan{AtOnce: 0.16, Loads: 2, Drain: 300 * time.Millisecond, Settle: 150 * time.Millisecond, Repeat: 6 * time.Second, Within: 15 * time.Second}
}

// play swaps all targets, each in takes after its order, and returns the most
// that were out of use at once and the time of the last.
func play(p *rollout.Plan, list []fleet.Target, named []rollout.RequestedVersion, takes time.Duration) (most int, last time.Duration) {
	done := map[int]time.Time{}
	version := map[int]int64{}
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		for i, at := range done {
			if !now.Before(at) {
				list[i].Versions = map[string]int64{"m": version[i]}
				delete(done, i)
				last = now.Sub(begin)
			}
		}
		var known []rollout.RequestedVersion
		for _, n := range named {
			if !n.Since.After(now) {
				known = append(known, n)
			}
		}
		p.Update(now, list, known)
		for _, order := range p.Due(now, list) {
			for i := range list {
				if list[i].ID == order.Target.ID {
					done[i], version[i] = now.Add(takes), order.Version
				}
			}
			p.Accepted(now, order.Target.ID)
		}
		closed, _ := p.Swapping()
		most = max(most, len(closed))
	}
	return most, last
}

func TestFewTargetsSwapAtOnceAndAllInTime(t *testing.T) {
	for name, n := range map[string]int{"nine": 9, "twelve": 12, "many": 140} {
		t.Run(name, func(t *testing.T) {
			list := targets(n)
			named := []rollout.RequestedVersion{{Model: "m", Version: 2, Since: begin}}
			p := newPlan()
			p.Loads = max(2, n/6)
			most, last := play(p, list, named, 1500*time.Millisecond)
			if most > max(2, n/3) || last > 15*time.Second || last == 0 {
				t.Errorf("%d out of use at once, the last was done after %s", most, last)
			}
			for _, target := range list {
				if target.Versions["m"] != 2 {
					t.Errorf("%s has version %d", target.ID, target.Versions["m"])
				}
			}
		})
	}
}

// A swap that is under way is finished before a version that was named
// meanwhile; the target isn't kept out of use until an order is repeated.
func TestNewerVersionDuringASwap(t *testing.T) {
	list := targets(4)
	named := []rollout.RequestedVersion{{Model: "m", Version: 2, Since: begin}}
	p := newPlan()
	p.Update(begin, list, named)
	at := begin.Add(time.Second)
	p.Update(at, list, named)
	at = at.Add(time.Second)
	due := p.Due(at, list)
	if len(due) == 0 {
		t.Fatal("no order is due")
	}
	p.Accepted(at, due[0].Target.ID)
	newer := []rollout.RequestedVersion{{Model: "m", Version: 3, Since: at}}
	p.Update(at, list, newer)
	for i := range list {
		if list[i].ID == due[0].Target.ID {
			list[i].Versions = map[string]int64{"m": 2}
		}
	}
	p.Update(at.Add(time.Second), list, newer)
	closed, _ := p.Swapping()
	for _, id := range closed {
		if id == due[0].Target.ID {
			t.Errorf("%s is still out of use after its swap", id)
		}
	}
}

func TestOrdersAreRepeatedOnlyAfterAWhile(t *testing.T) {
	list := targets(1)
	named := []rollout.RequestedVersion{{Model: "m", Version: 2, Since: begin}}
	p := newPlan()
	p.Update(begin, list, named)
	p.Update(begin.Add(time.Second), list, named)
	var sent []time.Duration
	for now := begin; now.Before(begin.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for range p.Due(now, list) {
			sent = append(sent, now.Sub(begin))
			p.Accepted(now, "t00")
		}
	}
	want := []time.Duration{1200 * time.Millisecond, 7200 * time.Millisecond}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("orders sent at (-want +got):\n%s", diff)
	}
}

// Each version is due from its own naming. Targets with the least in their cache
// swap first, until those that are due first need all the time that is left.
func TestOrderOfSwaps(t *testing.T) {
	named := rollout.RequestedVersion{Model: "m"}.Supersede(2, begin).Supersede(3, begin.Add(4*time.Second))
	for version, want := range map[int64]time.Duration{1: 0, 2: 4 * time.Second} {
		if got := named.BehindSince(version).Sub(begin); got != want {
			t.Errorf("version %d is behind since %s, want %s", version, got, want)
		}
	}
	for after, want := range map[time.Duration]string{5 * time.Second: "t00", 11 * time.Second: "t05"} {
		list := targets(6)
		for i := range 3 {
			list[i].Versions = map[string]int64{"m": 2}
		}
		p := newPlan()
		p.Update(begin.Add(after), list, []rollout.RequestedVersion{named})
		_, draining := p.Swapping()
		if !slices.Contains(draining, want) {
			t.Errorf("after %s: got %v, want %s among them", after, draining, want)
		}
	}
}

// Targets that are behind the last version only don't count for the time of the
// one before.
func TestHasteIsForThoseThatAreDue(t *testing.T) {
	named := rollout.RequestedVersion{Model: "m"}.Supersede(2, begin).Supersede(3, begin.Add(7*time.Second))
	list := targets(12)
	for i := range 10 {
		list[i].Versions = map[string]int64{"m": 2}
	}
	p := newPlan()
	p.Update(begin.Add(8*time.Second), list, []rollout.RequestedVersion{named})
	closed, draining := p.Swapping()
	if got := len(closed) + len(draining); got != 2 {
		t.Errorf("%d swap at once, want 2: two are due in 7 s, ten in 14 s", got)
	}
}

func TestLeavingTargetsAreLeftAlone(t *testing.T) {
	list := targets(2)
	list[0].Leaving = true
	p := newPlan()
	p.Update(begin, list, []rollout.RequestedVersion{{Model: "m", Version: 2, Since: begin}})
	_, draining := p.Swapping()
	if diff := cmp.Diff([]string{"t01"}, draining); diff != "" {
		t.Errorf("draining (-want +got):\n%s", diff)
	}
}
