package streambuild

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// rowPrefix is the prefix of the keys of the rows of services in the shared table.
const rowPrefix = "builds/"

func rowKey(service string) string { return rowPrefix + service }

const (
	// announceSpread and announceStep delay the announcement of a build, so that few hosts
	// attempt it at the same time.
	announceSpread  = 100 * time.Millisecond
	announceStep    = 50 * time.Millisecond
	maxAnnounceStep = 500 * time.Millisecond
	// announcePause is the time between two attempts to write a row.
	announcePause = 250 * time.Millisecond
	// closeDelay is how long a build has no target before it is closed.
	closeDelay = 2 * time.Second
	// writeTimeout limits one write of a row or of records.
	writeTimeout = time.Second
)

// buildsRow is the content of the row of a service.
type buildsRow struct {
	// Era is the era of the table service in which the row was written.
	Era int64 `json:"era"`
	// Builds are the builds at which streams may have begun, sorted.
	Builds []string `json:"builds"`
	// UncertainUntilMillis is the time on the clock of the table service up to which streams
	// may exist that began at another build, since an earlier row was lost. It is 0 if there
	// are none.
	UncertainUntilMillis int64 `json:"uncertainUntilMillis,omitempty"`
	// ClosedUntilMillis holds the builds without targets, at which no more streams begin, with the
	// time on the clock of the table service up to which those that began can be resumed.
	ClosedUntilMillis map[string]int64 `json:"closedUntilMillis,omitempty"`
}

func decodeRow(data []byte) (buildsRow, error) {
	var row buildsRow
	if err := json.Unmarshal(data, &row); err != nil {
		return buildsRow{}, err
	}
	if len(row.Builds) == 0 || !slices.IsSorted(row.Builds) {
		return buildsRow{}, fmt.Errorf("want builds in ascending order, got %q", row.Builds)
	}
	for build := range row.ClosedUntilMillis {
		if !row.holds(build) {
			return buildsRow{}, fmt.Errorf("want closed builds among %q, got %q", row.Builds, build)
		}
	}
	return row, nil
}

func (b *buildsRow) holds(build string) bool { return slices.Contains(b.Builds, build) }

// open reports whether streams may begin at a build.
func (b *buildsRow) open(build string) bool {
	_, closed := b.ClosedUntilMillis[build]
	return b.holds(build) && !closed
}

func (b *buildsRow) equal(c *buildsRow) bool {
	return b.Era == c.Era && slices.Equal(b.Builds, c.Builds) && maps.Equal(b.ClosedUntilMillis, c.ClosedUntilMillis)
}

// ApplyRows applies rows of the shared table. If full is set, rows are the entire table.
func (r *Registry) ApplyRows(rows []platform.Row, full bool) {
	present := map[string]bool{}
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key, rowPrefix); ok {
			present[name] = true
			r.apply(name, row)
		}
	}
	if full {
		r.mu.Lock()
		r.loaded = true
		for name, s := range r.services {
			if era := r.Table.Era(); !present[name] && era > s.position.Era {
				r.set(name, s, buildsRow{}, platform.Position{Era: era})
			}
		}
		r.mu.Unlock()
	}
	if full || len(present) > 0 {
		signal(r.wake)
		r.OnChange()
	}
}

