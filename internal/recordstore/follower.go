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
	// historyKept bounds the changes kept in memory for peers.
	historyKept = 512
	startPause  = 200 * time.Millisecond
)

// Catchup brings a host from a revision to a higher one. When Whole is set
// the changes rebuild the whole set.
type Catchup struct {
	Revision int64           `json:"revision"`
	Full     bool            `json:"whole"`
	Changes  []record.Change `json:"changes"`
}

// PeerProvider asks other entry hosts for records.
type PeerProvider interface {
	// Catchup asks a peer that knows more than the revision.
	Catchup(ctx context.Context, since int64) (Catchup, error)
	// HighestRevision returns the highest revision that peers have told of.
	HighestRevision() int64
	// ContactAge returns how long ago any host that this one hears of was in
	// contact with the table service, and false when none is known.
	ContactAge() (time.Duration, bool)
	// ReachesMajority reports whether most of the known entry hosts live by
	// what this host hears.
	ReachesMajority() bool
}

// Follower keeps the records in force on this host. The exported fields are
// set before Run.
type Follower struct {
	Table TableProvider
	// Objects may hold a snapshot of the records; it may be nil.
	Objects     ObjectProvider
	Peers       PeerProvider
	Clock       clock.Clock
	Log         *log.Logger
	Poll        time.Duration
	CutOffAfter time.Duration

	current atomic.Pointer[record.Set]
	started atomic.Bool
	contact atomic.Int64
	wake    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	history []versioned
}

type versioned struct {
	revision int64
	change   record.Change
}

// Current returns the records in force. It is never nil.
func (f *Follower) Current() *record.Set {
	if set := f.current.Load(); set != nil {
		return set
	}
	return record.NewSet()
}

// Defensible reports whether this host may admit requests on its records: it
// has read them, and within CutOffAfter it was in contact with the table
// service, with a host that was, or with most of the entry hosts.
func (f *Follower) Defensible() bool {
	if !f.started.Load() {
		return false
	}
	if f.Clock.Now().Sub(time.Unix(0, f.contact.Load())) < f.CutOffAfter {
		return true
	}
	if age, known := f.Peers.ContactAge(); known && age < f.CutOffAfter && f.Peers.HighestRevision() <= f.Current().Revision {
		return true
	}
	return f.Peers.ReachesMajority() && f.Peers.HighestRevision() <= f.Current().Revision
}

// ContactAge returns how long ago the table service told the revision.
func (f *Follower) ContactAge() (time.Duration, bool) {
	nanos := f.contact.Load()
	if nanos == 0 {
		return 0, false
	}
	return f.Clock.Now().Sub(time.Unix(0, nanos)), true
}

// Wake makes the follower look for a higher revision at once.
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

// Run follows the records until ctx ends.
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

// Load tries until this host has records, or ctx ends.
func (f *Follower) Load(ctx context.Context) error {
	for {
		f.begin(ctx)
		if f.started.Load() {
			return nil
		}
		if err := clock.Sleep(ctx, f.Clock, startPause); err != nil {
			return err
		}
	}
}

// begin reads all records, from the table service or else from a peer.
func (f *Follower) begin(ctx context.Context) {
	err := f.loadAll(ctx)
	if err == nil {
		f.started.Store(true)
		return
	}
	f.Log.Warn().Str("part", "records").Err(err).Msg("records: table service gives no records, asking peers")
	if !f.Peers.ReachesMajority() {
		return
	}
	catchup, err := f.Peers.Catchup(ctx, 0)
	if err == nil && f.apply(catchup) && f.Peers.HighestRevision() <= f.Current().Revision {
		f.started.Store(true)
	}
}

// loadAll reads a snapshot or else every record, and then the changes since.
func (f *Follower) loadAll(ctx context.Context) error {
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
		if err := f.loadRecords(ctx, revision); err != nil {
			return err
		}
	}
	f.noteContact(at)
	return f.readHistory(ctx)
}

