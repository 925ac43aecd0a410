package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// boundedTarget holds a bounded number of calls for events, which all wait for
// their full time, and refuses further ones.
type boundedTarget struct {
	mu            sync.Mutex
	most, holding int
	refused       int
	answered      map[*Gateway]int
	short         int
}

var errHeldEnough = errors.New("too many calls")

// watcher is one host's view of the target.
type watcher struct {
	target *boundedTarget
	host   *Gateway
}

func (w watcher) CacheEvents(ctx context.Context, _ string, since int64, wait time.Duration) (CacheEvents, error) {
	t := w.target
	t.mu.Lock()
	if wait < shortWait {
		t.short++
	}
	if t.holding == t.most {
		t.refused++
		t.mu.Unlock()
		return CacheEvents{}, errHeldEnough
	}
	t.holding++
	t.mu.Unlock()
	err := clock.Sleep(ctx, clock.System{}, wait)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holding--
	t.answered[w.host]++
	return CacheEvents{Epoch: 1, Next: since}, err
}

// A host that starts knows the cache of engines and stores almost as soon as the
// list of targets: until then it places as if they held nothing.
func TestCacheIsHeardOfRightAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &boundedTarget{most: 12, answered: map[*Gateway]int{}}
		g, _, _ := newStoreWorld(t)
		g.Clock = clock.System{}
		g.Fleet.Remove(time.Now(), "e1")
		cfg := *g.Routes()
		cfg.Version = 2
		cfg.Services["kept"] = routing.Service{Name: "kept", Store: &routing.CacheStore{Address: storeAddress, Tokens: 5000, LinkBytesPerSecond: 2e10, Managed: true}}
		ctx, end := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { g.WatchCaches(ctx, watcher{target, g}) })
		watching.Go(func() { g.WatchStores(ctx, watcher{target, g}) })
		time.Sleep(20 * time.Millisecond)
		g.SetRoutes(&cfg)
		g.Fleet.Put(fleet.Target{ID: "e1", Service: "loom", Address: "10.0.0.1:1", Slots: 16, Versions: map[string]int64{"m": 1}})
		time.Sleep(100 * time.Millisecond)
		target.mu.Lock()
		if target.holding != 2 {
			t.Errorf("%d calls for events wait 100 ms after the targets are known, want one of the engine and one of the store", target.holding)
		}
		target.mu.Unlock()
		end()
		watching.Wait()
	})
}

// More hosts than a target holds calls still all hear of its cache.
func TestEveryHostHearsOfTheCache(t *testing.T) {
	for _, hosts := range []int{8, 12, 20, 61} {
		synctest.Test(t, func(t *testing.T) {
			target := &boundedTarget{most: 12, answered: map[*Gateway]int{}}
			ctx, end := context.WithCancel(context.Background())
			var watching sync.WaitGroup
			var all []*Gateway
			for range hosts {
				g, _, _ := newStoreWorld(t)
				g.Clock = clock.System{}
				g.Hosts = func() int { return hosts }
				g.SetRoutes(&routing.Config{Version: 2, Services: map[string]routing.Service{
					"loom": {Name: "loom", Engine: &routing.Engine{Slots: 16, MaxEventStreams: target.most}},
				}})
				all = append(all, g)
				watching.Go(func() { g.watchCache(ctx, watcher{target, g}, "e1") })
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			end()
			watching.Wait()
			for i, g := range all {
				if target.answered[g] < 10 {
					t.Errorf("%d hosts: host %d had %d answers in 20 s", hosts, i, target.answered[g])
				}
			}
			if target.refused > hosts || target.short > 0 {
				t.Errorf("%d hosts: %d calls were refused, %d waited for too short a time to be free", hosts, target.refused, target.short)
			}
		})
	}
}
