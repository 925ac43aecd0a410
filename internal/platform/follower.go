package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// followPage is the page size in rows when a table is read completely.
	followPage = 500
	// retryPause is the pause after a failed call. It limits how late a change is
	// received once the service is available again.
	retryPause = 250 * time.Millisecond
	// probeTimeout limits a call to an unavailable service, because a connection
	// whose first packet is lost retransmits it only after 1 s. One of every
	// fullTimeoutEvery calls has the full timeout, in case the service is slow.
	probeTimeout     = 500 * time.Millisecond
	fullTimeoutEvery = 4
	// relayInterval is the interval between checks for newer rows on peers.
	relayInterval = 100 * time.Millisecond
	// relayDelay is how long peers must have had newer rows before one is asked for
	// them. The service usually sends a change to all hosts at about the same time.
	relayDelay = 200 * time.Millisecond
	// minOutage and minOutageFailures are the time and the failed calls in a row after which
	// the service was unavailable. Fewer failures may also follow a suspension of this host.
	minOutage         = time.Second
	minOutageFailures = 3
	// maxTombstones is the number of removed rows, which are held for peers, above which
	// old ones are dropped.
	maxTombstones = 1000
)

// FeedClient reads a table and its changes.
type FeedClient interface {
	Page(ctx context.Context, s Scan) (Page, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Follower maintains a copy of one table: it reads the table once and then follows
// its feed. It reads the table again when the service has discarded the history or has
// been restored from an older copy.
// The exported fields must be set before Run.
type Follower struct {
	Client FeedClient
	// Relay may be nil.
	Relay TableRelay
	// ReadsService reports whether this host reads changes from the service itself.
	// Otherwise it follows the table through its peers. If ReadsService is nil, it always
	// reads the service.
	ReadsService func() bool
	// ReadDue reports whether a host that doesn't read the service makes one call that doesn't
	// wait, as it can't rely on its peers. age is the time since the time up to which the copy
	// includes every change, and behind that for which a peer has had a row which the copy lacks,
	// 0 if none has. ReadDue may be nil.
	ReadDue func(age, behind time.Duration) bool
	// RetryDue reports whether the service is called again after a call that failed at failedAt, at
	// least retryPause ago. A follower that has not read the table yet doesn't ask. RetryDue may be
	// nil.
	RetryDue func(failedAt time.Time) bool
	Table    string
	// Wait is how long one call waits for a change. It also limits how long an
	// unresponsive connection goes unnoticed.
	Wait time.Duration
	// NextWait returns how long the next call waits for a change, at most Wait. A change ends the
	// calls of all hosts at the same time; different times keep the next ones apart. If NextWait
	// is nil, it is Wait.
	NextWait func() time.Duration
	// Pause is the time between two calls.
	Pause time.Duration
	Clock clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended, the one of the
	// client. It is Clock if it is nil.
	Steady clock.Clock
	Log    *log.Logger
	// Apply receives changed rows, or all rows of the table when full is set. Calls
	// are not concurrent.
	Apply func(rows []Row, full bool)
	// EarliestServiceMillis returns a time of the service that is not later than the one its clock shows at
	// a time on Steady, and its era, see Client. If it is nil, times of writes are only known by answers of
	// the service to this host.
	EarliestServiceMillis func(t time.Time) (era, millis int64, ok bool)
	// Applied is called for each changed row after Apply, but not for the rows of a complete
	// table. It may be nil.
	Applied func(row Row)
	// OnUnavailable and OnAvailable are called when the service becomes unavailable
	// to this follower, or available again. They may be nil.
	OnUnavailable, OnAvailable func()

	mu sync.Mutex
	// rows holds the latest version of each row, including removed rows.
	rows map[string]Row
	// removed is the number of removed rows in rows.
	removed int
	// after is the position up to which the copy is complete and from which the feed continues. Its
	// era is that of the copy.
	after Position
	// newest is the position of the newest row. It is later than after if a table was read in several
	// pages and changed meanwhile; the copy may then lack rows between the two.
	newest Position
	// completeAt is the time on Steady up to which the copy includes every change, zero if it isn't
	// known.
	completeAt time.Time
	// completeSince is the version since which rows holds every removed row. It is the version
	// at which the table was last read completely, or the last one whose tombstone was dropped.
	completeSince int64
	// completeMillis is the clock of the service at the last answer of which this copy has
	// all rows, or at the last failed call of an outage after it. It is 0 if no answer is
	// known.
	completeMillis int64
	// loaded is set once the complete table has been applied.
	loaded      bool
	unavailable bool
	// answeredAt is when the service last answered this follower.
	answeredAt time.Time
	// probes counts the calls since the service became unavailable.
	probes int
	// failures counts the failed calls since the last answer, between failedAt and
	// lastFailedAt.
	failures               int
	failedAt, lastFailedAt time.Time
	// aheadSince is when a peer began to report newer rows. It is zero if no peer does.
	aheadSince time.Time
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var relaying sync.WaitGroup
	if f.Relay != nil {
		relaying.Go(func() { clock.Every(ctx, f.Clock, relayInterval, f.relay) })
	}
	for ctx.Err() == nil {
		pause, wait := f.Pause, f.nextWait()
		if !f.readsService() {
			if !f.readDue() {
				_ = clock.Tick(ctx, f.Clock, relayInterval) // The loop checks ctx.
				continue
			}
			pause, wait = max(pause, relayInterval), 0
		}
		if err := f.step(ctx, wait); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = 0
			f.awaitRetry(ctx)
		}
		if pause > 0 {
			_ = clock.Sleep(ctx, f.Clock, pause) // The loop checks ctx.
		}
	}
	relaying.Wait()
	return nil
}

// readsService reports whether the next call goes to the service. The first one always
// does, so that a host that starts depends on no peer. A host for which the service has
// become unavailable reads it until it answers again, since OnAvailable starts the time
// in which missing rows may come back.
func (f *Follower) readsService() bool {
	f.mu.Lock()
	necessary := !f.loaded || f.unavailable
	f.mu.Unlock()
	return necessary || f.Relay == nil || f.ReadsService == nil || f.ReadsService()
}

// awaitRetry waits after a failed call until the next one.
func (f *Follower) awaitRetry(ctx context.Context) {
	f.mu.Lock()
	failedAt, loaded := f.lastFailedAt, f.loaded
	f.mu.Unlock()
	err := clock.Sleep(ctx, f.Clock, retryPause)
	for err == nil && loaded && f.RetryDue != nil && !f.RetryDue(failedAt) {
		err = clock.Tick(ctx, f.Clock, relayInterval)
	}
}

// nextWait returns how long the next call waits for a change.
func (f *Follower) nextWait() time.Duration {
	if f.NextWait == nil {
		return f.Wait
	}
	return min(f.Wait, f.NextWait())
}

// readDue reports whether a host that doesn't read the service makes one call.
func (f *Follower) readDue() bool {
	if f.ReadDue == nil {
		return false
	}
	f.mu.Lock()
	age, behind := f.age(), time.Duration(0)
	if !f.aheadSince.IsZero() {
		behind = f.Clock.Now().Sub(f.aheadSince)
	}
	f.mu.Unlock()
	return f.ReadDue(age, behind)
}

// step makes the next call, which waits for a change for at most the duration wait.
func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	loaded, after := f.loaded, f.after
	if f.unavailable {
		// A call that waits for a change would notice too late that the service is
		// available again.
		wait = 0
		f.probes++
		if f.probes%fullTimeoutEvery != 0 {
			probe, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			ctx = probe
		}
	}
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	sentAt := f.steady().Now()
	page, err := f.Client.Feed(ctx, f.Table, after.Version, wait)
	page.completeAtLeast(sentAt)
	switch {
	case page.Era > after.Era:
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("era", page.Era).Int64("before", after.Era).Int64("after", after.Version).
			Msg("follower: table service restored from an older copy, reading the table again")
		return f.load(ctx)
	case errors.Is(err, ErrHistoryGone):
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("after", after.Version).
			Msg("follower: history of the table discarded by the service, reading the table again")
		return f.load(ctx)
	case err != nil:
		return err
	}
	f.answered()
	f.merge(page, Position{})
	return nil
}

