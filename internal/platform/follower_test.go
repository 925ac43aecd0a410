package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// fakeFeed is a table service with one table, and also a peer that follows it.
type fakeFeed struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	// era counts the restores from an older copy.
	era int64
	// oldest is the version before which the history has been discarded.
	oldest int64
	// unavailable makes the service unavailable to this host, but not to the peer.
	unavailable bool
	// loads counts the reads of the complete table, feeds those of changes.
	loads, feeds int
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

// counts returns the reads of the complete table and those of changes.
func (f *fakeFeed) counts() (loads, feeds int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads, f.feeds
}

var errUnavailable = errors.New("service unavailable")

func (f *fakeFeed) Page(context.Context, platform.Scan) (platform.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return platform.Page{}, errUnavailable
	}
	f.loads++
	page := platform.Page{Version: f.version, Era: f.era, ClockMillis: time.Now().UnixMilli()}
	for _, row := range f.rows {
		if !row.Removed {
			row.Era = f.era
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// Feed answers after a tenth of the wait, whether or not a row has changed.
func (f *fakeFeed) Feed(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Page, error) {
	_ = clock.Sleep(ctx, clock.System{}, wait/10)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feeds++
	switch {
	case f.unavailable:
		return platform.Page{}, errUnavailable
	case after < f.oldest, after > f.version:
		return platform.Page{Era: f.era}, platform.ErrHistoryGone
	}
	page := f.since(after)
	page.ClockMillis = time.Now().UnixMilli()
	return page, nil
}

func (f *fakeFeed) since(after int64) platform.Page {
	page := platform.Page{Version: f.version, Era: f.era}
	for _, row := range f.rows {
		row.Era = f.era
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (f *fakeFeed) NewestPeerPosition(string) platform.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return platform.Position{Era: f.era, Version: f.version}
}

func (f *fakeFeed) PeerRows(_ context.Context, _ string, after platform.Position) (platform.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Era < f.era {
		page := f.since(0)
		page.Whole = true
		return page, nil
	}
	return f.since(after.Version), nil
}

// restore replaces the rows and the version by those of an older copy.
func (f *fakeFeed) restore(rows map[string]platform.Row, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.rows, f.version = maps.Clone(rows), version
}

// tableCopy is the table as passed to Follower.Apply.
type tableCopy struct {
	mu   sync.Mutex
	rows map[string]string
	// writtenAfter contains Row.WrittenAfterMillis of each row.
	writtenAfter map[string]int64
}

func (c *tableCopy) apply(rows []platform.Row, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		c.rows, c.writtenAfter = map[string]string{}, map[string]int64{}
	}
	for _, row := range rows {
		c.writtenAfter[row.Key] = row.WrittenAfterMillis
		if row.Removed {
			delete(c.rows, row.Key)
			continue
		}
		c.rows[row.Key] = string(row.Value)
	}
}

func (c *tableCopy) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := ""
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		text += key + "=" + c.rows[key] + " "
	}
	return text
}

func follow(t *testing.T, relay bool, scenario func(f *fakeFeed, c *tableCopy)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}
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
		scenario(feed, known)
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestFollowerAppliesChanges(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *tableCopy) {
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

func TestFollowerReadsTableAgainAfterHistoryGone(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *tableCopy) {
		f.set(func() {
			f.version += 10
			f.oldest = f.version
			delete(f.rows, "a")
			f.rows["b"] = platform.Row{Key: "b", Version: f.version, Value: []byte("5")}
		})
		time.Sleep(time.Second)
		if got := fmt.Sprint(c.text(), f.loads); got != "b=5 2" {
			t.Errorf("got copy and number of complete reads %q, want \"b=5 2\"", got)
		}
	})
}

// A host that gets no answer from the service receives the changes of the table through
// its peers, and follows the service again once it is available.
func TestFollowerAppliesRowsOfPeers(t *testing.T) {
	follow(t, true, func(f *fakeFeed, c *tableCopy) {
		f.set(func() { f.unavailable = true })
		time.Sleep(time.Second)
		f.put("a", "6")
		f.put("b", "7")
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=6 b=7 ", c.text()); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
		f.set(func() { f.unavailable = false })
		f.put("c", "8")
		time.Sleep(time.Second)
		if diff := cmp.Diff("a=6 b=7 c=8 ", c.text()); diff != "" {
			t.Errorf("copy once the service is available again (-want +got):\n%s", diff)
		}
	})
}

