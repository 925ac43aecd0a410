package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// environment implements the interfaces that a Group depends on: it returns a
// report of fixed size, records that do not change, and the list of all hosts.
type environment struct {
	hosts             []platform.Host
	accounts, targets int
}

func (e *environment) Hosts(context.Context) ([]platform.Host, error) { return e.hosts, nil }
func (e *environment) MergeSuspects([]retry.Suspect)                  {}
func (e *environment) MergeLeaving([]LeavingTarget)                   {}
func (e *environment) MergeLimits([]TargetLimit)                      {}
func (e *environment) MergeBrittle([]TargetLimit)                     {}
func (e *environment) TargetLeaving(string)                           {}
func (e *environment) ObserveFor(*wire.ObserveRequest)                {}
func (e *environment) Current() *record.Set                           { return record.NewSet() }
func (e *environment) ContactAge() (time.Duration, bool)              { return 0, true }
func (e *environment) CatchupFor(int64) recordstore.Catchup           { return recordstore.Catchup{} }
func (e *environment) Wake()                                          {}
func (e *environment) DecideFor(context.Context, *wire.DecideRequest) (*wire.DecideResponse, error) {
	return &wire.DecideResponse{}, nil
}

func (e *environment) PeerReport() Report {
	report := Report{}
	for i := range e.accounts {
		report.Demands = append(report.Demands, AccountDemand{Account: fmt.Sprintf("account-%03d", i), TokensPerSecond: 1000, InFlight: 3})
	}
	return report
}

func (e *environment) PeerLoads() (loads []placement.TargetLoad) {
	for i := range e.targets {
		loads = append(loads, placement.TargetLoad{Target: fmt.Sprintf("engine-%05d", i), Requests: 2, PrefillTokens: 4000, Slowness: 1, HeldTokens: 9000})
	}
	return loads
}

// countedConn adds the bytes read and written to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkTraffic measures the traffic among hosts that use records and pool owners.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			measureTraffic(b, n, time.Second, 2, &environment{accounts: 16, targets: 24})
		})
	}
}

// BenchmarkRoutedTraffic measures the traffic among routed hosts. The first size stands
// for both deployments served today, which have 8 and 9 hosts and 15 and 12 targets. The
// second has twice as many hosts and targets. The third is a larger deployment, in which
// each report has its maximum length of 64 loads.
func BenchmarkRoutedTraffic(b *testing.B) {
	for _, size := range []struct{ hosts, targets int }{{8, 15}, {16, 30}, {61, 64}} {
		b.Run(fmt.Sprintf("hosts=%d/targets=%d", size.hosts, size.targets), func(b *testing.B) {
			measureTraffic(b, size.hosts, 100*time.Millisecond, 3, &environment{targets: size.targets})
		})
	}
}

// measureTraffic runs n groups on loopback and counts the bytes on the client side
// of their calls. Over all hosts, that is half of the bytes on all sockets.
func measureTraffic(b *testing.B, n int, interval time.Duration, fanOut int, env *environment) {
	b.Helper()
	var bytes, calls atomic.Int64
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConns: 64 * n, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, bytes: &bytes}, nil
		},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var groups []*Group
	for i := range n {
		g := &Group{
			Self:   membership.Member{Name: fmt.Sprintf("host-%03d", i), FailureDomain: "west", Incarnation: 1},
			Params: membership.Params{SuspicionTimeout: 5 * time.Second, ForgetAfter: time.Minute}, Interval: interval, FanOut: fanOut,
			HostList: env, Clock: clock.System{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			HTTP: client, Local: env, Records: env, Ready: func() bool { return true },
		}
		server := httptest.NewUnstartedServer(nil)
		g.Self.URL = "http://" + server.Listener.Addr().String()
		g.Init()
		handler := g.Handler()
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler.ServeHTTP(w, r)
		})
		server.Start()
		defer server.Close()
		env.hosts = append(env.hosts, platform.Host{Name: g.Self.Name, URL: g.Self.URL, Kind: "entry"})
		groups = append(groups, g)
	}
	for _, g := range groups {
		go func() { _ = g.Run(ctx) }()
	}
	time.Sleep(15 * time.Second) // The members find each other before the measurement.
	bytes.Store(0)
	calls.Store(0)
	before := processTime(b)
	const measured = 5 * time.Second
	time.Sleep(measured)
	perHost := float64(n) * measured.Seconds()
	b.ReportMetric(2*float64(bytes.Load())/perHost, "bytes/host-s")
	b.ReportMetric(float64(calls.Load())/perHost, "calls/host-s")
	b.ReportMetric(float64((processTime(b)-before).Microseconds())/perHost, "cpu-µs/host-s")
	b.ReportMetric(float64(groups[0].HostCount()), "live")
	cancel()
	client.CloseIdleConnections()
}

func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