// merge applies the rows of a page that are newer than the known ones. newest is as for
// applyAll. A page of another era than the copy is ignored: the table is then read again, or
// was.
func (f *Follower) merge(page Page, newest Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Era != f.after.Era {
		return
	}
	var changed []Row
	completeBefore := f.completeUpTo()
	for _, row := range page.Rows {
		// Rows of a peer may have a later time.
		row.WrittenAfterMillis = max(row.WrittenAfterMillis, completeBefore)
		if row.SeenMillis == 0 {
			row.SeenMillis = page.ClockMillis // That of a page from a peer is 0.
		}
		if f.put(row) {
			changed = append(changed, row)
		}
	}
	f.raiseNewest(newest)
	f.raiseAfter(page.Version)
	if !page.More {
		f.completeMillis = max(f.completeMillis, page.ClockMillis)
		f.raiseCompleteAt(page.CompleteAt)
	}
	if len(changed) > 0 {
		f.Apply(changed, false)
	}
	if f.Applied != nil {
		for _, row := range changed {
			f.Applied(row)
		}
	}
}

// completeUpTo returns a time on the clock of the service up to which the copy includes every change, 0 if none
// is known. A host that follows the table through its peers has had no answer of the service for long, but its peers
// tell it how old its copy is. The caller must hold f.mu.
func (f *Follower) completeUpTo() int64 {
	if f.EarliestServiceMillis == nil || f.completeAt.IsZero() {
		return f.completeMillis
	}
	era, millis, ok := f.EarliestServiceMillis(f.completeAt)
	if !ok || era != f.after.Era {
		return f.completeMillis
	}
	return max(f.completeMillis, millis)
}

