package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

// inTouchAfter is the time without a fault after which a host has to be up to date.
const inTouchAfter = 4 * time.Second

// trouble is a fault of a host.
type trouble string

const (
	// cutOff hosts get no answers from the table service and from other hosts, and give none.
	cutOff trouble = "cut off"
	// unserved hosts get no answers from the table service, mute ones none from other hosts, which get theirs.
	unserved trouble = "unserved"
	mute     trouble = "mute"
	// rowlessHosts get no rows from other hosts. They have to be up to date all the same.
	rowlessHost trouble = "without rows"
	// frozen hosts do nothing, and go on with answers that came meanwhile.
	frozen trouble = "frozen"
	// starved hosts take long for each call.
	starved trouble = "starved"
)

var allTroubles = []trouble{cutOff, unserved, mute, rowlessHost, frozen, starved}

// starvedDelay is the time that a starved host takes before and after each call.
const starvedDelay = 300 * time.Millisecond

// troubledHost is the transport of a host that has faults.
type troubledHost struct {
	http.RoundTripper

	soak *configSoak
	name string
}

// RoundTrip carries a call. Calls that are cut are never answered.
func (t troubledHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.soak.pass(r, t.name); err != nil {
		return nil, err
	}
	response, err := t.RoundTripper.RoundTrip(r)
	if late := t.soak.pass(r, t.name); late != nil {
		return nil, late
	}
	return response, err
}

// configSoak changes the configuration and the targets of a group whose hosts have faults.
type configSoak struct {
	group *callGroup
	// troubles are guarded by group.mu, as the following.
	troubles map[string]trouble
	calmAt   map[string]time.Time
	// written is when a version of the configuration was written, removed when a target left.
	written map[int64]time.Time
	removed map[string]time.Time
	version int64
	late    []string
}

// pass waits while a call of a host is held up, and fails if it is cut off.
func (s *configSoak) pass(r *http.Request, name string) error {
	for {
		s.group.mu.Lock()
		own, other := s.troubles[name], s.troubles[r.URL.Host]
		s.group.mu.Unlock()
		service := r.URL.Host == "table"
		switch {
		case own == frozen: // It doesn't notice the end of a time limit either.
			time.Sleep(50 * time.Millisecond)
			continue
		case other == frozen:
			if err := clock.Sleep(r.Context(), clock.System{}, 50*time.Millisecond); err != nil {
				return err
			}
			continue
		case own == cutOff, other == cutOff, own == unserved && service, own == mute && !service, own == rowlessHost && r.URL.Path == "/twirp/sassafrasplank.peer.Peer/Rows":
			<-r.Context().Done()
			return context.Cause(r.Context())
		case own == starved:
			return clock.Sleep(r.Context(), clock.System{}, starvedDelay)
		}
		return nil
	}
}

// disturb begins or ends a fault of a random host, or replaces its process.
func (s *configSoak) disturb() {
	g := s.group
	hosts := g.live()
	slices.SortFunc(hosts, func(a, b *callHost) int { return strings.Compare(a.Config.Host, b.Config.Host) })
	h := hosts[g.rng.IntN(len(hosts))]
	if g.rng.IntN(3) == 0 { // The readers of the tables matter most.
		h = slices.MinFunc(hosts, func(a, b *callHost) int { return a.RoutedHost.group.ReaderRank() - b.RoutedHost.group.ReaderRank() })
	}
	name := h.Config.Host
	kind := g.rng.IntN(len(allTroubles) + 2)
	lasts := time.Duration(200+g.rng.IntN(5000)) * time.Millisecond
	if kind >= len(allTroubles) {
		h.stop()
		g.mu.Lock()
		s.calmAt[name] = time.Now().Add(time.Hour)
		g.mu.Unlock()
		time.AfterFunc(lasts/4, func() {
			var number int
			_, _ = fmt.Sscanf(name, "host-%d", &number)
			s.start(number)
		})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.troubles[name] != "" {
		return
	}
	s.troubles[name] = allTroubles[kind]
	if s.troubles[name] != rowlessHost {
		s.calmAt[name] = time.Now().Add(lasts)
	}
	time.AfterFunc(lasts, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.troubles, name)
	})
}

