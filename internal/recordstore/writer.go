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
	maxWriteAttempts = 20
	writeRetryDelay  = 50 * time.Millisecond
)

// ConflictError is returned if a record was changed after the revision on which a
// change is based.
type ConflictError struct {
	Key string
	// BasedOn is the revision on which the change is based.
	BasedOn int64
	// Current is the revision of the record's last change, zero if the record does
	// not exist.
	Current int64
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("record %s was last changed in revision %d, not %d", e.Key, e.Current, e.BasedOn)
}

// UncertainError is returned if a change may have been accepted and no later attempt
// showed whether it was, for example because the table service did not answer.
type UncertainError struct {
	Nonce string
	Err   error
}

// Error describes the uncertainty.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the change with nonce %s may have been accepted: %v", e.Nonce, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UncertainError) Unwrap() error { return e.Err }

// Writer changes records. The exported fields are set before the first call.
type Writer struct {
	Table    TableProvider
	Follower *Follower
	Clock    clock.Clock
}

// Amendment is a change that an operator requests.
type Amendment struct {
	Operator string
	Change   record.Change
	// BasedOn is the revision of the record's last change that the operator has seen,
	// zero for a new record.
	BasedOn int64
}

// Check returns the findings that the records would have after a change. It doesn't
// make the change.
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

// History returns at most limit accepted changes after a revision, oldest first.
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

// Apply commits an amendment and returns its revision. On success the change was
// read back and is in force on this host. If the change was accepted but is not in
// force here yet, Apply returns its revision and an error. Errors are *finding.Error,
// *ConflictError, *UncertainError and those of the table service.
func (w *Writer) Apply(ctx context.Context, a Amendment) (int64, error) {
	operation := &applyOperation{w: w, amendment: a, nonce: rand.Text()}
	for range maxWriteAttempts {
		revision, done, err := operation.tryOnce(ctx)
		if done {
			return revision, err
		}
		if !platform.IsConflict(err) && clock.Sleep(ctx, w.Clock, writeRetryDelay) != nil {
			break
		}
	}
	if operation.uncertain {
		return 0, &UncertainError{Nonce: operation.nonce, Err: operation.lastErr}
	}
	return 0, fmt.Errorf("changing %s: %w", a.Change.Record.Key(), operation.lastErr)
}

// applyOperation is the state of Apply across its attempts.
type applyOperation struct {
	w         *Writer
	amendment Amendment
	nonce     string
	// afterRevision is the revision after which the change may be in the history.
	afterRevision int64
	// uncertain is set once a commit may have taken effect.
	uncertain bool
	lastErr   error
}

// tryOnce commits the change unless an earlier attempt is found to be accepted.
func (o *applyOperation) tryOnce(ctx context.Context) (revision int64, done bool, err error) {
	if o.lastErr = o.w.Follower.Sync(ctx); o.lastErr != nil {
		return 0, false, o.lastErr
	}
	if revision, done, err = o.findAccepted(ctx); done {
		return revision, true, err
	}
	if !o.uncertain {
		o.afterRevision = o.w.Follower.Current().Revision
	}
	o.lastErr = o.w.commit(ctx, o.amendment, o.nonce)
	switch {
	case o.lastErr == nil:
		o.uncertain = true
		return o.findAccepted(ctx)
	case errors.Is(o.lastErr, platform.ErrUnknownOutcome):
		o.uncertain = true
	case isPermanent(o.lastErr):
		// An earlier attempt of this change that took effect late causes a conflict too.
		if revision, done, err = o.findAccepted(ctx); done {
			return revision, true, err
		}
		return 0, true, o.lastErr
	}
	return 0, false, o.lastErr
}

// findAccepted looks for the change in the history. If it is there, findAccepted
// makes it effective on this host.
func (o *applyOperation) findAccepted(ctx context.Context) (revision int64, done bool, err error) {
	if !o.uncertain {
		return 0, false, nil
	}
	entries, err := o.w.History(ctx, o.afterRevision, scanPageSize)
	if err != nil {
		o.lastErr = err
		return 0, false, err
	}
	for _, entry := range entries {
		if entry.Nonce == o.nonce {
			revision, err = o.w.ensureInForce(ctx, entry.Revision)
			return revision, true, err
		}
	}
	return 0, false, o.lastErr
}

// isPermanent reports whether further attempts would fail with the same error.
func isPermanent(err error) bool {
	var conflict *ConflictError
	var found *finding.Error
	return errors.As(err, &conflict) || errors.As(err, &found)
}

// commit writes an amendment once, based on the present revision.
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

// transaction increments the revision and writes the history entry and the record
// atomically.
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

// ensureInForce waits until an accepted revision is in force on this host.
func (w *Writer) ensureInForce(ctx context.Context, revision int64) (int64, error) {
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
