package gateway_test

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// fixedLoads are the loads that other hosts report.
type fixedLoads map[string]placement.TargetLoad

func (l fixedLoads) Loads() map[string]placement.TargetLoad { return l }

// paced makes a fixture divide requests by the speed of targets.
func (f *fixture) paced() {
	f.Config.Pace.Enabled = true
	f.Init()
	f.TargetsChanged()
}

// taking answers after a time that depends on the target, 20 ms by default.
func taking(times map[string]time.Duration) step {
	return func(_ context.Context, call *gateway.Call) (gateway.Reply, error) {
		took := times[call.Target.ID]
		if took == 0 {
			took = 20 * time.Millisecond
		}
		time.Sleep(took)
		return &fakeReply{status: http.StatusOK, body: "yes"}, nil
	}
}

// reportedSums are the sums of peers for requests that took a time, some hundred of them.
func reportedSums(took time.Duration) pace.Sums {
	const samples = 100
	return pace.Sums{Samples: []float64{0, samples}, Seconds: []float64{0, samples * took.Seconds()}}
}

// Without what peers report, a slow target would be used like the others. Without the setting,
// nothing may change.
func TestSlowTargetOfPlainServiceGetsFewRequests(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			f := newFixture(t, taking(map[string]time.Duration{"d3": 25 * time.Millisecond}))
			if enabled {
				f.paced()
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.FollowPeers(ctx, fixedLoads{
				"d1": {Target: "d1", Pace: reportedSums(20 * time.Millisecond)},
				"d2": {Target: "d2", Pace: reportedSums(20 * time.Millisecond)},
				"d3": {Target: "d3", Pace: reportedSums(200 * time.Millisecond)},
			})
			time.Sleep(time.Second)
			calls := serveFor(t, f, 10*time.Second)
			total := calls["d1"] + calls["d2"] + calls["d3"]
			if slow := calls["d3"] < total/5; slow != enabled || calls["d1"] < total/5 || calls["d2"] < total/5 {
				t.Errorf("calls %v with pace %t", calls, enabled)
			}
			unknown, changed := metrics.GetOrRegisterCounter("targets.paceUnknown", f.Metrics), metrics.GetOrRegisterCounter("targets.paceChanged", f.Metrics)
			if unknown.Count() != 0 || enabled != (changed.Count() > 0) {
				t.Errorf("%d requests placed without times, %d changes, with pace %t", unknown.Count(), changed.Count(), enabled)
			}
		})
	}
}

// A host that knows no times of others must place requests as before, and count that.
func TestHostWithoutTimesOfPeersPlacesAsBefore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, taking(nil))
		f.paced()
		calls := serveFor(t, f, 5*time.Second)
		for _, id := range []string{"d1", "d2", "d3"} {
			if calls[id] == 0 {
				t.Errorf("calls %v, want some at each target", calls)
			}
		}
		if n := metrics.GetOrRegisterCounter("targets.paceUnknown", f.Metrics).Count(); n == 0 {
			t.Error("no request counted as placed without times of peers")
		}
	})
}

// Peers would not learn of the times at plain services, nor of refusals.
func TestReportHoldsTimesOfPlainServices(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		refusing := true
		f := newFixture(t, func(_ context.Context, call *gateway.Call) (gateway.Reply, error) {
			time.Sleep(20 * time.Millisecond)
			if call.Target.ID == "d2" && refusing {
				return nil, &gateway.NotRunError{Status: http.StatusServiceUnavailable}
			}
			return &fakeReply{status: http.StatusOK, body: "yes"}, nil
		})
		f.paced()
		for range 12 {
			f.serve(request(routing.NonIdempotent, 3))
		}
		reported := map[string]placement.TargetLoad{}
		for _, l := range f.PeerLoads() {
			reported[l.Target] = l
		}
		if l := reported["d1"]; len(l.Pace.Samples) != 2 || math.Abs(l.Pace.Seconds[1]/l.Pace.Samples[1]-0.02) > 1e-6 {
			t.Errorf("sums %+v of a target that answers after 20 ms", l.Pace)
		}
		if l := reported["d2"]; len(l.Pace.Refused) == 0 || len(l.Pace.Samples) > 0 {
			t.Errorf("sums %+v of a target that refuses requests", l.Pace)
		}
	})
}
