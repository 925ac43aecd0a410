package recordstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	writeAttempts = 20
	writePause    = 50 * time.Millisecond
)

// ConflictError says that a record was changed since the revision on which a
// change was based.
type ConflictError struct {
	Key string
	// BasedOn is the revision that the operator named.
	BasedOn int64
	// Current is the revision of the record's last change, zero when it does
	// not exist.
	Current int64
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("record %s was last changed in revision %d, not %d", e.Key, e.Current, e.BasedOn)
}

// UncertainError says that a change may have been accepted and that the table
// service gave no answer to find out.
type UncertainError struct {
	Nonce string
	Err   error
}

// Error describes the uncertainty.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the change with nonce %s may have been accepted: %v", e.Nonce, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Writer changes records. The exported fields are set before the first call.
type Writer struct {
	Table    TableProvider
	Follower *Follower
	Clock    clock.Clock
}

// Amendment is a change that an operator asks for.
type Amendment struct {
	Operator string
	Change   record.Change
	// BasedOn is the revision of the record's last change that the operator
	// has seen, zero for a new record.
	BasedOn int64
}

// Check returns what would be wrong with the records after a change.
func (w *Writer) Check(change record.Change) finding.List {
	if !change.Deleted {
		if findings := change.Record.Check(); len(findings) > 0 {
			return findings
		}
	}
	set := w.Follower.Current()
	next, findings := set.With(set.Revision+1, []record.Change{change})
	return append(findings, next.CheckReferences()...)
}

// Get returns a record with the revision of its last change.
func (w *Writer) Get(ctx context.Context, kind record.Kind, name string) (StoredRecord, bool, error) {
	stored, _, found, err := w.read(ctx, record.Key(kind, name))
	return stored, found, err
}

