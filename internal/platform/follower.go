package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// followPage is the number of rows read in one call of a whole table.
	followPage = 500
	// followRetry is the pause after a call that failed. It bounds how much
	// later than the return of the service a change is heard of.
	followRetry = 250 * time.Millisecond
	// probeTimeout bounds a call to a service that gave no answer: a connection
	// whose first packet was lost tries again only after a second. Every
	// probesUntilSlow-th call has all of its time, in case the service is slow.
	probeTimeout    = 500 * time.Millisecond
	probesUntilSlow = 4
	// relayEvery is the time between two looks at what peers know.
	relayEvery = 100 * time.Millisecond
	// relayAfter is how long a peer may be ahead before it is asked, as the
	// service usually tells both at about the same time.
	relayAfter = 200 * time.Millisecond
	// removedKept bounds the removed rows that are remembered for peers.
	removedKept = 1000
)

// FeedClient gives the changes of a table.
type FeedClient interface {
	Page(ctx context.Context, s Scan) (Page, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// TableRelay gives what other hosts have read of a table. A host that the
// service gives no answer follows it by them.
type TableRelay interface {
	// NewestPeerVersion returns the version of the newest row that a peer knows.
	NewestPeerVersion(table string) int64
	// PeerRows returns the rows after a version.
	PeerRows(ctx context.Context, table string, after int64) (Page, error)
}

// Follower keeps a copy of one table up to date: it reads the table once, then
// its feed, and reads it again when the history was dropped. Fields are set
// before Run.
type Follower struct {
	Client FeedClient
	Relay  TableRelay
	Table  string
	// Wait is how long one call waits for a change. It also bounds how long a
	// connection that has gone silent is believed.
	Wait time.Duration
	// Pause is the time between two calls.
	Pause time.Duration
	Clock clock.Clock
	Log   *log.Logger
	// Apply takes in changed rows, or all rows of the table when whole is set.
	// It is called by one goroutine at a time.
	Apply func(rows []Row, whole bool)
	// OnUnavailable and OnAvailable are called when the service stops or starts to answer
	// this follower. They may be nil.
	OnUnavailable, OnAvailable func()

	mu sync.Mutex
	// rows are the latest versions of rows, removed ones included.
	rows    map[string]Row
	removed int
	newest  int64
	after   int64
	loaded  bool
	away    bool
	// probes counts the calls since the service gave no answer.
	probes int
	// aheadSince is since when a peer has known a newer row.
	aheadSince time.Time
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var relaying sync.WaitGroup
	if f.Relay != nil {
		relaying.Go(func() { clock.Every(ctx, f.Clock, relayEvery, f.relay) })
	}
	for ctx.Err() == nil {
		pause := f.Pause
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = followRetry
		}
		if pause > 0 {
			_ = clock.Sleep(ctx, f.Clock, pause) // The loop looks at ctx.
		}
	}
	relaying.Wait()
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	loaded, after, wait := f.loaded, f.after, f.Wait
	if f.away {
		// A call that waits for a change would tell of the return too late.
		wait = 0
		f.probes++
		if f.probes%probesUntilSlow != 0 {
			probe, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			ctx = probe
		}
	}
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	page, err := f.Client.Feed(ctx, f.Table, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("after", after).
			Msg("follower: history is gone, reading the table again")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.answered()
	f.take(page)
	return nil
}

// take applies the rows of a page that are newer than those known.
func (f *Follower) take(page Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []Row
	for _, row := range page.Rows {
		if f.put(row) {
			news = append(news, row)
		}
	}
	f.after = max(f.after, page.Version)
	if len(news) > 0 {
		f.Apply(news, false)
	}
}

// put keeps a row unless a newer version is known. The lock must be held.
func (f *Follower) put(row Row) bool {
	if f.rows == nil {
		f.rows = map[string]Row{}
	}
	old, known := f.rows[row.Key]
	if known && old.Version >= row.Version {
		return false
	}
	if known && old.Removed {
		f.removed--
	}
	if row.Removed {
		f.removed++
	}
	f.rows[row.Key] = row
	f.newest = max(f.newest, row.Version)
	if f.removed > removedKept {
		f.forgetRemoved()
	}
	return true
}

// forgetRemoved drops the older half of the removed rows.
func (f *Follower) forgetRemoved() {
	middle := f.newest / 2
	for key, row := range f.rows {
		if row.Removed && row.Version <= middle {
			delete(f.rows, key)
			f.removed--
		}
	}
}

// load reads the whole table. The feed goes on from the version of the first
// page, so that changes between two pages are told again.
func (f *Follower) load(ctx context.Context) error {
	var rows []Row
	var version int64
	scan := Scan{Table: f.Table, Limit: followPage}
	for first := true; ; first = false {
		page, err := f.Client.Page(ctx, scan)
		if err != nil {
			return err
		}
		if first {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		scan.After = page.Rows[len(page.Rows)-1].Key
	}
	f.answered()
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.after {
		// A peer has told of later changes meanwhile; the feed goes on there.
		f.loaded = true
		return nil
	}
	f.rows, f.removed = map[string]Row{}, 0
	for _, row := range rows {
		f.put(row)
	}
	f.after = version
	f.loaded = true
	f.Apply(rows, true)
	return nil
}

// relay takes over from a peer what the service hasn't told this host.
func (f *Follower) relay(ctx context.Context) {
	ahead := f.Relay.NewestPeerVersion(f.Table)
	now := f.Clock.Now()
	f.mu.Lock()
	newest, loaded := f.newest, f.loaded
	if ahead <= newest {
		f.aheadSince = time.Time{}
	} else if f.aheadSince.IsZero() {
		f.aheadSince = now
	}
	due := !f.aheadSince.IsZero() && now.Sub(f.aheadSince) >= relayAfter
	f.mu.Unlock()
	if !due {
		return
	}
	page, err := f.Relay.PeerRows(ctx, f.Table, newest)
	if err != nil {
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("newest", newest).Err(err).
			Msg("follower: a peer gives no rows")
		return
	}
	f.Log.Info().Str("part", "follower").Str("table", f.Table).Int64("newest", newest).Int64("ahead", ahead).
		Int("rows", len(page.Rows)).Msg("follower: rows taken from a peer")
	if loaded {
		f.take(page)
		return
	}
	f.first(page)
}

// first takes over a whole table from a peer.
func (f *Follower) first(page Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded {
		return
	}
	var rows []Row
	for _, row := range page.Rows {
		f.put(row)
		if !row.Removed {
			rows = append(rows, row)
		}
	}
	f.after = page.Version
	f.loaded = true
	f.Apply(rows, true)
}

// NewestVersion returns the version of the newest row known, 0 before the first one.
func (f *Follower) NewestVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// RowsAfter returns the rows known that are newer than a version, and whether
// the table was read.
func (f *Follower) RowsAfter(after int64) (Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return Page{}, false
	}
	page := Page{Version: f.after}
	for _, row := range f.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, true
}

func (f *Follower) answered() {
	f.mu.Lock()
	was := f.away
	f.away, f.probes = false, 0
	f.mu.Unlock()
	if !was {
		return
	}
	f.Log.Info().Str("part", "follower").Str("table", f.Table).Msg("follower: table service answers again")
	if f.OnAvailable != nil {
		f.OnAvailable()
	}
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	was := f.away
	f.away = true
	f.mu.Unlock()
	if was {
		return
	}
	f.Log.Warn().Str("part", "follower").Str("table", f.Table).Err(err).Msg("follower: table service gives no answer")
	if f.OnUnavailable != nil {
		f.OnUnavailable()
	}
}