// put stores a row and returns true, unless the same or a newer version is known.
// The caller must hold f.mu.
func (f *Follower) put(row Row) bool {
	if f.rows == nil {
		f.rows = map[string]Row{}
	}
	old, known := f.rows[row.Key]
	if known && !row.Position().After(old.Position()) {
		return false
	}
	if known && old.Removed {
		f.removed--
	}
	if row.Removed {
		f.removed++
	}
	f.rows[row.Key] = row
	f.raiseNewest(row.Position())
	if f.removed > maxTombstones {
		f.dropOldTombstones()
	}
	return true
}

// dropOldTombstones drops the removed rows whose version is at most half of the
// newest one. The caller must hold f.mu.
func (f *Follower) dropOldTombstones() {
	middle := f.newest.Version / 2
	f.completeSince = max(f.completeSince, middle)
	for key, row := range f.rows {
		if row.Removed && row.Version <= middle {
			delete(f.rows, key)
			f.removed--
		}
	}
}

// load reads the complete table. The feed continues from the version of the first
// page, so that changes made between two pages are received as well.
func (f *Follower) load(ctx context.Context) error {
	var rows []Row
	var start Page
	sentAt := f.steady().Now()
	scan := Scan{Table: f.Table, Limit: followPage}
	for first := true; ; first = false {
		page, err := f.Client.Page(ctx, scan)
		if err != nil {
			return err
		}
		if first {
			start = Page{Era: page.Era, Version: page.Version, ClockMillis: page.ClockMillis, CompleteAt: page.CompleteAt}
			start.completeAtLeast(sentAt)
		}
		if page.Era != start.Era {
			return fmt.Errorf("%w: restored from an older copy while table %s was read", ErrUnavailable, f.Table)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		scan.After = page.Rows[len(page.Rows)-1].Key
	}
	f.answered()
	start.Rows = rows
	f.applyAll(start, Position{})
	return nil
}

// applyAll applies the complete table as read at the position of a page. If the copy is later,
// since a peer has sent later changes meanwhile, it is kept. newest is the newest change that
// peers have reported and that the table includes, or the zero position for a table that was
// read from the service.
func (f *Follower) applyAll(page Page, newest Position) {
	at, millis := Position{Era: page.Era, Version: page.Version}, page.ClockMillis
	f.mu.Lock()
	restored := f.loaded && at.Era > f.after.Era
	f.mu.Unlock()
	if restored && f.OnUnavailable != nil {
		// Rows that the copy lacks were lost and are written again, as after an outage.
		f.OnUnavailable()
		f.OnAvailable()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.after.After(at) {
		f.loaded = true
		f.raiseNewest(newest)
		if at.Era == f.after.Era {
			f.raiseCompleteAt(page.CompleteAt)
		}
		return
	}
	before, completeBefore, answeredBefore := f.rows, f.completeUpTo(), f.completeMillis
	if at.Era != f.after.Era {
		completeBefore, answeredBefore = 0, 0 // A service that was restored may have another clock.
		f.completeAt = time.Time{}
	}
	f.raiseCompleteAt(page.CompleteAt)
	f.rows, f.removed, f.newest = map[string]Row{}, 0, Position{Era: at.Era}
	f.completeSince, f.completeMillis = at.Version, max(millis, answeredBefore)
	listed := make([]Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		row.WrittenAfterMillis = max(row.WrittenAfterMillis, completeBefore)
		if known, ok := before[row.Key]; ok && known.Position() == row.Position() {
			row.WrittenAfterMillis, row.SeenMillis = known.WrittenAfterMillis, known.SeenMillis
		}
		f.put(row)
		if !row.Removed {
			listed = append(listed, row)
		}
	}
	if newest == (Position{}) && f.lost(before) {
		// Peers have to ask for the rows that the table no longer has.
		newest = at
	}
	f.raiseNewest(newest)
	f.after, f.aheadSince = at, time.Time{}
	f.loaded = true
	f.Apply(listed, true)
}

// lost reports whether the copy lacks one of the rows that it had before. The caller must
// hold f.mu.
func (f *Follower) lost(before map[string]Row) bool {
	for key, row := range before {
		if _, known := f.rows[key]; !known && !row.Removed {
			return true
		}
	}
	return false
}

// ContactAge returns the time since the service last answered this follower. It returns
// false if it has not done so yet.
func (f *Follower) ContactAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now().Sub(f.answeredAt), !f.answeredAt.IsZero()
}

// answered records that the service is available. If it was unavailable before,
// answered also logs that and calls OnAvailable.
func (f *Follower) answered() {
	f.mu.Lock()
	wasUnavailable := f.unavailable
	f.unavailable, f.probes = false, 0
	if f.completeMillis > 0 && f.failures >= minOutageFailures && f.lastFailedAt.Sub(f.failedAt) >= minOutage {
		f.completeMillis += f.lastFailedAt.Sub(f.answeredAt).Milliseconds()
	}
	f.failures = 0
	f.answeredAt = f.Clock.Now()
	f.mu.Unlock()
	if !wasUnavailable {
		return
	}
	f.Log.Info().Str("part", "follower").Str("table", f.Table).Msg("follower: table service available again")
	if f.OnAvailable != nil {
		f.OnAvailable()
	}
}

// failed records that the service is unavailable. If it was available before, failed
// also logs err and calls OnUnavailable.
func (f *Follower) failed(err error) {
	f.mu.Lock()
	wasUnavailable := f.unavailable
	f.unavailable = true
	f.lastFailedAt = f.Clock.Now()
	if f.failures == 0 {
		f.failedAt = f.lastFailedAt
	}
	f.failures++
	f.mu.Unlock()
	if wasUnavailable {
		return
	}
	f.Log.Warn().Str("part", "follower").Str("table", f.Table).Err(err).Msg("follower: table service unavailable")
	if f.OnUnavailable != nil {
		f.OnUnavailable()
	}
}