// A follower notices that the service is available again within the time of one
// call and the pause after it, even if no row changes and if the first packet of a
// call was lost.
func TestFollowerNoticesAvailability(t *testing.T) {
	for silent := time.Second; silent < 8*time.Second; silent += 90 * time.Millisecond {
		bubble.Test(t, func(t *testing.T) {
			feed := &silentFeed{fakeFeed: fakeFeed{rows: map[string]platform.Row{}}}
			var availableAt time.Time
			f := &platform.Follower{
				Client: feed, Table: "t", Wait: 10 * time.Second, Clock: clock.System{}, Apply: func([]platform.Row, bool) {},
				Log:         &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
				OnAvailable: func() { availableAt = time.Now() },
			}
			ctx, end := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- f.Run(ctx) }()
			time.Sleep(time.Second)
			feed.silent.Store(true)
			time.Sleep(2*(f.Wait+callTimeout) + silent) // Long enough for the call under way and the first failed one.
			restoredAt := time.Now()
			feed.silent.Store(false)
			time.Sleep(20 * time.Second)
			end()
			if err := <-done; err != nil {
				t.Error(err)
			}
			if late := availableAt.Sub(restoredAt); availableAt.IsZero() || late > callTimeout+retryPause {
				t.Errorf("after %s without an answer, OnAvailable was called %s after the service was available again, want at most %s", silent, late, callTimeout+retryPause)
			}
		})
	}
}

// silentFeed never answers calls that begin while it is silent. They time out.
type silentFeed struct {
	fakeFeed

	silent atomic.Bool
}

// callTimeout is the time beyond the wait after which a call times out.
const callTimeout = time.Second

// retryPause is the follower's pause after a failed call.
const retryPause = 250 * time.Millisecond

// Feed takes the complete wait, which is ten times that of fakeFeed.
func (f *silentFeed) Feed(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	if f.silent.Load() {
		_ = clock.Sleep(ctx, clock.System{}, wait+callTimeout)
		return platform.Page{}, errUnavailable
	}
	return f.fakeFeed.Feed(ctx, table, after, 10*wait)
}

