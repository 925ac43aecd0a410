package gateway_test

import (
	stdcmp "cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// shardGroup connects the gateways of several hosts, of which one owns all shards.
type shardGroup struct {
	owner string
	hosts map[string]*fixture
	// before are hosts that are taken for the owner first. They answer that they place nothing.
	before []string
	// silent makes calls to the owner time out, and gone says that it is known to be dead. changed is applied to each answer of the owner. delay is
	// the time that each answer takes.
	silent bool
	gone   bool
	// suspect makes the owner a suspect.
	suspect bool
	// earlier makes the owner a host of an earlier build.
	earlier bool
	changed func(*wire.PlaceResponse)
	delay   time.Duration

	mu sync.Mutex
	// lost is the number of hosts that are no longer live.
	lost     int
	asked    int
	reports  int
	progress []*wire.TicketProgress
}

func (g *shardGroup) ShardOwners(_ string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	owners := append(slices.Clone(g.before), g.owner)
	return owners[:min(n, len(owners))]
}

// setSilent makes calls to the owner time out from now on, or not.
func (g *shardGroup) setSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

func (g *shardGroup) HostCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 20 - g.lost
}

// lose reduces the number of live hosts.
func (g *shardGroup) lose(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost += n
}

func (g *shardGroup) Starting() bool { return false }

func (g *shardGroup) Place(ctx context.Context, host string, q *wire.PlaceRequest) (*wire.PlaceResponse, error) {
	g.mu.Lock()
	g.asked++
	silent := g.silent
	g.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if g.delay > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(g.delay):
		}
	}
	if g.earlier {
		return nil, peer.ErrUnknownCall
	}
	if slices.Contains(g.before, host) {
		return &wire.PlaceResponse{}, nil
	}
	p := g.hosts[host].PlaceFor(q)
	if g.changed != nil {
		g.changed(p)
	}
	return p, nil
}

func (g *shardGroup) ReportProgress(_ context.Context, host string, q *wire.ProgressRequest) (*wire.ProgressResponse, error) {
	g.mu.Lock()
	g.reports++
	silent := g.silent
	if g.suspect {
		g.mu.Unlock()
		return nil, peer.ErrHostSuspect
	}
	if g.gone {
		g.mu.Unlock()
		return nil, fmt.Errorf("%w: %s", peer.ErrHostGone, host)
	}
	if !silent {
		g.progress = append(g.progress, q.Progress...)
	}
	g.mu.Unlock()
	if silent {
		return nil, errors.New("no answer")
	}
	return g.hosts[host].ProgressFor(q), nil
}

// newShardGroup returns a host and the owner of the shards, whose targets answer by a script.
func newShardGroup(t *testing.T, script ...step) (group *shardGroup, host, owner *fixture) {
	t.Helper()
	host, owner = newFixture(t, script...), newFixture(t, script...)
	group = &shardGroup{owner: "owner", hosts: map[string]*fixture{"h": host, "owner": owner}}
	owner.Host = "owner"
	for _, f := range group.hosts {
		f.ShardRelay = group
		f.Config.Shards.AboveHosts = 12
		f.TargetsChanged()
	}
	return group, host, owner
}

// load returns the number of requests that a host has placed on targets.
func load(f *fixture) int {
	n := 0
	for _, l := range f.PeerLoads() {
		n += l.Requests
	}
	return n
}

// A request that is placed by its own host as well would be counted twice, or one that has ended would
// take room at the owner for ever.
func TestOwnerOfShardCountsRequestsOfOtherHosts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, owner := newShardGroup(t, pausing(1, 1, time.Second, 3))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go host.ReportProgress(ctx)
		sink := make(chan *fakeSink)
		go func() { sink <- host.serve(request(routing.Stream, 1)) }()
		time.Sleep(500 * time.Millisecond)
		if got, want := []int{load(host), load(owner)}, []int{0, 1}; !cmp.Equal(got, want) {
			t.Errorf("requests counted at the host and at the owner while the answer runs (-want +got):\n%s", cmp.Diff(want, got))
		}
		if s := <-sink; s.body != "123" {
			t.Errorf("got %q, want the whole answer", s.body)
		}
		time.Sleep(time.Second)
		if got := load(owner); got != 0 || group.asked != 1 {
			t.Errorf("requests counted after the end: %d, calls to the owner: %d, want none and 1", got, group.asked)
		}
	})
}

