package streambuild

import (
	"context"
	"encoding/json"
	"fmt"
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
}

func decodeRow(data []byte) (buildsRow, error) {
	var row buildsRow
	if err := json.Unmarshal(data, &row); err != nil {
		return buildsRow{}, err
	}
	if len(row.Builds) == 0 || !slices.IsSorted(row.Builds) {
		return buildsRow{}, fmt.Errorf("want builds in ascending order, got %q", row.Builds)
	}
	return row, nil
}

func (b *buildsRow) holds(build string) bool { return slices.Contains(b.Builds, build) }

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
	if !row.Removed {
		var err error
		if decoded, err = decodeRow(row.Value); err != nil {
			r.Log.Error().Str("part", "streams").Str("key", row.Key).Int64("rowVersion", row.Version).Err(err).Msg("streams: decoding the builds of a service failed, they are announced again")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if s.position.After(row.Position()) {
		return
	}
	r.set(name, s, decoded, row.Position())
}

// set replaces the row of a service. When it comes to hold several builds, the streams that
// this host has begun are recorded. The lock must be held.
func (r *Registry) set(name string, s *service, row buildsRow, position platform.Position) {
	if position.Era > s.position.Era {
		s.earlier = append(s.earlier, s.row.Builds...)
	}
	if row.Era == position.Era && len(row.Builds) > 0 {
		s.earlier = nil
	}
	if !slices.Equal(row.Builds, s.row.Builds) {
		r.Log.Info().Str("part", "streams").Str("service", name).Strs("builds", row.Builds).Int64("rowVersion", position.Version).
			Int64("era", row.Era).Int64("uncertainUntilMillis", row.UncertainUntilMillis).Msg("streams: builds of a service changed")
	}
	s.row, s.position = row, position
	if r.recorded(s) {
		r.recordOwn(name)
	}
}

// certain reports whether the row of a service holds each build at which a stream may have
// begun. The lock must be held.
func (r *Registry) certain(s *service) bool {
	if len(s.row.Builds) == 0 || s.row.Era != s.position.Era {
		return false
	}
	if s.row.UncertainUntilMillis == 0 {
		return true
	}
	era, millis, ok := r.Table.ServiceMillis(r.Steady.Now())
	return ok && era == s.row.Era && millis >= s.row.UncertainUntilMillis
}

// recorded reports whether streams of a service are recorded one by one. The lock must be held.
func (r *Registry) recorded(s *service) bool { return len(s.row.Builds) > 1 || !r.certain(s) }

// announce writes the row of each service that lacks a listed build, or that holds one without
// targets for longer than streams can be resumed.
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
		if r.loaded && r.dueRow(now, name, s, listed[name]) {
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
	pending := len(listed) > 0 && s.row.Era != s.position.Era
	for build := range listed {
		delete(s.unlistedSince, build)
		pending = pending || !s.row.holds(build)
	}
	if !pending {
		s.pendingSince = time.Time{}
		return len(listed) > 0 && r.HostRank(rowKey(name)) == 0 && len(r.expired(now, s, listed)) > 0
	}
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
	delay := time.Duration(r.Rank*float64(announceSpread)) + min(maxAnnounceStep, time.Duration(r.HostRank(rowKey(name)))*announceStep)
	wait := max(s.pendingSince.Add(delay).Sub(now), s.attemptedAt.Add(announcePause).Sub(now))
	if wait > 0 {
		time.AfterFunc(wait, func() { signal(r.wake) })
	}
	return wait <= 0
}

// expired returns the builds of a service that have had no target for longer than their
// streams can be resumed. The lock must be held.
func (r *Registry) expired(now time.Time, s *service, listed map[string]bool) []string {
	var builds []string
	for _, build := range s.row.Builds {
		if listed[build] {
			continue
		}
		since, known := s.unlistedSince[build]
		if !known {
			s.unlistedSince[build] = now
		} else if now.Sub(since) >= r.retention {
			builds = append(builds, build)
		}
	}
	return builds
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
	expired := r.expired(now, s, listed)
	for _, build := range s.row.Builds {
		if !slices.Contains(expired, build) || r.HostRank(rowKey(name)) != 0 {
			next.Builds = append(next.Builds, build)
		}
	}
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
	}
	slices.Sort(next.Builds)
	next.Builds = slices.Compact(next.Builds)
	return next, next.Era != s.row.Era || !slices.Equal(next.Builds, s.row.Builds)
}
