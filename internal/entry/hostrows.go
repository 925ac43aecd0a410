package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const hostPrefix = "host/"

// hostRows writes the row of this host into the shared table, and lists the entry
// hosts by the rows that they have written. Its exported fields must be set before
// use.
type hostRows struct {
	Self  platform.Host
	Table rowWriter
	Clock clock.Clock
	Log   *log.Logger

	mu sync.Mutex
	// hosts is nil until the complete table has been applied.
	hosts map[string]platform.Host
	// written is set once the row of this host is confirmed, until a complete table lacks
	// it or has another one.
	written   bool
	rowErrors platform.RowErrors
}

// rowWriter is the subset of the table service that hostRows uses.
type rowWriter interface {
	Commit(ctx context.Context, tx platform.Transaction) error
}

// ApplyRows applies changed rows of the shared table, or the complete table when
// full is set. Rows of other kinds are ignored.
func (r *hostRows) ApplyRows(rows []platform.Row, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hosts == nil || full {
		r.hosts = map[string]platform.Host{}
	}
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, hostPrefix)
		if !ok {
			continue
		}
		if row.Removed {
			delete(r.hosts, name)
			continue
		}
		var host platform.Host
		if err := json.Unmarshal(row.Value, &host); err != nil || host.Name != name {
			if !r.rowErrors.Due(r.Clock.Now(), row.Key) {
				continue
			}
			r.Log.Error().Str("part", "entry").Str("key", row.Key).Err(err).Msg("entry: row of an entry host can't be decoded or has another host's name, ignoring it")
			continue
		}
		r.hosts[name] = host
	}
	// A table that was restored from an older copy may state an earlier capacity.
	if own := r.hosts[r.Self.Name]; full && r.written && own != r.Self {
		r.written = false
		r.Log.Warn().Str("part", "entry").Any("found", own).Msg("entry: the shared table lacks the row of this host or has another one, writing it again")
	}
}

// hasHosts reports whether any row is that of an entry host.
func hasHosts(rows []platform.Row) bool {
	return slices.ContainsFunc(rows, func(row platform.Row) bool { return strings.HasPrefix(row.Key, hostPrefix) })
}

// count returns the number of known entry hosts. It returns false until the table has been read.
func (r *hostRows) count() (n int, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts), r.hosts != nil
}

// Hosts returns the known entry hosts.
func (r *hostRows) Hosts(context.Context) ([]platform.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]platform.Host, 0, len(r.hosts))
	for _, host := range r.hosts {
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// missing reports whether the row of this host has to be written.
func (r *hostRows) missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.written
}

// rewriteSpread is the time over which the hosts spread the writes of their rows when
// the table service has lost them.
const rewriteSpread = time.Second

const (
	// readTimeout is how long Run waits for the shared table, and readCheck the time between two
	// checks whether it has been read.
	readTimeout = 2 * time.Second
	readCheck   = 10 * time.Millisecond
)

// awaitTable waits until the shared table has been read, for at most readTimeout. It reports whether
// the table contains the row of this host as it is to be.
func (r *hostRows) awaitTable(ctx context.Context) (listed bool) {
	for range readTimeout / readCheck {
		r.mu.Lock()
		own, found := r.hosts[r.Self.Name]
		known := r.hosts != nil
		if found && own == r.Self {
			r.written, listed = true, true
		}
		r.mu.Unlock()
		if known || clock.Sleep(ctx, r.Clock, readCheck) != nil {
			break
		}
	}
	return listed
}

// Run writes the row of this host unless the shared table contains it already, and again when the
// table service has lost it. It retries until the write is confirmed.
func (r *hostRows) Run(ctx context.Context) error {
	if !r.awaitTable(ctx) {
		if err := r.write(ctx); err != nil {
			return err
		}
	}
	clock.Every(ctx, r.Clock, expireInterval, func(ctx context.Context) {
		if r.missing() && clock.Sleep(ctx, r.Clock, time.Duration(rank(r.Self.Name)*float64(rewriteSpread))) == nil {
			_ = r.write(ctx) // The row was encoded before, and failed writes are logged.
		}
	})
	return nil
}

// write writes the row of this host until that is confirmed or ctx ends.
func (r *hostRows) write(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := r.Table.Commit(ctx, platform.Transaction{
			Writes: []platform.Write{{Table: platform.SharedTable, Key: hostPrefix + r.Self.Name, Value: value}},
		})
		if err == nil {
			r.mu.Lock()
			r.written = true
			r.mu.Unlock()
			return nil
		}
		r.Log.Warn().Str("part", "entry").Err(err).Msg("entry: writing the row of this host failed, retrying")
		_ = clock.Sleep(ctx, r.Clock, expireInterval) // The loop checks ctx.
	}
	return nil
}
