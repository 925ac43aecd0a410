package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// requestedKey is the key of the row in which hosts record since when versions are
	// requested.
	requestedKey = "weights/requested"
	// recordDelay and recordSpread delay the write of hosts that don't hold the lease, the
	// holder is to write first. recordSpread is the difference between the hosts.
	recordDelay  = 2 * time.Second
	recordSpread = 8 * time.Second
	// recordRetryPause is the time between two attempts to write the row.
	recordRetryPause = time.Second
	// recordTimeout limits one write of the row.
	recordTimeout = time.Second
)

// requestedRow is the content of the row.
type requestedRow struct {
	// Era is the era of the table service to whose clock the times belong.
	Era int64 `json:"era"`
	// Models contains the requested versions of each model, oldest first.
	Models map[string][]requestedSince `json:"models"`
}

// requestedSince is a version and since when it is requested, in milliseconds on the clock of
// the table service. SinceMillis is 0 if that isn't known.
type requestedSince struct {
	Version     int64 `json:"version"`
	SinceMillis int64 `json:"sinceMillis"`
}

// decodeRequestedRow reads and checks the row.
func decodeRequestedRow(data []byte) (requestedRow, error) {
	var r requestedRow
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("requested weights: %w", err)
	}
	for model, versions := range r.Models {
		for _, v := range versions {
			if model == "" || v.Version <= 0 || v.SinceMillis < 0 {
				return r, fmt.Errorf("requested weights: want a model, a version above 0 and a time of at least 0 ms, got %q, %d and %d ms", model, v.Version, v.SinceMillis)
			}
		}
	}
	return r, nil
}

// find returns the entry of a version of a model, and false if there is none.
func (r *requestedRow) find(model string, version int64) (requestedSince, bool) {
	i := slices.IndexFunc(r.Models[model], func(v requestedSince) bool { return v.Version == version })
	if i < 0 {
		return requestedSince{}, false
	}
	return r.Models[model][i], true
}

// RecorderTable is the subset of the table service that the Recorder uses.
type RecorderTable interface {
	CommitVersion(ctx context.Context, tx platform.Transaction) (int64, error)
	// ServiceTime and ServiceMillis convert times, see platform.Client.
	ServiceTime(era, millis int64) (time.Time, bool)
	ServiceMillis(t time.Time) (era, millis int64, ok bool)
}

// Recorder records in a row of the shared table since when versions are requested. The rows
// of operators don't tell that to a host that starts. The exported fields are set before Run.
type Recorder struct {
	Table     RecorderTable
	Requested *RequestedVersions
	Fleet     *fleet.View
	Clock     clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	// Rank is in [0, 1). Hosts with a lower rank write sooner.
	Rank float64
	// HoldsLease reports whether this host holds the lease of the Leader.
	HoldsLease func() bool

	mu sync.Mutex
	// row and rowVersion are the row as last read or written, once the table has been read.
	row        requestedRow
	rowVersion int64
	known      bool
	// applied is set once the times of the row have been converted.
	applied bool
	// dueSince is when this host first knew more than the row, zero if it doesn't.
	dueSince time.Time
	// attemptedAt is when the row was last written or the attempt failed.
	attemptedAt time.Time
	rowErrors   platform.RowErrors
}

// ApplyRows applies rows of the shared table. If full is set, rows are the entire table.
func (r *Recorder) ApplyRows(rows []platform.Row, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.row, r.rowVersion, r.known, r.applied = requestedRow{}, 0, true, true
	}
	for _, row := range rows {
		if row.Key != requestedKey || row.Removed {
			continue
		}
		decoded, err := decodeRequestedRow(row.Value)
		if err != nil && r.rowErrors.Due(r.Steady.Now(), row.Key) {
			r.Log.Error().Str("part", "weights").Str("key", row.Key).Int64("rowVersion", row.Version).Err(err).Msg("weights: the row of requested versions can't be decoded, it is written again")
		}
		r.row, r.rowVersion = decoded, row.Version
		r.apply()
	}
}

