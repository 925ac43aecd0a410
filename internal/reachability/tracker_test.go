package reachability_test

import (
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/reachability"
)

type dial struct {
	at      time.Duration
	address string
	opened  bool
}

func TestPathIsLostWhenNoConnectionIsOpened(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		listed int
		dials  []dial
		lost   bool
	}{
		"no connection yet":               {5, nil, false},
		"three targets fail for a while":  {5, []dial{{0, "a", false}, {100 * ms, "b", false}, {250 * ms, "c", false}}, true},
		"three targets fail at once":      {5, []dial{{0, "a", false}, {ms, "b", false}, {2 * ms, "c", false}}, false},
		"one target fails again":          {5, []dial{{0, "a", false}, {300 * ms, "a", false}, {600 * ms, "a", false}}, false},
		"the only two targets fail":       {2, []dial{{0, "a", false}, {250 * ms, "b", false}}, true},
		"another target is reached":       {5, []dial{{0, "a", false}, {100 * ms, "d", true}, {150 * ms, "b", false}, {250 * ms, "c", false}}, false},
		"a target is reached again":       {5, []dial{{0, "a", false}, {100 * ms, "b", false}, {250 * ms, "c", false}, {300 * ms, "a", true}}, false},
		"targets fail long after another": {5, []dial{{0, "a", false}, {time.Hour, "b", false}, {2 * time.Hour, "c", false}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker reachability.Tracker
			begin := time.Now()
			for _, d := range test.dials {
				if d.opened {
					tracker.Opened()
				} else {
					tracker.Failed(begin.Add(d.at), d.address, test.listed)
				}
			}
			if tracker.Lost() != test.lost {
				t.Errorf("got lost %t, want %t", tracker.Lost(), test.lost)
			}
		})
	}
}