// History returns the accepted changes behind a revision, the oldest first.
func (w *Writer) History(ctx context.Context, after int64, limit int) ([]HistoryEntry, error) {
	rows, err := w.Table.Scan(ctx, platform.Scan{Table: tableHistory, After: historyKey(after), Limit: limit})
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for _, row := range rows {
		var entry HistoryEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, fmt.Errorf("decoding history %s: %w", row.Key, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Apply accepts an amendment and returns its revision. The change is then
// committed, read back and in force on this host. Errors are *finding.Error,
// *ConflictError, *UncertainError and those of the table service.
func (w *Writer) Apply(ctx context.Context, a Amendment) (int64, error) {
	attempt := &amendAttempt{w: w, amendment: a, nonce: rand.Text()}
	for range writeAttempts {
		revision, done, err := attempt.try(ctx)
		if done {
			return revision, err
		}
		if !platform.IsConflict(err) && clock.Sleep(ctx, w.Clock, writePause) != nil {
			break
		}
	}
	if attempt.uncertain {
		return 0, &UncertainError{Nonce: attempt.nonce, Err: attempt.last}
	}
	return 0, fmt.Errorf("changing %s: %w", a.Change.Record.Key(), attempt.last)
}

// amendAttempt is one amendment over its tries.
type amendAttempt struct {
	w         *Writer
	amendment Amendment
	nonce     string
	// from is the revision behind which an own change may stand.
	from int64
	// uncertain is set when a commit may have taken effect.
	uncertain bool
	last      error
}

// try commits once, unless the change is found to be accepted already.
func (t *amendAttempt) try(ctx context.Context) (revision int64, done bool, err error) {
	if t.last = t.w.Follower.Sync(ctx); t.last != nil {
		return 0, false, t.last
	}
	if revision, done, err = t.accepted(ctx); done {
		return revision, true, err
	}
	if !t.uncertain {
		t.from = t.w.Follower.Current().Revision
	}
	t.last = t.w.commit(ctx, t.amendment, t.nonce)
	switch {
	case t.last == nil:
		t.uncertain = true
		return t.accepted(ctx)
	case errors.Is(t.last, platform.ErrUnknownOutcome):
		t.uncertain = true
	case refusedForGood(t.last):
		// A late effect of a former try looks like a conflict.
		if revision, done, err = t.accepted(ctx); done {
			return revision, true, err
		}
		return 0, true, t.last
	}
	return 0, false, t.last
}

// accepted looks for the change in the history and brings it in force here.
func (t *amendAttempt) accepted(ctx context.Context) (revision int64, done bool, err error) {
	if !t.uncertain {
		return 0, false, nil
	}
	entries, err := t.w.History(ctx, t.from, scanPage)
	if err != nil {
		t.last = err
		return 0, false, err
	}
	for _, entry := range entries {
		if entry.Nonce == t.nonce {
			revision, err = t.w.inForce(ctx, entry.Revision)
			return revision, true, err
		}
	}
	return 0, false, t.last
}

// refusedForGood reports whether another try can't succeed.
func refusedForGood(err error) bool {
	var conflict *ConflictError
	var found *finding.Error
	return errors.As(err, &conflict) || errors.As(err, &found)
}

// commit tries to write an amendment once, on top of the present revision.
func (w *Writer) commit(ctx context.Context, a Amendment, nonce string) error {
	if findings := w.Check(a.Change); len(findings) > 0 {
		return findings.Err()
	}
	key := a.Change.Record.Key()
	stored, recordVersion, _, err := w.read(ctx, key)
	if err != nil {
		return err
	}
	if stored.Revision != a.BasedOn {
		return &ConflictError{Key: key, BasedOn: a.BasedOn, Current: stored.Revision}
	}
	row, _, err := w.Table.Get(ctx, tableConfig, keyRevision)
	if err != nil {
		return err
	}
	var current revisionValue
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fmt.Errorf("decoding revision: %w", err)
		}
	}
	if current.Revision != w.Follower.Current().Revision {
		return &platform.ConflictError{Table: tableConfig, Key: keyRevision, Wanted: w.Follower.Current().Revision, Current: current.Revision}
	}
	entry := HistoryEntry{Revision: current.Revision + 1, Nonce: nonce, Operator: a.Operator, At: w.Clock.Now().UTC(), Change: a.Change}
	tx, err := transaction(entry, row.Version, recordVersion)
	if err != nil {
		return err
	}
	return w.Table.Commit(ctx, tx)
}

// transaction bumps the revision, writes the history and the record together.
func transaction(entry HistoryEntry, revisionVersion, recordVersion int64) (platform.Transaction, error) {
	key := entry.Change.Record.Key()
	tx := platform.Transaction{Conditions: []platform.Condition{
		{Table: tableConfig, Key: keyRevision, Version: revisionVersion},
		{Table: tableRecord, Key: key, Version: recordVersion},
		{Table: tableHistory, Key: historyKey(entry.Revision), Version: 0},
	}}
	stored := StoredRecord{Revision: entry.Revision, Record: entry.Change.Record}
	for _, write := range []struct {
		table, key string
		value      any
		remove     bool
	}{
		{table: tableConfig, key: keyRevision, value: revisionValue{Revision: entry.Revision}},
		{table: tableHistory, key: historyKey(entry.Revision), value: entry},
		{table: tableRecord, key: key, value: stored, remove: entry.Change.Deleted},
	} {
		data, err := json.Marshal(write.value)
		if err != nil {
			return tx, fmt.Errorf("encoding %s: %w", write.key, err)
		}
		tx.Writes = append(tx.Writes, platform.Write{Table: write.table, Key: write.key, Value: data, Delete: write.remove})
	}
	return tx, nil
}

// inForce makes sure that an accepted revision is in force here.
func (w *Writer) inForce(ctx context.Context, revision int64) (int64, error) {
	for w.Follower.Current().Revision < revision {
		if err := w.Follower.Sync(ctx); err != nil {
			return revision, fmt.Errorf("revision %d is accepted but not yet in force here: %w", revision, err)
		}
	}
	return revision, nil
}

func (w *Writer) read(ctx context.Context, key string) (StoredRecord, int64, bool, error) {
	row, found, err := w.Table.Get(ctx, tableRecord, key)
	if err != nil || !found {
		return StoredRecord{}, 0, false, err
	}
	var stored StoredRecord
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return StoredRecord{}, 0, false, fmt.Errorf("decoding record %s: %w", key, err)
	}
	return stored, row.Version, true, nil
}
