package targetlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

const step = 20 * time.Millisecond

// play lets hosts call a target whenever its limit allows it, and returns the times of the
// calls. position is that of a host as it sees itself.
func play(hosts int, perSecond float64, duration time.Duration, position func(host int) targetlimit.Position) []time.Duration {
	begin := time.Unix(1000, 0)
	limits := make([]targetlimit.Limits, hosts)
	for i := range limits {
		limits[i].Add(begin, targetlimit.Statement{Target: "t", Limited: true, PerSecond: perSecond, At: begin})
	}
	var calls []time.Duration
	for at := time.Duration(0); at < duration; at += step {
		for i := range limits {
			for limits[i].Wait(begin.Add(at), "t", position(i)) == 0 {
				limits[i].Take(begin.Add(at), "t", position(i))
				calls = append(calls, at)
			}
		}
	}
	return calls
}

// mostIn returns the highest number of calls in any window.
func mostIn(calls []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range calls {
		for calls[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A target takes half as many calls again as it states in 4 s, and 5 more.
func TestHostsTogetherKeepToLimit(t *testing.T) {
	const window, duration = 4 * time.Second, time.Minute
	for _, hosts := range []int{1, 2, 9, 65, 295} {
		for _, perSecond := range []float64{0, 0.3, 1, 2.6, 10, 60} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, perSecond), func(t *testing.T) {
				for name, position := range map[string]func(host int) targetlimit.Position{
					"agreed": func(host int) targetlimit.Position { return targetlimit.Position{Hosts: hosts, Rank: host} },
					"one host unknown to half of the others": func(host int) targetlimit.Position {
						if host%2 == 0 {
							return targetlimit.Position{Hosts: hosts, Rank: host}
						}
						return targetlimit.Position{Hosts: max(1, hosts-1), Rank: max(0, host-1)}
					},
				} {
					calls := play(hosts, perSecond, duration, position)
					if most, bound := mostIn(calls, window), 1.5*perSecond*window.Seconds()+5; float64(most) > bound {
						t.Errorf("%s: %d calls in %s, want at most %g", name, most, window, bound)
					}
					if least := int(0.8 * perSecond * duration.Seconds()); len(calls) < max(1, least) {
						t.Errorf("%s: %d calls in %s, want at least %d", name, len(calls), duration, max(1, least))
					}
				}
			})
		}
	}
}

// A call that can't wait is made up for by later ones.
func TestCallsThatCannotWaitAreMadeUpFor(t *testing.T) {
	var limits targetlimit.Limits
	now := time.Unix(1000, 0)
	limits.Add(now, targetlimit.Statement{Target: "t", Limited: true, PerSecond: 1, At: now})
	alone := targetlimit.Position{Hosts: 1}
	for range 3 {
		limits.Take(now, "t", alone)
	}
	if wait := limits.Wait(now, "t", alone); wait < 4*time.Second || wait > 5*time.Second {
		t.Errorf("the next call has to wait %s after three at once, want 4 s to 5 s", wait)
	}
}

// The latest statement of the latest process counts, in whatever order statements arrive.
func TestLatestStatementCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := targetlimit.Statement{Target: "t", Started: 1, Limited: true, PerSecond: 2, At: now}
	lower, lifted, restarted := limited, limited, limited
	lower.PerSecond, lower.At = 1, now.Add(time.Second)
	lifted.Limited, lifted.At = false, now.Add(2*time.Second)
	restarted.Started, restarted.At = 2, now.Add(-time.Second)
	for name, test := range map[string]struct {
		added []targetlimit.Statement
		want  []targetlimit.Statement
	}{
		"lowered":                     {[]targetlimit.Statement{limited, lower}, []targetlimit.Statement{lower}},
		"lowered, old one comes last": {[]targetlimit.Statement{lower, limited}, []targetlimit.Statement{lower}},
		"lifted":                      {[]targetlimit.Statement{limited, lifted}, []targetlimit.Statement{lifted}},
		"lifted, old one comes last":  {[]targetlimit.Statement{limited, lifted, lower}, []targetlimit.Statement{lifted}},
		"never limited":               {[]targetlimit.Statement{lifted}, nil},
		"process restarted":           {[]targetlimit.Statement{lower, restarted}, []targetlimit.Statement{restarted}},
		"earlier process comes last":  {[]targetlimit.Statement{restarted, lower}, []targetlimit.Statement{restarted}},
	} {
		t.Run(name, func(t *testing.T) {
			var limits targetlimit.Limits
			for _, s := range test.added {
				limits.Add(now, s)
			}
			if diff := cmp.Diff(test.want, limits.Report(now.Add(3*time.Second), time.Minute, 10)); diff != "" {
				t.Errorf("statements (-want +got):\n%s", diff)
			}
			limits.Retain(func(string, int64) bool { return false })
			if limits.Limited("t") {
				t.Error("a target that is gone still has a limit")
			}
		})
	}
}
