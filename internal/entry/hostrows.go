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

// hostRows are the entry hosts that have written a row of their own into the
// shared table. The fields are set before use.
type hostRows struct {
	Self  platform.Host
	Table rowWriter
	Clock clock.Clock
	Log   *log.Logger

	mu    sync.Mutex
	hosts map[string]platform.Host
}

// rowWriter is the part of the table service that hostRows needs.
type rowWriter interface {
	Commit(ctx context.Context, tx platform.Transaction) error
}

// Follow takes in rows of the shared table.
func (r *hostRows) Follow(rows []platform.Row, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hosts == nil || whole {
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
			r.Log.Error().Str("part", "entry").Str("key", row.Key).Err(err).Msg("entry: row of a host can't be read")
			continue
		}
		r.hosts[name] = host
	}
}

// Hosts returns the entry hosts that are known.
func (r *hostRows) Hosts(context.Context) ([]platform.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]platform.Host, 0, len(r.hosts))
	for _, host := range r.hosts {
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// Run writes the row of this host, trying until it is known to be there.
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
		r.Log.Warn().Str("part", "entry").Err(err).Msg("entry: this host can't be listed yet")
		_ = clock.Sleep(ctx, r.Clock, expireEvery) // The loop looks at ctx.
	}
	return nil
}
