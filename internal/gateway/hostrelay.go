package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/membership"
)

const (
	// maxRelays limits the hosts to which one request is relayed.
	maxRelays = 5
	// relayAfter is the number of unreachable targets after which a request is relayed.
	relayAfter = 2
	// avoidHostFor is how long no requests are relayed to a host that can't take them.
	avoidHostFor = time.Second
)

// HostLister lists the other hosts that take requests.
type HostLister interface {
	ReadyPeers() []membership.Member
}

// RelayCall describes a request that another host serves in place of this one. The host runs it at
// most once.
type RelayCall struct {
	Call

	// Address is the address of the host.
	Address string
	// Build is the build that began the stream which the call resumes, nil for a new stream.
	Build *string
	// MinConfig and MaxConfig are the versions of the configuration between which that of the
	// host has to be.
	MinConfig, MaxConfig int64
}

// HostCaller sends requests to other hosts. It sends each one at most once.
type HostCaller interface {
	// Relay returns when the answer begins. Errors are *NotRunError, *BrokenError and
	// *HostUnavailableError.
	Relay(ctx context.Context, call *RelayCall) (Reply, error)
}

// HostUnavailableError reports that a host has not taken a request and that another one may.
type HostUnavailableError struct{ Reason string }

// Error describes the cause.
func (e *HostUnavailableError) Error() string { return "host doesn't take the request: " + e.Reason }

// chooseHost returns an attempt at another host if this one can't reach the targets.
func (r *run) chooseHost() *attempt {
	if r.relays >= maxRelays || !r.mayRelay() {
		return nil
	}
	host, ok := r.g.pickHost(r.relayed)
	if !ok {
		return nil
	}
	r.relays++
	r.attempts++
	r.relayed = append(r.relayed, host.ID)
	at := &attempt{target: host, byHost: true}
	r.g.logRelay(r.work, at, r.attempts, r.unreached, r.lastID)
	return at
}

// mayRelay reports whether the targets of the request can't be reached from this host, as far as
// it knows.
func (r *run) mayRelay() bool {
	if r.g.Hosts == nil || r.work.Relayed {
		return false
	}
	return r.unreached >= relayAfter || r.g.PathLost()
}

// pickHost returns a host that takes requests, other than those excluded, as a target.
func (g *Gateway) pickHost(exclude []string) (fleet.Target, bool) {
	members := g.Hosts.ReadyPeers()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	members = slices.DeleteFunc(members, func(m membership.Member) bool {
		return slices.Contains(exclude, m.Name) || now.Before(g.avoidHosts[m.Name])
	})
	if len(members) == 0 {
		return fleet.Target{}, false
	}
	m := members[g.rng.IntN(len(members))]
	return fleet.Target{ID: m.Name, Address: m.Address(), FailureDomain: m.FailureDomain}, true
}

// RefuseRelayed returns why this host takes no request of another one that may be handled by
// versions of the configuration from minConfig to maxConfig, or an empty string if it does.
func (g *Gateway) RefuseRelayed(minConfig, maxConfig int64) string {
	cfg := g.Routes()
	switch {
	case g.PathLost():
		return "the host reaches no target either"
	case cfg == nil:
		return "the host has no configuration"
	case cfg.Version < minConfig || cfg.Version > maxConfig:
		return fmt.Sprintf("the host has configuration %d, want %d to %d", cfg.Version, minConfig, maxConfig)
	}
	return ""
}

// avoidHost relays no requests to a host for some time.
func (g *Gateway) avoidHost(name string) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for host, until := range g.avoidHosts {
		if now.After(until) {
			delete(g.avoidHosts, host)
		}
	}
	g.avoidHosts[name] = now.Add(avoidHostFor)
}

// send sends an attempt to its target, or to the host that is to serve it. build is the build that
// began the stream which the request goes on with, nil for a new stream.
func (g *Gateway) send(ctx context.Context, at *attempt, call *Call, build *string) (Reply, error) {
	if !at.byHost {
		if err := g.withdraw(at); err != nil {
			return nil, err
		}
		reply, err := g.Targets.Send(ctx, call)
		g.recordSendFailure(at.target, err)
		return reply, err
	}
	relay := &RelayCall{Call: *call, Address: at.target.Address, Build: build, MinConfig: call.Work.ConfigVersion}
	if cfg := g.Routes(); cfg != nil {
		relay.MaxConfig = cfg.Version
	}
	return g.HostCaller.Relay(ctx, relay)
}

// afterRelay decides what follows a request that another host has not answered, like
// afterFailure.
func (r *run) afterRelay(at *attempt, err error) *failure.Error {
	var refused *NotRunError
	var broken *BrokenError
	var unavailable *HostUnavailableError
	switch {
	case errors.As(err, &refused):
		r.possibleRuns--
		return r.refusalOrMaybeRun(failure.Busy(failure.Overloaded, max(refused.RetryAfter, r.retryAfter()), "host %s refused the request: %v", at.target.ID, refused))
	case errors.As(err, &unavailable):
		r.possibleRuns--
	case errors.As(err, &broken) && !broken.Sent:
	default:
		return r.afterBrokenAnswer(err)
	}
	r.g.avoidHost(at.target.ID)
	if r.relays < maxRelays {
		return nil
	}
	return r.refusalOrMaybeRun(failure.Busy(failure.NoTarget, r.retryAfter(), "no target can be reached, and no host took the request; last error: %v", err))
}