// An older version of a row that arrives late does not replace a newer one.
func TestFollowerIgnoresOlderVersions(t *testing.T) {
	follow(t, false, func(f *fakeFeed, c *tableCopy) {
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

// A service that is restored from an older copy loses changes, gives out their versions
// again and reads as a new era. A host must replace its copy, and must not take changes of
// one era for those of the other, whether it hears of the era from the service or from a
// peer.
func TestFollowerReadsTableAgainInNewEra(t *testing.T) {
	for name, cutOff := range map[string]bool{"from the service": false, "from a peer": true} {
		t.Run(name, func(t *testing.T) {
			follow(t, cutOff, func(f *fakeFeed, c *tableCopy) {
				var rows map[string]platform.Row
				var version int64
				f.set(func() { rows, version = maps.Clone(f.rows), f.version })
				f.put("b", "lost")
				f.put("c", "lost")
				time.Sleep(time.Second)
				f.set(func() { f.unavailable = cutOff })
				f.restore(rows, version)
				f.put("d", "same version as the lost b")
				time.Sleep(time.Second)
				if diff := cmp.Diff("a=1 d=same version as the lost b ", c.text()); diff != "" {
					t.Errorf("copy (-want +got):\n%s", diff)
				}
				f.restore(rows, version)
				f.put("e", "5")
				f.put("f", "6")
				time.Sleep(time.Second)
				if diff := cmp.Diff("a=1 e=5 f=6 ", c.text()); diff != "" {
					t.Errorf("copy after a second restore (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A host that need not read the service itself must follow the table through its peers
// without a call, and read the service again as soon as it has to.
func TestFollowerReadsServiceOnlyIfItHasTo(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}
		feed.put("a", "1")
		var reads atomic.Bool
		var available atomic.Int64
		f := &platform.Follower{
			Client: feed, Relay: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply, ReadsService: reads.Load,
			OnAvailable: func() { available.Add(1) },
			Log:         &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		feed.put("b", "2")
		time.Sleep(time.Second)
		loads, feeds := feed.counts()
		if got := fmt.Sprint(known.text(), loads, feeds); got != "a=1 b=2 1 0" {
			t.Errorf("got copy, complete reads and reads of the feed %q, want \"a=1 b=2 1 0\"", got)
		}
		reads.Store(true)
		time.Sleep(time.Second)
		if _, feeds := feed.counts(); feeds == 0 {
			t.Error("the feed was not read by a host that has to")
		}
		feed.set(func() { feed.unavailable = true })
		time.Sleep(2 * time.Second)
		reads.Store(false)
		time.Sleep(2 * time.Second)
		feed.set(func() { feed.unavailable = false })
		time.Sleep(2 * time.Second)
		if available.Load() != 1 {
			t.Errorf("OnAvailable was called %d times after an outage, want once, also on a host that need not read the service by then", available.Load())
		}
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Row.WrittenAfterMillis is never later than the write of the row, and is known for all rows
// that are written after the first read, also if they come late, through a peer, or with a
// second read of the table. It is unknown after the first read and after a restore.
func TestFollowerBoundsTimesOfWrites(t *testing.T) {
	follow(t, true, func(f *fakeFeed, c *tableCopy) {
		check := func(what, key string, writtenAt time.Time, slack time.Duration) {
			t.Helper()
			c.mu.Lock()
			defer c.mu.Unlock()
			got := time.UnixMilli(c.writtenAfter[key])
			if got.After(writtenAt) || writtenAt.Sub(got) > slack {
				t.Errorf("%s: written at %s, after %s as received, want at most %s before", what, writtenAt, got, slack)
			}
		}
		unknown := func(what, key string) {
			t.Helper()
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.writtenAfter[key] != 0 {
				t.Errorf("%s: got time %d ms, want 0 for unknown", what, c.writtenAfter[key])
			}
		}
		const interval = 200 * time.Millisecond // between two answers of the fake
		unknown("first read", "a")
		f.put("b", "1")
		writtenAt := time.Now()
		time.Sleep(time.Second)
		check("change", "b", writtenAt, interval)
		unknown("unchanged row", "a")
		f.set(func() { f.unavailable = true })
		lastAnswer := time.Now()
		time.Sleep(3 * time.Second)
		f.put("c", "1")
		time.Sleep(time.Second)
		check("row of a peer during an outage", "c", lastAnswer, interval)
		f.set(func() { f.unavailable = false })
		time.Sleep(2 * time.Second)
		writtenAt = time.Now()
		f.set(func() {
			f.version += 10
			f.oldest = f.version
			f.rows["d"] = platform.Row{Key: "d", Version: f.version, Value: []byte("1")}
		})
		time.Sleep(time.Second)
		check("second read", "d", writtenAt, interval)
		check("row known before a second read", "c", lastAnswer, interval)
		f.restore(map[string]platform.Row{"e": {Key: "e", Version: 1, Value: []byte("1")}}, 1)
		time.Sleep(time.Second)
		unknown("restored service", "e")
	})
}

// A host that had followed the table through its peers took a row that it read itself for written at any time since
// its own last read. All hosts then took a version of weights for requested long ago, and refused requests.
func TestRowReadAfterPeersIsNotAsOldAsTheLastRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}
		feed.put("a", "1")
		var reads atomic.Bool
		f := &platform.Follower{
			Client: feed, Relay: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			ReadsService: func() bool { return false }, ReadDue: func(_, _ time.Duration) bool { return reads.Load() },
			EarliestServiceMillis: func(t time.Time) (int64, int64, bool) { return 0, t.UnixMilli(), true },
			Log:                   &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = f.Run(ctx) })
		time.Sleep(30 * time.Second)
		f.Confirm(platform.Position{Version: 1}, time.Now().Add(-500*time.Millisecond))
		reads.Store(true)
		feed.put("b", "1")
		writtenAt := time.Now()
		time.Sleep(time.Second)
		end()
		running.Wait()
		if got := writtenAt.Sub(time.UnixMilli(known.writtenAfter["b"])); got < 0 || got > 600*time.Millisecond {
			t.Errorf("the row counts as written %s before it was, want at most the age of the copy, 0.5 s", got)
		}
	})
}

// wholePeer sends the complete table each time, as peers do that have dropped removed rows.
type wholePeer struct{ *fakeFeed }

func (p wholePeer) PeerRows(ctx context.Context, table string, _ platform.Position) (platform.Page, error) {
	page, err := p.fakeFeed.PeerRows(ctx, table, platform.Position{})
	page.Whole = true
	return page, err
}

// An outage after a complete table of a peer was counted from the last answer to this host, so that rows counted as
// written later than they were.
func TestRowAfterOutageAndTableOfPeerIsNotTooNew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}
		feed.put("a", "1")
		var reads atomic.Bool
		f := &platform.Follower{
			Client: feed, Relay: wholePeer{feed}, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			ReadsService: func() bool { return false }, ReadDue: func(_, _ time.Duration) bool { return reads.Load() },
			EarliestServiceMillis: func(t time.Time) (int64, int64, bool) { return 0, t.UnixMilli(), true },
			Log:                   &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = f.Run(ctx) })
		time.Sleep(30 * time.Second)
		f.Confirm(platform.Position{Version: 1}, time.Now())
		feed.put("b", "1")
		time.Sleep(time.Second)
		feed.set(func() { feed.unavailable = true })
		reads.Store(true)
		time.Sleep(5 * time.Second)
		feed.put("c", "1")
		writtenAt := time.Now()
		feed.set(func() { feed.unavailable = false })
		time.Sleep(2 * time.Second)
		end()
		running.Wait()
		if after := time.UnixMilli(known.writtenAfter["c"]); after.After(writtenAt) {
			t.Errorf("the row counts as written %s after it was", after.Sub(writtenAt))
		}
	})
}

// A row that is read first after an outage counts as written during the outage, as nobody
// knows when. A host that was only suspended knows no outage.
func TestRowAfterOutageIsNotAsOldAsTheLastAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		outage, want time.Duration
	}{
		"outage":         {6 * time.Second, time.Second},
		"single failure": {100 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			follow(t, false, func(f *fakeFeed, c *tableCopy) {
				f.set(func() { f.unavailable = true })
				began := time.Now()
				time.Sleep(test.outage)
				f.put("b", "1")
				f.set(func() { f.unavailable = false })
				back := time.Now()
				time.Sleep(time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				got := back.Sub(time.UnixMilli(c.writtenAfter["b"]))
				if got > test.want || got < 0 {
					t.Errorf("the row counts as written %s before the return of the service, want at most %s; the outage took %s", got, test.want, back.Sub(began))
				}
			})
		})
	}
}

