package recordstore

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// maxHistory is the maximum number of latest changes kept in memory for peers.
	maxHistory     = 512
	loadRetryDelay = 200 * time.Millisecond
)

// Catchup contains the changes from one revision to a higher one. If Full is set,
// the changes are the full set of records instead.
type Catchup struct {
	Revision int64           `json:"revision"`
	Full     bool            `json:"whole"`
	Changes  []record.Change `json:"changes"`
}

// PeerProvider reads records from other entry hosts and reports the state of these
// hosts.
type PeerProvider interface {
	// Catchup requests the changes after a revision from a peer that has a higher
	// one.
	Catchup(ctx context.Context, since int64) (Catchup, error)
	// HighestRevision returns the highest revision that any peer has reported.
	HighestRevision() int64
	// ContactAge returns the time since the latest contact of any peer with the table
	// service that is known on this host. It returns false if none is known.
	ContactAge() (time.Duration, bool)
	// ReachesMajority reports whether this host sees a majority of the known entry
	// hosts as alive.
	ReachesMajority() bool
}

// Follower replicates the records to this host and makes them effective. The
// exported fields are set before Run.
type Follower struct {
	Table TableProvider
	// Objects is the object store for snapshots; it may be nil.
	Objects ObjectProvider
	Peers   PeerProvider
	Clock   clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended. The age of
	// the last contact is measured on it, since the time of day may go back.
	Steady clock.Clock
	Log    *log.Logger
	// Poll is the time between two reads of the revision from the table service.
	Poll time.Duration
	// CutOffAfter is the age from which a contact with the table service no longer
	// shows that the records are up to date.
	CutOffAfter time.Duration

	current atomic.Pointer[record.Set]
	loaded  atomic.Bool
	// lastContact is the time of the last contact with the table service on Steady, nil if
	// there was none.
	lastContact atomic.Pointer[time.Time]
	wake        chan struct{}
	once        sync.Once

	mu      sync.Mutex
	history []versionedChange
}

type versionedChange struct {
	revision int64
	change   record.Change
}

// Current returns the records in force on this host. It is never nil.
func (f *Follower) Current() *record.Set {
	if set := f.current.Load(); set != nil {
		return set
	}
	return record.NewSet()
}

// RecentEnough reports whether the records of this host are recent enough to admit
// requests. They must be loaded, and one of these conditions must be met:
//   - This host reached the table service within CutOffAfter.
//   - No peer reports a higher revision, and a peer reached the table service within
//     CutOffAfter.
//   - No peer reports a higher revision, and this host sees a majority of the entry
//     hosts as alive.
func (f *Follower) RecentEnough() bool {
	if !f.loaded.Load() {
		return false
	}
	if age, known := f.ContactAge(); known && age < f.CutOffAfter {
		return true
	}
	if age, known := f.Peers.ContactAge(); known && age < f.CutOffAfter && f.Peers.HighestRevision() <= f.Current().Revision {
		return true
	}
	return f.Peers.ReachesMajority() && f.Peers.HighestRevision() <= f.Current().Revision
}

// ContactAge returns the time since this host's last contact with the table service.
// It returns false if there was none.
func (f *Follower) ContactAge() (time.Duration, bool) {
	at := f.lastContact.Load()
	if at == nil {
		return 0, false
	}
	return f.Steady.Now().Sub(*at), true
}

// Wake makes the follower check at once whether a peer has a higher revision.
func (f *Follower) Wake() {
	select {
	case f.wakeChannel() <- struct{}{}:
	default:
	}
}

func (f *Follower) wakeChannel() chan struct{} {
	f.once.Do(func() { f.wake = make(chan struct{}, 1) })
	return f.wake
}

// Run updates the records until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	_ = f.Load(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Clock.After(f.Poll):
			f.pollTable(ctx)
		case <-f.wakeChannel():
		}
		f.catchUpFromPeers(ctx)
	}
}

