package streambuild

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// recordTable is the table with a row for each recorded stream.
	recordTable = "streams"
	// partitions is the number of partitions of the table. The service applies the
	// transactions of a partition one after another. A host writes to one of them.
	partitions = 2
	// flushDelay is how long a write waits for records of streams that begin at the same time.
	flushDelay = 20 * time.Millisecond
	// minFlushInterval is the shortest time between two writes of records, and flushPerHost
	// the time for each host, so that the writes of all hosts don't grow with their number.
	minFlushInterval = 200 * time.Millisecond
	flushPerHost     = 2 * time.Millisecond
	// flushRetryPause is the time before a failed write is repeated.
	flushRetryPause = 250 * time.Millisecond
	// maxRecords limits the records in one transaction.
	maxRecords = 100
	// maxOwnStreams limits the streams that a host remembers.
	maxOwnStreams = 8192
	// recordKeyBytes is the length of the hash of a request ID that is the key of a record.
	recordKeyBytes = 15
)

// ownStream is a stream that this host has begun.
type ownStream struct {
	Stream

	begunAt time.Time
	// queued is set once the record is written or waits for it.
	queued bool
}

// recordKey returns the key of the record of a stream. IDs come from callers, so their length
// has no limit.
func recordKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return base64.RawURLEncoding.EncodeToString(sum[:recordKeyBytes])
}

// partitionName returns the name of a partition of the table of records.
func partitionName(n int) string { return strconv.Itoa(n) }

// Begin records that a stream begins at a build of a service. id is the ID of its request.
func (r *Registry) Begin(name, build, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own[id] == nil {
		r.order = append(r.order, id)
	}
	now := r.Clock.Now()
	r.own[id] = &ownStream{Stream: Stream{Service: name, Build: build}, begunAt: now}
	for len(r.order) > maxOwnStreams || (len(r.order) > 0 && now.Sub(r.own[r.order[0]].begunAt) > r.retention) {
		delete(r.own, r.order[0])
		r.order = r.order[1:]
	}
	// The row holds the build of an answer that another host relays, but the copy may lack it.
	if r.recorded(name) || !r.service(name).row.holds(build) {
		r.queue(id)
	}
}

// queue adds the record of a stream to those that are written next. The lock must be held.
func (r *Registry) queue(id string) {
	if s := r.own[id]; s != nil && !s.queued {
		s.queued = true
		r.unwritten = append(r.unwritten, id)
		signal(r.flush)
	}
}

// recordOwn records the streams of a service that this host has begun, if they are recorded. The
// lock must be held.
func (r *Registry) recordOwn(name string) {
	if !r.recorded(name) {
		return
	}
	for _, id := range r.order {
		if r.own[id].Service == name {
			r.queue(id)
		}
	}
}

// writeRecords writes the records of streams until ctx ends.
func (r *Registry) writeRecords(ctx context.Context) {
	for {
		select {
		case <-r.flush:
		case <-ctx.Done():
			return
		}
		_ = clock.Sleep(ctx, r.Clock, flushDelay) // The loop checks ctx.
		pause := max(minFlushInterval, time.Duration(r.HostCount())*flushPerHost)
		if ids := r.nextRecords(); len(ids) > 0 && !r.write(ctx, ids) {
			pause = max(pause, flushRetryPause)
			signal(r.flush)
		}
		_ = clock.Sleep(ctx, r.Clock, pause) // The loop checks ctx.
	}
}

// nextRecords takes the streams whose records are written next.
func (r *Registry) nextRecords() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Nobody resumes a stream that has been forgotten.
	r.unwritten = slices.DeleteFunc(r.unwritten, func(id string) bool { return r.own[id] == nil })
	n := min(maxRecords, len(r.unwritten))
	next := slices.Clone(r.unwritten[:n])
	r.unwritten = slices.Delete(r.unwritten, 0, n)
	if len(r.unwritten) > 0 {
		signal(r.flush)
	}
	return next
}

// write writes the records of streams and reports whether it did. Otherwise they are written
// again, which does no harm if they were written after all.
func (r *Registry) write(ctx context.Context, ids []string) bool {
	var tx platform.Transaction
	partition := partitionName(int(r.Rank * partitions))
	r.mu.Lock()
	for _, id := range ids {
		if s := r.own[id]; s != nil {
			value, _ := json.Marshal(s.Stream) // Strings always encode.
			tx.Writes = append(tx.Writes, platform.Write{Table: recordTable, Partition: partition, Key: recordKey(id), Value: value})
		}
	}
	r.mu.Unlock()
	if len(tx.Writes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := r.Table.CommitVersion(ctx, tx); err != nil {
		r.Log.Warn().Str("part", "streams").Int("records", len(ids)).Err(err).Msg("streams: writing records of streams failed, retrying")
		r.mu.Lock()
		r.unwritten = append(ids, r.unwritten...)
		r.mu.Unlock()
		return false
	}
	return true
}

// readRecord reads where a stream began.
func (r *Registry) readRecord(ctx context.Context, id string) (Stream, error) {
	if id == "" {
		return Stream{}, errUnknownStream
	}
	key := recordKey(id)
	for n := range partitions {
		page, err := r.Table.Page(ctx, platform.Scan{Table: recordTable, Partition: partitionName(n), Prefix: key, Limit: 1})
		if err != nil {
			return Stream{}, fmt.Errorf("reading the record of a stream: %w", err)
		}
		if len(page.Rows) == 0 {
			continue
		}
		var s Stream
		if err := json.Unmarshal(page.Rows[0].Value, &s); err != nil {
			return Stream{}, fmt.Errorf("decoding the record of a stream: %w", err)
		}
		return s, nil
	}
	return Stream{}, errUnknownStream
}