// apply applies the row of a service, unless a later one is known.
func (r *Registry) apply(name string, row platform.Row) {
	decoded := buildsRow{Era: row.Era}
	var err error
	if !row.Removed {
		decoded, err = decodeRow(row.Value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.rowErrors.Due(r.Clock.Now(), row.Key) {
		r.Log.Error().Str("part", "streams").Str("key", row.Key).Int64("rowVersion", row.Version).Err(err).Msg("streams: the builds of a service can't be decoded, they are announced again")
	}
	s := r.service(name)
	if s.position.After(row.Position()) {
		return
	}
	r.set(name, s, decoded, row.Position())
}

// set replaces the row of a service. When streams are recorded from then on, so are those that this
// host has begun. The lock must be held.
func (r *Registry) set(name string, s *service, row buildsRow, position platform.Position) {
	if position.Era > s.position.Era {
		s.earlier = append(s.earlier, s.row.Builds...)
	}
	if row.Era == position.Era && len(row.Builds) > 0 {
		s.earlier = nil
	}
	for _, build := range row.Builds {
		if row.open(build) && !s.row.open(build) {
			delete(s.unlistedSince, build) // Another host lists it.
		}
	}
	if !slices.Equal(row.Builds, s.row.Builds) || !maps.Equal(row.ClosedUntilMillis, s.row.ClosedUntilMillis) {
		r.Log.Info().Str("part", "streams").Str("service", name).Strs("builds", row.Builds).Strs("closed", slices.Sorted(maps.Keys(row.ClosedUntilMillis))).Int64("rowVersion", position.Version).
			Int64("era", row.Era).Int64("uncertainUntilMillis", row.UncertainUntilMillis).Msg("streams: builds of a service changed")
	}
	s.row, s.position = row, position
	for _, related := range r.related(name) {
		r.recordOwn(related)
	}
}

// certain reports whether the row of a service holds each build at which a stream may have
// begun. The lock must be held.
func (r *Registry) certain(s *service) bool {
	if len(s.row.Builds) == 0 || s.row.Era != s.position.Era {
		return false
	}
	return s.row.UncertainUntilMillis == 0 || r.passed(&s.row, s.row.UncertainUntilMillis)
}

// passed reports whether a time of the table service in the era of a row has passed.
func (r *Registry) passed(row *buildsRow, millis int64) bool {
	era, now, ok := r.Table.ServiceMillis(r.Steady.Now())
	return ok && era == row.Era && now >= millis
}

// announce writes the row of each service that lacks a listed build, or that holds one which is
// to be closed or withdrawn.
func (r *Registry) announce(ctx context.Context) {
	listed := map[string]map[string]bool{}
	for _, t := range r.Fleet.Targets() {
		if listed[t.Service] == nil {
			listed[t.Service] = map[string]bool{}
		}
		listed[t.Service][t.Build] = true
	}
	now := r.Clock.Now()
	var due []string
	r.mu.Lock()
	for name := range listed {
		r.service(name)
	}
	for name, s := range r.services {
		if len(listed[name]) == 0 {
			s.pendingSince = time.Time{}
		} else if r.loaded && r.dueRow(now, name, s, listed[name]) {
			due = append(due, name)
		}
	}
	r.mu.Unlock()
	slices.Sort(due)
	for _, name := range due {
		r.writeRow(ctx, name, listed[name])
	}
}

// dueRow reports whether this host is to write the row of a service now. The lock must be held.
func (r *Registry) dueRow(now time.Time, name string, s *service, listed map[string]bool) bool {
	pending := s.row.Era != s.position.Era
	for build := range listed {
		delete(s.unlistedSince, build)
		pending = pending || !s.row.open(build)
	}
	wait := s.attemptedAt.Add(announcePause).Sub(now)
	if pending {
		if s.pendingSince.IsZero() {
			s.pendingSince = now
		}
		delay := time.Duration(r.Rank*float64(announceSpread)) + min(maxAnnounceStep, time.Duration(r.HostRank(rowKey(name)))*announceStep)
		wait = max(wait, s.pendingSince.Add(delay).Sub(now))
	} else {
		s.pendingSince = time.Time{}
		builds, closed := r.retain(now, name, s, listed)
		if len(builds) == len(s.row.Builds) && len(closed) == len(s.row.ClosedUntilMillis) {
			return false
		}
	}
	if wait > 0 {
		time.AfterFunc(wait, func() { signal(r.wake) })
	}
	return wait <= 0
}

// retain returns the builds that the row of a service is to keep, and which of them are closed.
// One host closes builds without targets and withdraws them when their streams can't be resumed
// any more. The list of targets doesn't show whether they can: it may be out of date, and a write
// may be carried out late. But a host that lists a closed build opens it before a stream begins
// there, and the withdrawal then finds another row. The lock must be held.
func (r *Registry) retain(now time.Time, name string, s *service, listed map[string]bool) (builds []string, closed map[string]int64) {
	first := r.HostRank(rowKey(name)) == 0
	closed = map[string]int64{}
	for _, build := range s.row.Builds {
		if listed[build] {
			builds = append(builds, build)
			continue
		}
		until, isClosed := s.row.ClosedUntilMillis[build]
		since, known := s.unlistedSince[build]
		switch {
		case isClosed && first && r.passed(&s.row, until):
			continue
		case isClosed:
			closed[build] = until
		case !known:
			s.unlistedSince[build] = now
		case first && now.Sub(since) >= closeDelay:
			if era, millis, ok := r.Table.ServiceMillis(r.Steady.Now()); ok && era == s.row.Era {
				closed[build] = millis + r.retention.Milliseconds()
			}
		}
		builds = append(builds, build)
	}
	return builds, closed
}

// writeRow reads the row of a service, and writes it on the condition that it hasn't changed
// since. After a conflict it is read again with the next attempt.
func (r *Registry) writeRow(ctx context.Context, name string, listed map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := r.Clock.Now()
	r.mu.Lock()
	s := r.service(name)
	s.attemptedAt = now
	r.mu.Unlock()
	row, exists, err := r.Table.Get(ctx, platform.SharedTable, rowKey(name))
	if err != nil {
		r.Log.Warn().Str("part", "streams").Str("service", name).Err(err).Msg("streams: reading the builds of a service failed, retrying")
		signal(r.wake)
		return
	}
	if exists {
		r.apply(name, row)
	}
	next, due := r.nextRow(now, name, row, exists, listed)
	if !due {
		r.OnChange()
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		r.Log.Error().Str("part", "streams").Str("service", name).Err(err).Msg("streams: encoding the builds of a service failed")
		return
	}
	written, err := r.Table.CommitVersion(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: platform.SharedTable, Key: rowKey(name), Version: row.Version}},
		Writes:     []platform.Write{{Table: platform.SharedTable, Key: rowKey(name), Value: value}},
	})
	if err != nil {
		r.Log.Info().Str("part", "streams").Str("service", name).Strs("builds", next.Builds).Err(err).Msg("streams: announcing builds of a service failed, retrying")
		signal(r.wake)
		return
	}
	r.mu.Lock()
	if position := (platform.Position{Era: next.Era, Version: written}); position.After(s.position) {
		r.set(name, s, next, position)
	}
	r.mu.Unlock()
	r.OnChange()
}

// nextRow returns what the row of a service is to hold, given the row as just read. It returns
// false if the row is to stay.
func (r *Registry) nextRow(now time.Time, name string, row platform.Row, exists bool, listed map[string]bool) (buildsRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if !exists {
		r.set(name, s, buildsRow{}, platform.Position{Era: r.Table.Era()})
	}
	next := buildsRow{Era: s.position.Era, UncertainUntilMillis: s.row.UncertainUntilMillis}
	next.Builds, next.ClosedUntilMillis = r.retain(now, name, s, listed)
	for build := range listed {
		next.Builds = append(next.Builds, build)
	}
	if lost := len(s.row.Builds) == 0 || s.row.Era != next.Era; lost && (row.Version > 0 || next.Era > 0) {
		// Builds that were announced since the copy was made are missing in it.
		_, millis, ok := r.Table.ServiceMillis(r.Steady.Now())
		if !ok {
			return buildsRow{}, false
		}
		next.UncertainUntilMillis = millis + r.retention.Milliseconds()
		next.Builds = append(next.Builds, s.earlier...)
		next.ClosedUntilMillis = nil // The times are of another era.
	}
	slices.Sort(next.Builds)
	next.Builds = slices.Compact(next.Builds)
	return next, !next.equal(&s.row)
}