// peerCopy is the copy of a follower as a peer sees it.
type peerCopy struct {
	*platform.Follower
}

func (c peerCopy) NewestPeerPosition(string) platform.Position { return c.Newest() }

func (c peerCopy) PeerRows(_ context.Context, _ string, after platform.Position) (platform.Page, error) {
	page, ok := c.RowsAfter(after)
	if !ok {
		return page, errUnavailable
	}
	return page, nil
}

// A removal that a host only sees by reading the table again must reach the hosts behind it.
func TestRemovalInDiscardedHistoryReachesPeers(t *testing.T) {
	for name, becomesReader := range map[string]bool{"through the peer": false, "by reading the service later": true} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				feed, known, unused := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}, &tableCopy{}
				feed.put("a", "1")
				feed.put("b", "2")
				var reads atomic.Bool
				quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
				reader := &platform.Follower{Client: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: unused.apply, Log: quiet}
				f := &platform.Follower{
					Client: feed, Relay: peerCopy{reader}, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
					ReadsService: reads.Load, Log: quiet,
				}
				ctx, end := context.WithCancel(context.Background())
				var running sync.WaitGroup
				for _, follower := range []*platform.Follower{reader, f} {
					running.Go(func() { _ = follower.Run(ctx) })
				}
				time.Sleep(time.Second)
				feed.set(func() {
					delete(feed.rows, "a")
					feed.version += 10
					feed.oldest = feed.version
				})
				if becomesReader {
					feed.put("c", "3")
				}
				time.Sleep(2 * time.Second)
				reads.Store(becomesReader)
				time.Sleep(2 * time.Second)
				want := map[bool]string{false: "b=2 ", true: "b=2 c=3 "}[becomesReader]
				if diff := cmp.Diff(want, known.text()); diff != "" {
					t.Errorf("copy (-want +got):\n%s", diff)
				}
				end()
				running.Wait()
			})
		})
	}
}

