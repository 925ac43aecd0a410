// Package crashes shares among all hosts which requests targets have died
// under, by rows of the table service that are written once and never changed.
package crashes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	keyPrefix = "crash/"
	// ring bounds the crashes that wait to be written.
	ring = 64
	// batchEvery is the time over which crashes are written together.
	batchEvery = 100 * time.Millisecond
	// mostRemoved bounds the old rows that one transaction removes.
	mostRemoved = 40
)

// TableProvider is the part of the table service that the board needs.
type TableProvider interface {
	Commit(ctx context.Context, tx platform.Transaction) error
}

// Board tells the other hosts of crashes and counts theirs. The exported fields
// are set before Init.
type Board struct {
	Host        string
	Incarnation int64
	Table       TableProvider
	Clock       clock.Clock
	Log         *log.Logger
	// Keep is how long a crash counts.
	Keep time.Duration
	// Merge is told how many targets have died under a request, and how long
	// ago the last one did.
	Merge func(fingerprint string, crashes int, age time.Duration)

	mu     sync.Mutex
	seen   map[string]map[string]time.Time
	own    []ownRow
	number int64
	wait   chan string
}

type ownRow struct {
	key string
	at  time.Time
}

// Init prepares the board.
func (b *Board) Init() {
	b.seen = map[string]map[string]time.Time{}
	b.wait = make(chan string, ring)
}

// Crashed notes one target that died while a request ran. Beyond the bound of
// the ring a crash is counted on this host only.
func (b *Board) Crashed(fingerprint string) {
	select {
	case b.wait <- fingerprint:
	default:
		b.Log.Warn().Str("part", "crashes").Str("fingerprint", fingerprint).Msg("crashes: too many at once, other hosts aren't told")
	}
}

// Follow takes in rows of the shared table.
func (b *Board) Follow(rows []platform.Row) {
	now := b.Clock.Now()
	for _, row := range rows {
		rest, ok := strings.CutPrefix(row.Key, keyPrefix)
		fingerprint, source, named := strings.Cut(rest, "/")
		if !ok || !named || row.Removed || strings.HasPrefix(source, b.Host+"/") {
			continue
		}
		b.mu.Lock()
		if b.seen[fingerprint] == nil {
			b.seen[fingerprint] = map[string]time.Time{}
		}
		if _, known := b.seen[fingerprint][source]; !known {
			b.seen[fingerprint][source] = now
		}
		crashes := len(b.seen[fingerprint])
		b.mu.Unlock()
		b.Log.Info().Str("part", "crashes").Str("fingerprint", fingerprint).Str("source", source).
			Int("crashes", crashes).Msg("crashes: told by another host")
		b.Merge(fingerprint, crashes, 0)
	}
}

// Run writes crashes and removes old rows until ctx ends.
func (b *Board) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-b.wait:
			_ = clock.Sleep(ctx, b.Clock, batchEvery) // The loop looks at ctx.
			b.write(ctx, b.gather(first))
		case <-b.Clock.After(b.Keep):
			b.write(ctx, nil)
		}
	}
}

func (b *Board) gather(first string) []string {
	batch := []string{first}
	for len(batch) < ring {
		select {
		case next := <-b.wait:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// write adds a row for each crash and removes own rows that no longer count.
func (b *Board) write(ctx context.Context, batch []string) {
	now := b.Clock.Now()
	var tx platform.Transaction
	for _, fingerprint := range batch {
		b.number++
		key := fmt.Sprintf("%s%s/%s/%d-%d", keyPrefix, fingerprint, b.Host, b.Incarnation, b.number)
		value, err := json.Marshal(map[string]string{"host": b.Host})
		if err != nil {
			b.Log.Error().Str("part", "crashes").Err(err).Msg("crashes: encoding a row")
			return
		}
		tx.Writes = append(tx.Writes, platform.Write{Table: platform.SharedTable, Key: key, Value: value})
		b.own = append(b.own, ownRow{key: key, at: now})
	}
	for range mostRemoved {
		if len(b.own) == 0 || now.Sub(b.own[0].at) < b.Keep {
			break
		}
		tx.Writes = append(tx.Writes, platform.Write{Table: platform.SharedTable, Key: b.own[0].key, Delete: true})
		b.own = b.own[1:]
	}
	b.forget(now)
	if len(tx.Writes) == 0 {
		return
	}
	if err := b.Table.Commit(ctx, tx); err != nil {
		b.Log.Warn().Str("part", "crashes").Int("crashes", len(batch)).Err(err).Msg("crashes: other hosts may not be told")
	}
}

// forget drops what no longer counts.
func (b *Board) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for fingerprint, sources := range b.seen {
		for source, at := range sources {
			if now.Sub(at) >= b.Keep {
				delete(sources, source)
			}
		}
		if len(sources) == 0 {
			delete(b.seen, fingerprint)
		}
	}
}