// Load retries until this host has loaded records or ctx ends.
func (f *Follower) Load(ctx context.Context) error {
	for {
		f.tryLoad(ctx)
		if f.loaded.Load() {
			return nil
		}
		if err := clock.Sleep(ctx, f.Clock, loadRetryDelay); err != nil {
			return err
		}
	}
}

// tryLoad loads all records from the table service. If that fails, it loads them from
// a peer, provided that this host sees a majority of the entry hosts as alive.
func (f *Follower) tryLoad(ctx context.Context) {
	err := f.loadFromTable(ctx)
	if err == nil {
		f.loaded.Store(true)
		return
	}
	f.Log.Warn().Str("part", "records").Err(err).Msg("records: loading from the table service failed; loading from a peer if a majority of hosts is alive")
	if !f.Peers.ReachesMajority() {
		return
	}
	catchup, err := f.Peers.Catchup(ctx, 0)
	if err == nil && f.apply(catchup) && f.Peers.HighestRevision() <= f.Current().Revision {
		f.loaded.Store(true)
	}
}

// loadFromTable applies the changes after the present revision. If no records are
// loaded yet, it first loads the snapshot or, if there is no usable one, every record.
func (f *Follower) loadFromTable(ctx context.Context) error {
	revision, at, err := f.readRevision(ctx)
	if err != nil {
		return err
	}
	if f.Objects != nil && f.Current().Revision == 0 {
		snapshot, err := readSnapshot(ctx, f.Objects)
		if err == nil && snapshot.Revision <= revision {
			f.apply(snapshot)
		}
	}
	if f.Current().Revision == 0 {
		if err := f.loadAllRecords(ctx, revision); err != nil {
			return err
		}
	}
	if err := f.applyHistory(ctx); err != nil {
		return err
	}
	// Peers take their records for recent by this contact, so the records up to it have to be known.
	f.recordContact(at)
	return nil
}

// loadAllRecords reads every record. Some records may be newer than the revision;
// applying the history after the revision makes the set consistent.
func (f *Follower) loadAllRecords(ctx context.Context, revision int64) error {
	catchup := Catchup{Revision: revision, Full: true}
	after := ""
	for {
		rows, err := f.Table.Scan(ctx, platform.Scan{Table: tableRecord, After: after, Limit: scanPageSize})
		if err != nil {
			return err
		}
		for _, row := range rows {
			var stored StoredRecord
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				return fmt.Errorf("decoding record %s: %w", row.Key, err)
			}
			catchup.Changes = append(catchup.Changes, record.Change{Record: stored.Record})
			after = row.Key
		}
		if len(rows) < scanPageSize {
			break
		}
	}
	f.apply(catchup)
	return nil
}

// pollTable reads the revision from the table service and applies newer changes.
func (f *Follower) pollTable(ctx context.Context) {
	revision, at, err := f.readRevision(ctx)
	if err != nil {
		return
	}
	if revision > f.Current().Revision && f.applyHistory(ctx) != nil {
		return
	}
	f.recordContact(at)
}

// Sync applies the changes in the table service at once.
func (f *Follower) Sync(ctx context.Context) error {
	at := f.Steady.Now()
	if err := f.applyHistory(ctx); err != nil {
		return err
	}
	f.recordContact(at)
	return nil
}

func (f *Follower) readRevision(ctx context.Context) (int64, time.Time, error) {
	at := f.Steady.Now()
	row, found, err := f.Table.Get(ctx, tableConfig, keyRevision)
	if err != nil || !found {
		return 0, at, err
	}
	var value revisionValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, at, fmt.Errorf("decoding revision: %w", err)
	}
	return value.Revision, at, nil
}

