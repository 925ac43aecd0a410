package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

func ids(v *fleet.View) []string {
	var list []string
	for _, t := range v.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func wantIDs(t *testing.T, v *fleet.View, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, ids(v)); diff != "" {
		t.Fatalf("targets (-want +got):\n%s", diff)
	}
}

func TestDropIsAtOnceWhileTheListIsGood(t *testing.T) {
	v, now := fleet.NewView(), time.Unix(100, 0)
	v.Put(fleet.Target{ID: "a"})
	v.Put(fleet.Target{ID: "b"})
	if !v.Remove(now, "a") {
		t.Error("a known target is dropped later")
	}
	wantIDs(t, v, "b")
}

// Targets whose entries lapsed while the table service was away have two
// seconds after its return to register again.
func TestTargetsReturnAfterAnOutage(t *testing.T) {
	v, now := fleet.NewView(), time.Unix(100, 0)
	for _, id := range []string{"a", "b", "c"} {
		v.Put(fleet.Target{ID: id})
	}
	v.TableUnavailable()
	v.Remove(now, "a")
	v.Expire(now.Add(time.Minute))
	wantIDs(t, v, "a", "b", "c")
	back := now.Add(time.Minute)
	v.TableAvailable(back)
	v.Replace(back, []fleet.Target{{ID: "c"}})
	v.Expire(back.Add(1900 * time.Millisecond))
	wantIDs(t, v, "a", "b", "c")
	v.Put(fleet.Target{ID: "b"})
	if diff := cmp.Diff([]string{"a"}, v.Expire(back.Add(2100*time.Millisecond))); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
	wantIDs(t, v, "b", "c")
}

// A removal behind the first answer of the returned service is more likely to be
// a target that leaves, which may be sent requests for two seconds only.
func TestRemovalAfterTheReturnIsBoundedByItself(t *testing.T) {
	v, back := fleet.NewView(), time.Unix(100, 0)
	v.LeaveWithin = 2 * time.Second
	for _, id := range []string{"first", "later", "last"} {
		v.Put(fleet.Target{ID: id})
	}
	v.TableUnavailable()
	v.TableAvailable(back)
	v.Remove(back, "first")
	v.Remove(back.Add(100*time.Millisecond), "later")
	v.Expire(back.Add(1500 * time.Millisecond))
	wantIDs(t, v, "first", "last", "later")
	if diff := cmp.Diff([]string{"later"}, v.Expire(back.Add(1700*time.Millisecond))); diff != "" {
		t.Errorf("expired after its own time (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"first"}, v.Expire(back.Add(2100*time.Millisecond))); diff != "" {
		t.Errorf("expired after the return's time (-want +got):\n%s", diff)
	}
}

func TestWhatAnEarlierProcessToldLateIsIgnored(t *testing.T) {
	v := fleet.NewView()
	v.Put(fleet.Target{ID: "a", Started: 20, Address: "new"})
	v.Put(fleet.Target{ID: "a", Started: 10, Address: "old"})
	if got, _ := v.Find("a"); got.Address != "new" {
		t.Errorf("got address %q, want that of the later process", got.Address)
	}
}

func TestPutTellsOfChangesOnly(t *testing.T) {
	v := fleet.NewView()
	target := fleet.Target{ID: "a", Versions: map[string]int64{"m": 1}}
	first, again := v.Put(target), v.Put(target)
	target.Versions = map[string]int64{"m": 2}
	swapped := v.Put(target)
	if diff := cmp.Diff([]bool{true, false, true}, []bool{first, again, swapped}); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestAnEmptyListIsNotKnown(t *testing.T) {
	v := fleet.NewView()
	v.Replace(time.Unix(100, 0), nil)
	if v.Loaded() {
		t.Error("known without a target")
	}
	v.Put(fleet.Target{ID: "a"})
	v.Remove(time.Unix(100, 0), "a")
	if !v.Loaded() {
		t.Error("a host forgets that it has known targets")
	}
}
