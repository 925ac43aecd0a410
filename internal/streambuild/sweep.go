package streambuild

import (
	"context"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// sweepInterval is the interval between checks whether old records are to be removed.
	sweepInterval = 5 * time.Second
	// sweepName is the name by whose hash the host is chosen that removes old records.
	sweepName = "streams/sweep"
	// sweepPage is the number of records that are read at a time.
	sweepPage = 500
)

// sweep removes records that nobody needs any more. They have no time, so what was present in
// one sweep is removed in the next one, when streams that began before can't be resumed.
type sweep struct {
	// at is when the last sweep began, and position the position of the table then.
	at       time.Time
	position platform.Position
}

func (r *Registry) sweepRecords(ctx context.Context) {
	if r.HostRank(sweepName) > 0 {
		r.sweep = sweep{}
		return
	}
	now := r.Clock.Now()
	if !r.sweep.at.IsZero() && now.Sub(r.sweep.at) < r.longestRetention() {
		return
	}
	var next sweep
	removed := 0
	for partition := range partitions {
		scan := platform.Scan{Table: recordTable, Partition: partitionName(partition), Limit: sweepPage}
		for more := true; more; {
			page, err := r.Table.Page(ctx, scan)
			if err != nil {
				r.Log.Warn().Str("part", "streams").Err(err).Msg("streams: reading records of streams failed, old ones are removed later")
				return
			}
			if next.at.IsZero() {
				next = sweep{at: now, position: platform.Position{Era: page.Era, Version: page.Version}}
			}
			n, err := r.removeOld(ctx, page)
			if err != nil {
				r.Log.Warn().Str("part", "streams").Err(err).Msg("streams: removing old records of streams failed, retrying later")
				return
			}
			removed += n
			more = page.More && len(page.Rows) > 0
			if more {
				scan.After = page.Rows[len(page.Rows)-1].Key
			}
		}
	}
	if removed > 0 {
		r.Log.Info().Str("part", "streams").Int("records", removed).Msg("streams: old records of streams removed")
	}
	r.sweep = next
}

func (r *Registry) longestRetention() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retention
}

// removeOld removes the records of a page that were present in the last sweep, and returns their
// number.
func (r *Registry) removeOld(ctx context.Context, page platform.Page) (int, error) {
	var old []platform.Write
	for _, row := range page.Rows {
		if row.Era == r.sweep.position.Era && row.Version <= r.sweep.position.Version {
			old = append(old, platform.Write{Table: recordTable, Partition: row.Partition, Key: row.Key, Delete: true})
		}
	}
	for writes := range slices.Chunk(old, maxRecords) {
		if _, err := r.Table.CommitVersion(ctx, platform.Transaction{Writes: writes}); err != nil {
			return 0, err
		}
	}
	return len(old), nil
}