// applyHistory reads the changes after the present revision and applies them in
// order.
func (f *Follower) applyHistory(ctx context.Context) error {
	for {
		from := f.Current().Revision
		rows, err := f.Table.Scan(ctx, platform.Scan{Table: tableHistory, After: historyKey(from), Limit: scanPageSize})
		if err != nil {
			return err
		}
		catchup := Catchup{Revision: from}
		for _, row := range rows {
			var entry HistoryEntry
			if err := json.Unmarshal(row.Value, &entry); err != nil {
				return fmt.Errorf("decoding history %s: %w", row.Key, err)
			}
			catchup.Revision = entry.Revision
			catchup.Changes = append(catchup.Changes, entry.Change)
		}
		f.applyFrom(from, catchup)
		if len(rows) < scanPageSize {
			return nil
		}
	}
}

// catchUpFromPeers reads changes from a peer if one has reported a higher revision,
// and from the table service if no peer answers.
func (f *Follower) catchUpFromPeers(ctx context.Context) {
	current := f.Current().Revision
	if f.Peers.HighestRevision() <= current {
		return
	}
	catchup, err := f.Peers.Catchup(ctx, current)
	if err != nil {
		_ = f.applyHistory(ctx)
		return
	}
	if catchup.Full {
		f.apply(catchup)
		return
	}
	f.applyFrom(current, catchup)
}

// apply activates a full set of records if its revision is higher than the present
// one or no records are in force yet. It reports whether it did.
func (f *Follower) apply(catchup Catchup) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.Current()
	if catchup.Revision < previous.Revision || (catchup.Revision == previous.Revision && f.current.Load() != nil) {
		return false
	}
	// Records that are no longer listed are deleted. Listed records that are invalid
	// stay in their last good state.
	listed := make(map[string]bool, len(catchup.Changes))
	changes := catchup.Changes
	for _, change := range changes {
		listed[change.Record.Key()] = true
	}
	for key, r := range previous.Records {
		if !listed[key] {
			changes = append(changes, record.Change{Record: r, Deleted: true})
		}
	}
	f.activate(previous, catchup.Revision, changes)
	f.history = nil
	return true
}

// applyFrom activates the changes after the revision from. It does nothing if from
// isn't the present revision.
func (f *Follower) applyFrom(from int64, catchup Catchup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.Current()
	if previous.Revision != from || catchup.Revision <= from {
		return
	}
	f.activate(previous, catchup.Revision, catchup.Changes)
	first := catchup.Revision - int64(len(catchup.Changes)) + 1
	for i, change := range catchup.Changes {
		f.history = append(f.history, versionedChange{revision: first + int64(i), change: change})
	}
	if over := len(f.history) - maxHistory; over > 0 {
		f.history = append([]versionedChange(nil), f.history[over:]...)
	}
}

// activate applies the changes to previous and puts the result in force. The lock
// must be held.
func (f *Follower) activate(previous *record.Set, revision int64, changes []record.Change) {
	next, findings := previous.With(revision, changes)
	for _, finding := range findings {
		f.Log.Error().Str("part", "records").Int64("revision", revision).Msg("records: kept last good state: " + finding.String())
	}
	f.current.Store(next)
	f.Log.Info().Str("part", "records").Int64("revision", revision).Int("changes", len(changes)).Msg("records: revision is in force")
}

func (f *Follower) recordContact(at time.Time) {
	for {
		known := f.lastContact.Load()
		if (known != nil && !at.After(*known)) || f.lastContact.CompareAndSwap(known, &at) {
			return
		}
	}
}

// CatchupFor returns the catchup for a peer at revision since: the changes after it
// if they are in the history, otherwise the full set.
func (f *Follower) CatchupFor(since int64) Catchup {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.Current()
	if len(f.history) > 0 && f.history[0].revision <= since+1 && since > 0 {
		catchup := Catchup{Revision: set.Revision}
		for _, v := range f.history {
			if v.revision > since {
				catchup.Changes = append(catchup.Changes, v.change)
			}
		}
		return catchup
	}
	return Catchup{Revision: set.Revision, Full: true, Changes: set.Changes()}
}
