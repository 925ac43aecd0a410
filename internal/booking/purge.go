package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	purgeInterval = time.Hour
	purgePageSize = 200
	purgeOwnerKey = "bookingPurge"
)

// Run deletes expired records every purgeInterval until ctx ends. Only the owner of
// purgeOwnerKey does so.
func (e *Executor) Run(ctx context.Context) error {
	clock.Every(ctx, e.Clock, purgeInterval, func(ctx context.Context) {
		if e.IsOwner(purgeOwnerKey) {
			_ = e.Purge(ctx)
		}
	})
	return nil
}

// Purge deletes the expired records. A record that is changed in the meantime is
// not deleted.
func (e *Executor) Purge(ctx context.Context) error {
	after := ""
	for {
		rows, err := e.Table.Scan(ctx, platform.Scan{Table: tableBooking, After: after, Limit: purgePageSize})
		if err != nil {
			return err
		}
		for _, row := range rows {
			after = row.Key
			if err := e.purgeRow(ctx, row); err != nil {
				return err
			}
		}
		if len(rows) < purgePageSize {
			return nil
		}
	}
}

func (e *Executor) purgeRow(ctx context.Context, row platform.Row) error {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return fmt.Errorf("decoding booking %s: %w", row.Key, err)
	}
	if !e.Clock.Now().After(record.Expires) {
		return nil
	}
	err := e.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: tableBooking, Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Table: tableBooking, Key: row.Key, Delete: true}},
	})
	if platform.IsConflict(err) {
		return nil
	}
	return err
}