// apply adds the versions and times of the row to the known ones. Times of an earlier era
// stay unknown. The lock must be held.
func (r *Recorder) apply() {
	r.applied = true
	now := r.Steady.Now()
	for model, versions := range r.row.Models {
		for _, v := range versions {
			since, ok := r.Table.ServiceTime(r.row.Era, v.SinceMillis)
			r.applied = r.applied && (ok || v.SinceMillis == 0)
			newest := r.Requested.SetSince(model, v.Version, since)
			entry := r.Log.Info().Str("part", "weights").Str("model", model).Int64("version", v.Version).Int64("rowVersion", r.rowVersion).Bool("newest", newest)
			if ok {
				entry = entry.Dur("requestedFor", now.Sub(since))
			}
			entry.Msg("weights: time of a request read from the shared table")
		}
	}
}

// Run writes the row when this host knows more than it contains, until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	clock.Every(ctx, r.Clock, checkInterval, r.check)
	return nil
}

func (r *Recorder) check(ctx context.Context) {
	r.mu.Lock()
	if r.known && !r.applied {
		if _, ok := r.Table.ServiceTime(r.row.Era, 1); ok {
			r.apply()
		}
	}
	row, due := r.dueRow()
	if !due {
		r.dueSince = time.Time{}
		r.mu.Unlock()
		return
	}
	now := r.Steady.Now()
	if r.dueSince.IsZero() {
		r.dueSince = now
	}
	version := r.rowVersion
	wait := now.Sub(r.attemptedAt) < recordRetryPause
	early := now.Sub(r.dueSince) < recordDelay+time.Duration(r.Rank*float64(recordSpread))
	r.mu.Unlock()
	if wait || (early && !r.HoldsLease()) {
		return
	}
	r.write(ctx, row, version)
}

// dueRow returns the row to be written, and false if the present row has all that this host
// knows, or if no target is outdated. The lock must be held.
func (r *Recorder) dueRow() (requestedRow, bool) {
	requested := r.Requested.All()
	era, _, ok := r.Table.ServiceMillis(r.Steady.Now())
	if !ok || !r.known || len(requested) == 0 {
		return requestedRow{}, false
	}
	row, due := requestedRow{Era: era, Models: map[string][]requestedSince{}}, false
	for _, model := range requested {
		for _, v := range model.Versions() {
			present, found := r.row.find(model.Model, v.Version)
			if r.row.Era != era {
				present.SinceMillis = 0
			}
			entry := requestedSince{Version: v.Version, SinceMillis: present.SinceMillis}
			if entry.SinceMillis == 0 && !v.Since.IsZero() {
				_, millis, _ := r.Table.ServiceMillis(v.Since)
				entry.SinceMillis = max(0, millis)
			}
			due = due || !found || entry.SinceMillis != present.SinceMillis
			row.Models[model.Model] = append(row.Models[model.Model], entry)
		}
	}
	return row, due && anyOutdated(r.Fleet.Targets(), requested)
}

// write writes the row on the condition that it still has a version. After a conflict, the
// row of the other host arrives with the next changes of the table.
func (r *Recorder) write(ctx context.Context, row requestedRow, version int64) {
	value, err := json.Marshal(row)
	if err != nil {
		r.Log.Error().Str("part", "weights").Err(err).Msg("weights: encoding the row of requested versions failed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	written, err := r.Table.CommitVersion(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: platform.SharedTable, Key: requestedKey, Version: version}},
		Writes:     []platform.Write{{Table: platform.SharedTable, Key: requestedKey, Value: value}},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptedAt = r.Steady.Now()
	if err != nil {
		r.Log.Warn().Str("part", "weights").Int64("rowVersion", version).Err(err).Msg("weights: writing the row of requested versions failed")
		return
	}
	r.Log.Info().Str("part", "weights").Int64("rowVersion", written).Int64("era", row.Era).Msg("weights: row of requested versions written")
	if r.rowVersion == version {
		r.row, r.rowVersion = row, written
	}
}
