package platform

import (
	"context"
	"errors"
	"time"
)

// TableRelay provides the rows that other hosts have read of a table. A host that
// gets no answer from the service follows the table through its peers.
type TableRelay interface {
	// NewestPeerPosition returns the position of the newest row that a peer knows.
	NewestPeerPosition(table string) Position
	// PeerRows returns a peer's rows later than after.
	PeerRows(ctx context.Context, table string, after Position) (Page, error)
}

// relay fetches from a peer the rows that the service has not sent to this host.
func (f *Follower) relay(ctx context.Context) {
	ahead := f.Relay.NewestPeerPosition(f.Table)
	now := f.Clock.Now()
	f.mu.Lock()
	from, loaded := f.after, f.loaded
	if !ahead.After(from) {
		f.aheadSince = time.Time{}
	} else if f.aheadSince.IsZero() {
		f.aheadSince = now
	}
	behind := !f.aheadSince.IsZero()
	due := behind && now.Sub(f.aheadSince) >= relayDelay
	aheadSince, age := f.aheadSince, f.age()
	f.mu.Unlock()
	if !due && (!behind || f.readsService()) {
		return
	}
	page, err := f.Relay.PeerRows(ctx, f.Table, from)
	if errors.Is(err, ErrPeerBusy) {
		return // Usual after each long row.
	}
	if err != nil {
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("after", from.Version).Int64("era", from.Era).
			Dur("behind", f.Clock.Now().Sub(aheadSince)).Dur("copyAge", age).Err(err).
			Msg("follower: reading rows from a peer failed")
		return
	}
	f.Log.Info().Str("part", "follower").Str("table", f.Table).Int64("after", from.Version).Int64("ahead", ahead.Version).
		Int64("era", ahead.Era).Int("rows", len(page.Rows)).Bool("whole", page.Whole).
		Dur("behind", f.Clock.Now().Sub(aheadSince)).Dur("copyAge", age).Msg("follower: received rows from a peer")
	// The copy then includes the changes that peers have reported, as far as this peer has them.
	at := Position{Era: page.Era, Version: page.Version}
	included := ahead
	if included.After(at) {
		included = at
	}
	if !loaded || page.Whole {
		f.applyAll(page, included)
		return
	}
	f.merge(page, included)
}

// Newest returns the position of the newest row up to which the copy is complete, or an equivalent
// one. It is the zero position before the first row.
func (f *Follower) Newest() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete()
}

// RowsAfter returns the known rows that are later than after. It returns the complete copy if
// after is of an earlier era, or if rows removed since then aren't known. It returns false if
// the table has not been read yet.
func (f *Follower) RowsAfter(after Position) (Page, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return Page{}, false
	}
	page := Page{Version: f.after.Version, Era: f.after.Era, CompleteAt: f.completeAt}
	page.Whole = after.Era < f.after.Era || after.Era == f.after.Era && after.Version < f.completeSince
	for _, row := range f.rows {
		if page.Whole || row.Position().After(after) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, true
}
