package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

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

	mu    sync.Mutex
	hosts map[string]platform.Host
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
			r.Log.Error().Str("part", "entry").Str("key", row.Key).Err(err).Msg("entry: row of an entry host can't be decoded or has another host's name, ignoring it")
			continue
		}
		r.hosts[name] = host
	}
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

// Run writes the row of this host and retries until the write is confirmed.
func (r *hostRows) Run(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := r.Table.Commit(ctx, platform.Transaction{
			Writes: []platform.Write{{Table: platform.SharedTable, Key: hostPrefix + r.Self.Name, Value: value}},
		})
		if err == nil {
			return nil
		}
		r.Log.Warn().Str("part", "entry").Err(err).Msg("entry: writing the row of this host failed, retrying")
		_ = clock.Sleep(ctx, r.Clock, expireInterval) // The loop checks ctx.
	}
	return nil
}