// start starts a host with the faults of the soak.
func (s *configSoak) start(number int) {
	name := fmt.Sprintf("host-%02d", number)
	s.group.mu.Lock()
	delete(s.troubles, name)
	s.calmAt[name] = time.Now()
	s.group.mu.Unlock()
	s.group.start(number, 1)
}

// change writes a configuration of a random length, and lets a target leave or return.
func (s *configSoak) change() {
	g := s.group
	s.version++
	size := []int{2 << 10, 50 << 10, 300 << 10}[g.rng.IntN(3)]
	id := fmt.Sprint("e", g.rng.IntN(20))
	g.table.put(operatorTable, "config", longConfig(s.version, size))
	g.mu.Lock()
	defer g.mu.Unlock()
	s.written[s.version] = time.Now()
	if _, gone := s.removed[id]; gone {
		delete(s.removed, id)
		g.table.putTarget(fleet.Target{ID: id, Service: "loom", Build: "b1", Started: s.version})
		return
	}
	s.removed[id] = time.Now()
	g.table.put(targetTable, id, "")
}

// check records the hosts in touch that are late.
func (s *configSoak) check(within time.Duration) {
	g := s.group
	hosts := g.live()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hosts {
		if now.Sub(s.calmAt[h.Config.Host]) < inTouchAfter {
			continue
		}
		cfg := h.gateway.Routes()
		if cfg == nil {
			s.late = append(s.late, h.Config.Host+" has no configuration")
			continue
		}
		if at, ok := s.written[cfg.Version+1]; ok && now.Sub(at) > within {
			s.late = append(s.late, fmt.Sprintf("%s has configuration %d, the next one was written %v ago", h.Config.Host, cfg.Version, now.Sub(at)))
		}
		for id, at := range s.removed {
			if _, listed := h.fleet.Find(id); listed && now.Sub(at) > within {
				s.late = append(s.late, fmt.Sprintf("%s uses target %s, which left %v ago", h.Config.Host, id, now.Sub(at)))
			}
		}
	}
}

// Faults that overlap with a change each second left hosts with old copies that they took for recent.
// SASSAFRASPLANK_CONFIG_SEEDS plays more seeds than one, SASSAFRASPLANK_CONFIG_SEED another first one.
func TestSoakChangesAreInForceInTime(t *testing.T) {
	const hosts, lasts = 32, 60 * time.Second
	within := config.DefaultRouted().Table.ChangeWithin.Duration
	first := envNumber(t, "SASSAFRASPLANK_CONFIG_SEED", 1)
	for seed := range envNumber(t, "SASSAFRASPLANK_CONFIG_SEEDS", 1) {
		t.Run(fmt.Sprint("seed ", first+seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				g := newLinkedGroup(uint64(first + seed))
				s := &configSoak{
					group: g, troubles: map[string]trouble{}, calmAt: map[string]time.Time{}, written: map[int64]time.Time{}, removed: map[string]time.Time{}, version: 1,
				}
				g.wrap = func(name string, h http.RoundTripper) http.RoundTripper { return troubledHost{h, s, name} }
				for i := range 20 {
					g.table.putTarget(fleet.Target{ID: fmt.Sprint("e", i), Service: "loom", Build: "b1", Started: 1})
				}
				for i := range hosts {
					s.start(i)
				}
				time.Sleep(5 * time.Second)
				var changes, faults time.Duration
				for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if changes -= 100 * time.Millisecond; changes <= 0 {
						s.change()
						changes = time.Second
					}
					if faults -= 100 * time.Millisecond; faults <= 0 {
						s.disturb()
						faults = time.Duration(300+g.rng.IntN(900)) * time.Millisecond
					}
					s.check(within)
				}
				time.Sleep(6 * time.Second)
				if n := len(s.late); n > 0 {
					t.Errorf("%d times, a host in touch was late by more than %v, first: %q", n, within, s.late[:min(n, 5)])
				}
				for _, h := range g.live() {
					h.stop()
				}
			})
		})
	}
}
