package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

func targetIDs(v *fleet.View) []string {
	var list []string
	for _, t := range v.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func wantIDs(t *testing.T, v *fleet.View, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, targetIDs(v)); diff != "" {
		t.Fatalf("targets (-want +got):\n%s", diff)
	}
}

func TestRemoveIsImmediateWithoutOutage(t *testing.T) {
	v, now := fleet.NewView(), time.Unix(100, 0)
	v.Put(fleet.Target{ID: "a"})
	v.Put(fleet.Target{ID: "b"})
	if !v.Remove(now, "a") {
		t.Error("Remove did not remove a listed target at once")
	}
	wantIDs(t, v, "b")
}

// Targets whose entries expire during an outage of the table service must stay
// listed until they have had 2 s to register again.
func TestTargetsRegisterAgainAfterOutage(t *testing.T) {
	v, now := fleet.NewView(), time.Unix(100, 0)
	for _, id := range []string{"a", "b", "c"} {
		v.Put(fleet.Target{ID: id})
	}
	v.TableUnavailable()
	v.Remove(now, "a")
	v.Expire(now.Add(time.Minute))
	wantIDs(t, v, "a", "b", "c")
	availableAt := now.Add(time.Minute)
	v.TableAvailable(availableAt)
	v.Replace(availableAt, []fleet.Target{{ID: "c"}})
	v.Expire(availableAt.Add(1900 * time.Millisecond))
	wantIDs(t, v, "a", "b", "c")
	v.Put(fleet.Target{ID: "b"})
	if diff := cmp.Diff([]string{"a"}, v.Expire(availableAt.Add(2100*time.Millisecond))); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
	wantIDs(t, v, "b", "c")
}

// After an outage, a removal that is received later than the first answer of the
// table service is probably a target that leaves, not an expired entry. A leaving
// target may receive requests for 2 s only, so the registration grace must not delay
// its removal for longer.
func TestRemovalAfterOutageIsBoundedByLeaveTimeout(t *testing.T) {
	v, availableAt := fleet.NewView(), time.Unix(100, 0)
	v.LeaveTimeout = 2 * time.Second
	for _, id := range []string{"first", "later", "last"} {
		v.Put(fleet.Target{ID: id})
	}
	v.TableUnavailable()
	v.TableAvailable(availableAt)
	v.Remove(availableAt, "first")
	v.Remove(availableAt.Add(100*time.Millisecond), "later")
	v.Expire(availableAt.Add(1500 * time.Millisecond))
	wantIDs(t, v, "first", "last", "later")
	if diff := cmp.Diff([]string{"later"}, v.Expire(availableAt.Add(1700*time.Millisecond))); diff != "" {
		t.Errorf("expired 1.6 s after the removal (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"first"}, v.Expire(availableAt.Add(2100*time.Millisecond))); diff != "" {
		t.Errorf("expired after the registration grace (-want +got):\n%s", diff)
	}
}

func TestPutIgnoresEarlierProcess(t *testing.T) {
	v := fleet.NewView()
	v.Put(fleet.Target{ID: "a", Started: 20, Address: "new"})
	v.Put(fleet.Target{ID: "a", Started: 10, Address: "old"})
	if got, _ := v.Find("a"); got.Address != "new" {
		t.Errorf("got address %q, want that of the later process", got.Address)
	}
}

func TestPutReportsChanges(t *testing.T) {
	v := fleet.NewView()
	target := fleet.Target{ID: "a", Versions: map[string]int64{"m": 1}}
	first, again := v.Put(target), v.Put(target)
	target.Versions = map[string]int64{"m": 2}
	swapped := v.Put(target)
	if diff := cmp.Diff([]bool{true, false, true}, []bool{first, again, swapped}); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestEmptyListIsNotLoaded(t *testing.T) {
	v := fleet.NewView()
	v.Replace(time.Unix(100, 0), nil)
	if v.Loaded() {
		t.Error("Loaded reports true before any target was listed")
	}
	v.Put(fleet.Target{ID: "a"})
	v.Remove(time.Unix(100, 0), "a")
	if !v.Loaded() {
		t.Error("Loaded reports false after the only target was removed")
	}
}

// A late row of an earlier process must not cancel the removal of the present one, and a
// row that doesn't say so must not make a leaving process usable again.
func TestRowsOfEarlierProcess(t *testing.T) {
	v, now := fleet.NewView(), time.Unix(100, 0)
	v.Put(fleet.Target{ID: "a", Started: 2})
	v.Put(fleet.Target{ID: "b", Started: 2, Leaving: true})
	v.TableUnavailable()
	v.TableAvailable(now)
	v.Remove(now, "a")
	v.Put(fleet.Target{ID: "a", Started: 1})
	v.Put(fleet.Target{ID: "b", Started: 2})
	if b, _ := v.Find("b"); !b.Leaving {
		t.Error("a row of the leaving process made it usable again")
	}
	v.Expire(now.Add(time.Minute))
	wantIDs(t, v, "b")
	v.Put(fleet.Target{ID: "b", Started: 3})
	if b, _ := v.Find("b"); b.Leaving {
		t.Error("the new process counts as leaving")
	}
}

// The shared list of targets must follow each change.
func TestListFollowsChanges(t *testing.T) {
	v := fleet.NewView()
	now := time.Now()
	check := func(what string, want ...string) {
		t.Helper()
		var got []string
		for _, target := range v.Targets() {
			name := target.ID + "/" + target.FailureDomain
			if target.Leaving {
				name += "/leaving"
			}
			got = append(got, name)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: targets (-want +got):\n%s", what, diff)
		}
	}
	check("empty")
	v.Put(fleet.Target{ID: "b", FailureDomain: "north"})
	check("added", "b/north")
	v.Put(fleet.Target{ID: "a", FailureDomain: "north"})
	check("added in front", "a/north", "b/north")
	v.Put(fleet.Target{ID: "a", FailureDomain: "south"})
	check("moved", "a/south", "b/north")
	v.MarkLeaving("b", 0)
	check("leaving", "a/south", "b/north/leaving")
	v.Remove(now, "a")
	check("removed", "b/north/leaving")
	v.Replace(now, []fleet.Target{{ID: "c", FailureDomain: "north"}})
	check("replaced", "c/north")
}
