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
	purgeEvery = time.Hour
	purgePage  = 200
	purgeDuty  = "bookingPurge"
)

// Run deletes expired records now and then until ctx ends. One host does so.
func (d *Executor) Run(ctx context.Context) error {
	clock.Every(ctx, d.Clock, purgeEvery, func(ctx context.Context) {
		if d.IsOwner(purgeDuty) {
			_ = d.Purge(ctx)
		}
	})
	return nil
}

// Purge deletes the records that have expired. A record that changes in the
// meantime stays.
func (d *Executor) Purge(ctx context.Context) error {
	after := ""
	for {
		rows, err := d.Table.Scan(ctx, platform.Scan{Table: tableBooking, After: after, Limit: purgePage})
		if err != nil {
			return err
		}
		for _, row := range rows {
			after = row.Key
			if err := d.purgeRow(ctx, row); err != nil {
				return err
			}
		}
		if len(rows) < purgePage {
			return nil
		}
	}
}

func (d *Executor) purgeRow(ctx context.Context, row platform.Row) error {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return fmt.Errorf("decoding booking %s: %w", row.Key, err)
	}
	if !d.Clock.Now().After(record.Expires) {
		return nil
	}
	err := d.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: tableBooking, Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Table: tableBooking, Key: row.Key, Delete: true}},
	})
	if platform.IsConflict(err) {
		return nil
	}
	return err
}