// A host that waits for an owner which is gone would answer its callers late.
func TestSilentOwnerOfShardIsNotAwaited(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.silent = true
		began := time.Now()
		for range 5 {
			if s := host.serve(request(routing.Stream, 1)); s.body != "12" {
				t.Errorf("got %q and refusal %v, want the answer", s.body, s.refused)
			}
		}
		if took := time.Since(began); took > 200*time.Millisecond || group.asked != 1 {
			t.Errorf("5 requests took %s and asked the owner %d times, want at most 200ms and one call", took, group.asked)
		}
		time.Sleep(2 * time.Second)
		group.silent = false
		host.serve(request(routing.Stream, 1))
		if group.asked != 2 {
			t.Errorf("the owner was asked %d times, want again after it was avoided for a second", group.asked)
		}
	})
}

// Three hosts that each answer just within the limit would hold a request back three times as long.
func TestHostsThatPlaceNothingAreNotAskedOneAfterAnother(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.before, group.delay = []string{"b1", "b2"}, 70*time.Millisecond
		began := time.Now()
		if s := host.serve(request(routing.Stream, 1)); s.body != "12" {
			t.Errorf("got %q and refusal %v, want the answer", s.body, s.refused)
		}
		if took := time.Since(began); took > 160*time.Millisecond {
			t.Errorf("the request took %s, want at most 160ms", took)
		}
	})
}

// A caller that leaves while the owner is asked says nothing about the owner. If it were avoided, two
// hosts would place requests on the same targets for a second, several times a second.
func TestOwnerIsNotAvoidedWhenCallersLeave(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.delay = 50 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		host.Serve(ctx, request(routing.Stream, 1), &fakeSink{})
		host.serve(request(routing.Stream, 1))
		if group.asked != 2 {
			t.Errorf("the owner was asked %d times for two requests, want twice", group.asked)
		}
	})
}

// The ticket of a host that is gone, or whose answer was lost, must not take room of a target for ever.
func TestTicketsOfLostHostsExpire(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		_, _, owner := newShardGroup(t, stream(1, 2, io.EOF))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go owner.ReportProgress(ctx)
		shard := "loom/1/0"
		q := func(id string) *wire.PlaceRequest {
			return &wire.PlaceRequest{
				Host: "h", RequestId: id, Service: loom, Shard: shard, Model: letter, PromptTokens: 300, AnswerTokens: 20, LeftMillis: 5000, GoalMillis: 100,
				Parts: []*wire.PromptPart{{Key: "shared", Tokens: 200}, {Key: "own", Tokens: 100}},
			}
		}
		for _, id := range []string{"a", "b"} {
			if p := owner.PlaceFor(q(id)); p.Ticket == 0 {
				t.Fatalf("request %s not placed: %s", id, p.Refusal)
			}
		}
		owner.ProgressFor(&wire.ProgressRequest{Host: "h", Progress: []*wire.TicketProgress{{AbandonedRequest: "a", Ended: true}}})
		if got := load(owner); got != 1 {
			t.Errorf("requests counted after one was abandoned: %d, want 1", got)
		}
		owner.ProgressFor(&wire.ProgressRequest{Host: "other", Progress: []*wire.TicketProgress{{AbandonedRequest: "b", Ended: true}}})
		if got := load(owner); got != 1 {
			t.Errorf("requests counted after another host abandoned one of the same ID: %d, want 1", got)
		}
		time.Sleep(7 * time.Second)
		if got := load(owner); got != 0 {
			t.Errorf("requests counted after the deadline: %d, want none", got)
		}
	})
}

// setAccounts applies a version of the configuration with other client accounts.
func (f *fixture) setAccounts(accounts ...routing.Account) {
	cfg := *f.Routes()
	cfg.Version++
	cfg.Accounts = accounts
	cfg.Index()
	f.SetRoutes(&cfg)
}

