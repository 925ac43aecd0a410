package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// fakeFeed is a table service with one table, and a peer that follows it.
type fakeFeed struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	// oldest is the version before which the history is gone.
	oldest int64
	// away refuses this host only.
	away  bool
	loads int
}

func (f *fakeFeed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = platform.Row{Key: key, Version: f.version, Value: []byte(value)}
}

func (f *fakeFeed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = platform.Row{Key: key, Version: f.version, Removed: true}
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

var errAway = errors.New("away")

func (f *fakeFeed) Page(context.Context, platform.Scan) (platform.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return platform.Page{}, errAway
	}
	f.loads++
	page := platform.Page{Version: f.version}
	for _, row := range f.rows {
		if !row.Removed {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (f *fakeFeed) Feed(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Page, error) {
	_ = clock.Sleep(ctx, clock.System{}, wait/10)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.away:
		return platform.Page{}, errAway
	case after < f.oldest:
		return platform.Page{}, platform.ErrHistoryGone
	}
	return f.since(after), nil
}

func (f *fakeFeed) since(after int64) platform.Page {
	page := platform.Page{Version: f.version}
	for _, row := range f.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (f *fakeFeed) NewestPeerVersion(string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fakeFeed) PeerRows(_ context.Context, _ string, after int64) (platform.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(after), nil
}

// copyOf is what a follower was told.
type copyOf struct {
	mu   sync.Mutex
	rows map[string]string
}

func (c *copyOf) apply(rows []platform.Row, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.rows = map[string]string{}
	}
	for _, row := range rows {
		if row.Removed {
			delete(c.rows, row.Key)
			continue
		}
		c.rows[row.Key] = string(row.Value)
	}
}

func (c *copyOf) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		text += key + "=" + c.rows[key] + " "
	}
	return text
}

func follow(t *testing.T, relay bool, play func(f *fakeFeed, c *copyOf)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &copyOf{}
		feed.put("a", "1")
		f := &platform.Follower{
			Client: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		if relay {
			f.Relay = feed
		}
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		play(feed, known)
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestFollowerHearsOfChanges(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *copyOf) {
		f.put("b", "2")
		f.put("a", "3")
		f.remove("b")
		f.put("c", "4")
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=3 c=4 ", c.text()); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
	})
}

func TestFollowerReadsAgainWhenTheHistoryIsGone(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *copyOf) {
		f.set(func() {
			f.version += 10
			f.oldest = f.version
			delete(f.rows, "a")
			f.rows["b"] = platform.Row{Key: "b", Version: f.version, Value: []byte("5")}
		})
		time.Sleep(time.Second)
		if got := fmt.Sprint(c.text(), f.loads); got != "b=5 2" {
			t.Errorf("got copy and reads %q", got)
		}
	})
}

// A host that the service gives no answer follows it by its peers, also from
// the start.
func TestFollowerTakesRowsFromPeers(t *testing.T) {
	follow(t, true, func(f *fakeFeed, c *copyOf) {
		f.set(func() { f.away = true })
		time.Sleep(time.Second)
		f.put("a", "6")
		f.put("b", "7")
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=6 b=7 ", c.text()); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
		f.set(func() { f.away = false })
		f.put("c", "8")
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=6 b=7 c=8 ", c.text()); diff != "" {
			t.Errorf("copy after the return (-want +got):\n%s", diff)
		}
	})
}

// The return is noticed within the time of one call and the pause after it,
// although nothing changes, and also by a call whose first packet was lost.
func TestFollowerNoticesTheReturn(t *testing.T) {
	for silent := time.Second; silent < 8*time.Second; silent += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			feed := &silentFeed{fakeFeed: fakeFeed{rows: map[string]platform.Row{}}}
			var back time.Time
			f := &platform.Follower{
				Client: feed, Table: "t", Wait: 10 * time.Second, Clock: clock.System{}, Apply: func([]platform.Row, bool) {},
				Log:         &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
				OnAvailable: func() { back = time.Now() },
			}
			ctx, end := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- f.Run(ctx) }()
			time.Sleep(time.Second)
			feed.silent.Store(true)
			time.Sleep(2*(f.Wait+callTime) + silent) // The call before and that which fails have ended.
			returned := time.Now()
			feed.silent.Store(false)
			time.Sleep(20 * time.Second)
			end()
			if err := <-done; err != nil {
				t.Error(err)
			}
			if late := back.Sub(returned); back.IsZero() || late > callTime+retryPause {
				t.Errorf("after %s of silence the return is noticed after %s, want at most %s", silent, late, callTime+retryPause)
			}
		})
	}
}

// silentFeed gives no answer at all to calls that begin while it is silent.
type silentFeed struct {
	fakeFeed

	silent atomic.Bool
}

// callTime is the time beyond the wait after which the client gives up.
const callTime = time.Second

// retryPause is the follower's pause after a call that failed.
const retryPause = 250 * time.Millisecond

func (f *silentFeed) Feed(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	if f.silent.Load() {
		_ = clock.Sleep(ctx, clock.System{}, wait+callTime)
		return platform.Page{}, errAway
	}
	return f.fakeFeed.Feed(ctx, table, after, 10*wait)
}

// Rows that a peer tells late don't replace newer ones.
func TestFollowerNeverGoesBack(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *copyOf) {
		f.put("a", "9")
		time.Sleep(time.Second)
		f.set(func() {
			f.rows["a"] = platform.Row{Key: "a", Version: 1, Value: []byte("old")}
			f.version++
		})
		f.set(func() { f.rows["z"] = platform.Row{Key: "z", Version: f.version, Value: []byte("new")} })
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=9 z=new ", c.text()); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
	})
}