// loadRecords reads every record. Some may be newer than the revision; the
// history behind it makes them all equally new.
func (f *Follower) loadRecords(ctx context.Context, revision int64) error {
	catchup := Catchup{Revision: revision, Full: true}
	after := ""
	for {
		rows, err := f.Table.Scan(ctx, platform.Scan{Table: tableRecord, After: after, Limit: scanPage})
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
		if len(rows) < scanPage {
			break
		}
	}
	f.apply(catchup)
	return nil
}

// pollTable asks the table service for the revision and reads what is new.
func (f *Follower) pollTable(ctx context.Context) {
	revision, at, err := f.readRevision(ctx)
	if err != nil {
		return
	}
	if revision > f.Current().Revision && f.readHistory(ctx) != nil {
		return
	}
	f.noteContact(at)
}

// Sync reads the records from the table service now.
func (f *Follower) Sync(ctx context.Context) error {
	at := f.Clock.Now()
	if err := f.readHistory(ctx); err != nil {
		return err
	}
	f.noteContact(at)
	return nil
}

func (f *Follower) readRevision(ctx context.Context) (int64, time.Time, error) {
	at := f.Clock.Now()
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

// readHistory applies the changes behind the present revision in their order.
func (f *Follower) readHistory(ctx context.Context) error {
	for {
		from := f.Current().Revision
		rows, err := f.Table.Scan(ctx, platform.Scan{Table: tableHistory, After: historyKey(from), Limit: scanPage})
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
		if len(rows) < scanPage {
			return nil
		}
	}
}

// catchUpFromPeers asks a peer when one has told of a higher revision.
func (f *Follower) catchUpFromPeers(ctx context.Context) {
	current := f.Current().Revision
	if f.Peers.HighestRevision() <= current {
		return
	}
	catchup, err := f.Peers.Catchup(ctx, current)
	if err != nil {
		_ = f.readHistory(ctx)
		return
	}
	if catchup.Full {
		f.apply(catchup)
		return
	}
	f.applyFrom(current, catchup)
}

// apply puts a whole set in force if its revision is higher.
func (f *Follower) apply(catchup Catchup) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.Current()
	if catchup.Revision < former.Revision || (catchup.Revision == former.Revision && f.current.Load() != nil) {
		return false
	}
	// Records that can't be read keep their last good state, others that are
	// no longer listed go.
	listed := make(map[string]bool, len(catchup.Changes))
	changes := catchup.Changes
	for _, change := range changes {
		listed[change.Record.Key()] = true
	}
	for key, r := range former.Records {
		if !listed[key] {
			changes = append(changes, record.Change{Record: r, Deleted: true})
		}
	}
	f.put(former, catchup.Revision, changes)
	f.history = nil
	return true
}

// applyFrom puts changes in force that follow the revision from.
func (f *Follower) applyFrom(from int64, catchup Catchup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.Current()
	if former.Revision != from || catchup.Revision <= from {
		return
	}
	f.put(former, catchup.Revision, catchup.Changes)
	first := catchup.Revision - int64(len(catchup.Changes)) + 1
	for i, change := range catchup.Changes {
		f.history = append(f.history, versioned{revision: first + int64(i), change: change})
	}
	if over := len(f.history) - historyKept; over > 0 {
		f.history = append([]versioned(nil), f.history[over:]...)
	}
}

func (f *Follower) put(former *record.Set, revision int64, changes []record.Change) {
	next, findings := former.With(revision, changes)
	for _, finding := range findings {
		f.Log.Error().Str("part", "records").Int64("revision", revision).Msg("records: kept last good state: " + finding.String())
	}
	f.current.Store(next)
	f.Log.Info().Str("part", "records").Int64("revision", revision).Int("changes", len(changes)).Msg("records: in force")
}

func (f *Follower) noteContact(at time.Time) {
	nanos := at.UnixNano()
	for {
		known := f.contact.Load()
		if known >= nanos || f.contact.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// CatchupFor answers a peer that has the records of a revision.
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