// A peer that asks for rows since a removal whose row was dropped must get the complete table.
func TestDroppedRemovalsAreNotHiddenFromPeers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}
		feed.put("a", "1")
		f := &platform.Follower{
			Client: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		const removals = 1200
		for i := range removals {
			key := fmt.Sprint("k", i)
			feed.put(key, "1")
			feed.remove(key)
		}
		time.Sleep(time.Second)
		for after, whole := range map[int64]bool{2: true, 2 * removals: false} {
			if page, ok := f.RowsAfter(platform.Position{Version: after}); !ok || page.Whole != whole {
				t.Errorf("rows after version %d: complete %t, want %t", after, page.Whole, whole)
			}
		}
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// countedCopy counts the reads of rows from a peer.
type countedCopy struct {
	peerCopy

	reads *atomic.Int64
}

func (c countedCopy) PeerRows(ctx context.Context, table string, after platform.Position) (platform.Page, error) {
	c.reads.Add(1)
	return c.peerCopy.PeerRows(ctx, table, after)
}

// A host that starts after a table was read again must not ask for what it knows again and again.
func TestHostDoesNotAskForKnownRemovalAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known, unused := &fakeFeed{rows: map[string]platform.Row{}}, &tableCopy{}, &tableCopy{}
		feed.put("a", "1")
		feed.put("b", "2")
		quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
		reader := &platform.Follower{Client: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: unused.apply, Log: quiet}
		ctx, end := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = reader.Run(ctx) })
		time.Sleep(time.Second)
		feed.set(func() {
			delete(feed.rows, "a")
			feed.version += 10
			feed.oldest = feed.version
		})
		time.Sleep(time.Second)
		feed.set(func() { feed.version += 10 }) // Rows of other tables are written.
		time.Sleep(time.Second)
		var reads atomic.Int64
		started := &platform.Follower{
			Client: feed, Relay: countedCopy{peerCopy{reader}, &reads}, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			ReadsService: func() bool { return false }, Log: quiet,
		}
		running.Go(func() { _ = started.Run(ctx) })
		time.Sleep(10 * time.Second)
		if n := reads.Load(); n > 1 || known.text() != "b=2 " {
			t.Errorf("%d reads of rows from a peer in 10 s, want at most one; copy %q, want \"b=2 \"", n, known.text())
		}
		end()
		running.Wait()
	})
}

// A copy must not pass for recent because of another one that lacks the same rows, or that has later ones.
func TestAgeOfCopyBelongsToItsPosition(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed := &fakeFeed{rows: map[string]platform.Row{}}
		feed.put("a", "1")
		f := &platform.Follower{
			Client: feed, Relay: noRelay{}, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: func([]platform.Row, bool) {},
			ReadsService: func() bool { return false },
			Log:          &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		loaded := f.State()
		for _, c := range []struct {
			what string
			p    platform.Position
			want time.Duration
		}{
			{"a later copy", platform.Position{Version: loaded.Version + 1}, loaded.Age},
			{"a copy of another era", platform.Position{Version: loaded.Version, Era: 1}, loaded.Age},
			{"a copy with the same rows", loaded.Position, time.Second},
			{"an earlier copy, which changed nothing until then", platform.Position{}, 500 * time.Millisecond},
		} {
			f.Confirm(c.p, time.Now().Add(-min(c.want, time.Second)))
			if got := f.State().Age; got != c.want {
				t.Errorf("%s: got age %v, want %v", c.what, got, c.want)
			}
		}
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// noRelay is a relay whose peers know no rows.
type noRelay struct{}

func (noRelay) NewestPeerPosition(string) platform.Position { return platform.Position{} }

func (noRelay) PeerRows(context.Context, string, platform.Position) (platform.Page, error) {
	return platform.Page{}, errUnavailable
}

// A row that changed between two pages of the first read must reach a host that gets all changes from peers.
func TestChangeBetweenTwoPagesReachesCopy(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed, known := &pagedFeed{fakeFeed: fakeFeed{rows: map[string]platform.Row{}}}, &tableCopy{}
		for _, key := range []string{"a", "b", "c"} {
			feed.put(key, "1")
		}
		f := &platform.Follower{
			Client: feed, Relay: feed, Table: "t", Wait: time.Second, Clock: clock.System{}, Apply: known.apply,
			ReadsService: func() bool { return false },
			Log:          &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		}
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff("a=2 b=1 c=2 ", known.text()); diff != "" {
			t.Errorf("copy (-want +got):\n%s", diff)
		}
		if got := f.State().Position; got.Version != 5 {
			t.Errorf("the copy is complete up to version %d, want 5", got.Version)
		}
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// pagedFeed is a fakeFeed whose table is read in two pages, between which the rows a and c change. Peers know
// the changes from then on.
type pagedFeed struct {
	fakeFeed

	read atomic.Bool
}

func (f *pagedFeed) Page(ctx context.Context, s platform.Scan) (platform.Page, error) {
	if s.After != "" {
		f.put("a", "2")
		f.put("c", "2")
		f.read.Store(true)
	}
	page, err := f.fakeFeed.Page(ctx, s)
	page.Rows = slices.DeleteFunc(page.Rows, func(row platform.Row) bool { return (row.Key == "c") != (s.After != "") })
	slices.SortFunc(page.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	page.More = s.After == ""
	return page, err
}

func (f *pagedFeed) NewestPeerPosition(table string) platform.Position {
	if !f.read.Load() {
		return platform.Position{}
	}
	return f.fakeFeed.NewestPeerPosition(table)
}
