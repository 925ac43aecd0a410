package peer

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// collectorOfMany returns a collector of a group of n hosts, each of which has placed requests on 16 of the
// given number of targets, and the reports of the hosts that report to it.
func collectorOfMany(n, targets int) (*server, []*wire.CollectLoadsRequest) {
	g := &Group{
		Self: membership.Member{Name: "collector", Incarnation: 1}, Clock: clock.System{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		HostList: &environment{}, HTTP: http.DefaultClient, Local: &loadedHost{}, CollectLoads: true,
	}
	g.Init()
	load := func(target int) placement.TargetLoad {
		return placement.TargetLoad{Target: fmt.Sprint("engine-", target), Requests: 1, PrefillTokens: 100, HeldTokens: 1000, Slowness: 1}
	}
	s, hosts := &server{group: g}, int(math.Sqrt(float64(n)))
	var reports []*wire.CollectLoadsRequest
	for i := range hosts {
		var own, sum []placement.TargetLoad
		for j := range 16 {
			own = append(own, load((i*16+j)%targets))
		}
		for j := range targets {
			sum = append(sum, load(j))
		}
		reports = append(reports, &wire.CollectLoadsRequest{Host: fmt.Sprint("host-", i), Loads: encodeLoads(own)})
		_, _ = s.CollectLoads(context.Background(), &wire.CollectLoadsRequest{Host: fmt.Sprint("other-", i), Collector: true, Loads: encodeLoads(sum)})
	}
	return s, reports
}

// Each answer of a collector added up the loads of all hosts, so that one spent the product of hosts and
// targets in each interval.
func TestAnswersOfCollectorCostTheSameWithManyHosts(t *testing.T) {
	measure := func(hosts int) time.Duration {
		s, reports := collectorOfMany(hosts, 240)
		best := time.Hour
		for range 10 {
			s.group.collected.added = nil // An interval has passed.
			began := time.Now()
			for _, report := range reports {
				_, _ = s.CollectLoads(context.Background(), report)
			}
			best = min(best, time.Since(began)/time.Duration(len(reports)))
		}
		return best
	}
	few, many := measure(16), measure(1024)
	t.Logf("an answer takes %s with 16 hosts, %s with 1,024", few, many)
	if 2*many > 3*few {
		t.Errorf("an answer takes %s with 16 hosts and %s with 1,024, want about the same", few, many)
	}
}

// A host must get the loads of all others and not its own, whichever hosts have placed requests on the same target.
func TestAnswerOfCollectorLeavesOutOwnLoads(t *testing.T) {
	load := func(target string, requests int, slowness float64) placement.TargetLoad {
		return placement.TargetLoad{Target: target, Requests: requests, PrefillTokens: 10 * float64(requests), HeldTokens: 100 * float64(requests), Slowness: slowness}
	}
	paced := load("d", 1, 1)
	paced.Pace = pace.Sums{Samples: []float64{2}, Seconds: []float64{1}}
	for name, more := range map[string][]placement.TargetLoad{"no times": nil, "times of a target": {paced}} {
		t.Run(name, func(t *testing.T) {
			s, _ := collectorOfMany(0, 0)
			s.group.Local.(*loadedHost).loads = []placement.TargetLoad{load("a", 1, 2)}
			for _, report := range []*wire.CollectLoadsRequest{
				{Host: "x", Loads: encodeLoads([]placement.TargetLoad{load("a", 2, 3), load("b", 3, 1)})},
				{Host: "y", Loads: encodeLoads(append([]placement.TargetLoad{load("a", 4, 1)}, more...))},
				{Host: "other", Collector: true, Loads: encodeLoads([]placement.TargetLoad{load("c", 5, 1)})},
			} {
				_, _ = s.CollectLoads(context.Background(), report)
			}
			s.group.collected.added = nil // Adds up again.
			got, _ := decodeLoads(s.group.addedUp().without("x"))
			slices.SortFunc(got, func(a, b placement.TargetLoad) int { return strings.Compare(a.Target, b.Target) })
			want := append([]placement.TargetLoad{load("a", 5, 2), load("c", 5, 1)}, more...)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("loads of all hosts but one (-want +got):\n%s", diff)
			}
		})
	}
}