// The owner may know an earlier list of targets, configuration or version of weights than the host that
// sends the request.
func TestPlacementsOfOwnerAreChecked(t *testing.T) {
	for name, test := range map[string]struct {
		change func(host, owner *fixture)
		// fetch tells whether the parts that the owner names may be fetched.
		want, fetch bool
	}{
		"alike": {func(*fixture, *fixture) {}, true, true},
		"targets are leaving": {func(host, _ *fixture) {
			for _, id := range []string{"e1", "e2"} {
				host.Fleet.Put(fleet.Target{ID: id, Service: loom, Address: id + ":1", Slots: 16, Leaving: true, Versions: map[string]int64{letter: 1}})
			}
		}, false, false},
		"targets serve another service": {func(host, _ *fixture) {
			for _, id := range []string{"e1", "e2"} {
				host.Fleet.Put(fleet.Target{ID: id, Service: docks, Address: id + ":1", Slots: 16, Versions: map[string]int64{letter: 1}})
			}
		}, false, false},
		"weights were replaced long ago": {func(host, _ *fixture) {
			host.requestVersion(2)
			time.Sleep(time.Minute)
		}, false, false},
		"account is isolated meanwhile": {func(host, _ *fixture) { host.setAccounts(routing.Account{Name: "a", Isolated: true}) }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				group, host, owner := newShardGroup(t, stream(1, 2, io.EOF))
				host.setAccounts(routing.Account{Name: "a"})
				owner.setAccounts(routing.Account{Name: "a"})
				group.changed = func(p *wire.PlaceResponse) {
					p.Fetch = []string{"10.9.9.9:1", ""}
					test.change(host, owner)
				}
				item := request(routing.Stream, 1)
				item.Account = "a"
				item.Deadline = item.Deadline.Add(2 * time.Minute)
				s := host.serve(item)
				host.targets.mu.Lock()
				defer host.targets.mu.Unlock()
				if !test.want {
					for _, call := range host.targets.calls {
						if call.Fetch != nil {
							t.Errorf("the placement of the owner was used: %+v", call)
						}
					}
					return
				}
				if s.status != http.StatusOK || len(host.targets.calls) != 1 {
					t.Fatalf("got status %d after %d calls, want 200 after one", s.status, len(host.targets.calls))
				}
				if got := host.targets.calls[0].Fetch != nil; got != test.fetch {
					t.Errorf("parts fetched as the owner said: %t, want %t", got, test.fetch)
				}
			})
		})
	}
}

// Weights that were replaced may be used up to a time at which the target begins, not the owner answers.
func TestPlacementThatBeginsLateIsNotUsed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.changed = func(p *wire.PlaceResponse) { p.Wait, p.Fetch = 5, []string{"10.9.9.9:1", ""} }
		host.requestVersion(2)
		time.Sleep(10 * time.Second)
		host.serve(request(routing.Stream, 1))
		host.targets.mu.Lock()
		defer host.targets.mu.Unlock()
		for _, call := range host.targets.calls {
			if call.Fetch != nil {
				t.Errorf("the placement of the owner was used: %+v", call)
			}
		}
	})
}

// Hosts of an earlier build, and those that have just started, place no requests for others.
func TestHostThatPlacesNothingIsNotAsked(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.changed = func(p *wire.PlaceResponse) { p.Reset() }
		for range 3 {
			if s := host.serve(request(routing.Stream, 1)); s.body != "12" {
				t.Errorf("got %q and refusal %v, want the answer", s.body, s.refused)
			}
		}
		if group.asked != 1 {
			t.Errorf("the owner was asked %d times in a row, want once", group.asked)
		}
	})
}

// Until the list of targets is updated, all hosts would be sent to the address of a process that was
// replaced.
func TestOwnerAvoidsMisdirectedTarget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var first string
		replaced := func(ctx context.Context, call *gateway.Call) (gateway.Reply, error) {
			if first = stdcmp.Or(first, call.Target.ID); call.Target.ID == first {
				return nil, &gateway.NotRunError{Misdirected: true, Status: http.StatusMisdirectedRequest}
			}
			return stream(1, 2, io.EOF)(ctx, call)
		}
		group, _, owner := newShardGroup(t, replaced)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		misdirected := 0
		for n := range 8 {
			host := newFixture(t, replaced)
			host.Host = fmt.Sprint("h", n)
			host.ShardRelay, host.Config.Shards.AboveHosts = group, 12
			host.TargetsChanged()
			go host.ReportProgress(ctx)
			host.serve(request(routing.Stream, 2))
			time.Sleep(120 * time.Millisecond)
			misdirected += len(host.targets.targets()) - 1
		}
		if misdirected != 1 {
			t.Errorf("%d of 8 hosts sent a request to the replaced target within a second, want one until the owner hears of it", misdirected)
		}
		if got := load(owner); got > 1 {
			t.Errorf("requests counted at the end: %d, want none but the last", got)
		}
	})
}

// During an upgrade each host would ask, and log, the owners of the earlier build each second.
func TestHostOfEarlierBuildIsSeldomAsked(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group, host, _ := newShardGroup(t, stream(1, 2, io.EOF))
		group.earlier = true
		for range 9 {
			if s := host.serve(request(routing.Stream, 1)); s.body != "12" {
				t.Errorf("got %q and refusal %v, want the answer", s.body, s.refused)
			}
			time.Sleep(time.Second)
		}
		if group.asked != 1 {
			t.Errorf("the host was asked %d times in 9 s, want once", group.asked)
		}
	})
}
