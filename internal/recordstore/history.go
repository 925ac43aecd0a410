// Package recordstore stores the operators' records in the platform's table service
// and replicates them to every entry host. All records share one revision number,
// and a host never returns to a lower revision.
package recordstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Names of tables and keys in the table service.
const (
	tableConfig  = "config"
	tableRecord  = "record"
	tableHistory = "history"
	keyRevision  = "revision"
)

const scanPageSize = 500

// TableProvider is the subset of the table service that this package uses.
type TableProvider interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	Scan(ctx context.Context, s platform.Scan) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) error
}

// HistoryEntry is one accepted change in the history of the records.
type HistoryEntry struct {
	Revision int64         `json:"revision"`
	Nonce    string        `json:"nonce"`
	Operator string        `json:"operator"`
	At       time.Time     `json:"at"`
	Change   record.Change `json:"change"`
}

// UnmarshalJSON decodes and validates an entry.
func (e *HistoryEntry) UnmarshalJSON(data []byte) error {
	type plain HistoryEntry
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return err
	}
	if e.Revision < 1 || e.Change.Record.Kind == "" || e.Change.Record.Name == "" {
		return fmt.Errorf("history entry: want revision, kind and name, got %s", data)
	}
	return nil
}

// StoredRecord is the content of a record's row: the record and the revision of its
// last change.
type StoredRecord struct {
	Revision int64         `json:"revision"`
	Record   record.Record `json:"record"`
}

type revisionValue struct {
	Revision int64 `json:"revision"`
}

// Seed writes records with put, one revision each. All three tables must be empty.
func Seed(put func(table, key string, value any) error, records []record.Record, at time.Time) error {
	for i, r := range records {
		revision := int64(i + 1)
		entry := HistoryEntry{Revision: revision, Nonce: "seed", Operator: "seed", At: at, Change: record.Change{Record: r}}
		if err := put(tableHistory, historyKey(revision), entry); err != nil {
			return err
		}
		if err := put(tableRecord, r.Key(), StoredRecord{Revision: revision, Record: r}); err != nil {
			return err
		}
	}
	return put(tableConfig, keyRevision, revisionValue{Revision: int64(len(records))})
}

func historyKey(revision int64) string {
	return fmt.Sprintf("%012d", revision)
}
