package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

const (
	// batchEvery is the time between two tries to write batches of dead hosts.
	batchEvery = 2 * time.Second
	// rowsKept bounds the ledger rows kept for other hosts.
	rowsKept = 100_000
)

// LedgerTable is the part of the table service that the ledger needs.
type LedgerTable = ledger.TableProvider

// keptBatches holds copies of other hosts' ledger batches.
type keptBatches struct {
	mu      sync.Mutex
	batches map[string]*ledger.Batch
	rows    int
}

func (k *keptBatches) keep(batch *ledger.Batch) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.batches == nil {
		k.batches = map[string]*ledger.Batch{}
	}
	if k.batches[batch.Key()] != nil {
		return true
	}
	if k.rows+len(batch.Rows) > rowsKept {
		return false
	}
	k.batches[batch.Key()] = batch
	k.rows += len(batch.Rows)
	return true
}

func (k *keptBatches) release(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if batch := k.batches[key]; batch != nil {
		k.rows -= len(batch.Rows)
		delete(k.batches, key)
	}
}

// MirroredRows returns the number of ledger rows kept for other hosts.
func (g *Group) MirroredRows() int64 {
	g.batches.mu.Lock()
	defer g.batches.mu.Unlock()
	return int64(g.batches.rows)
}

func (k *keptBatches) list() []*ledger.Batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	batches := make([]*ledger.Batch, 0, len(k.batches))
	for _, batch := range k.batches {
		batches = append(batches, batch)
	}
	return batches
}

// writeBatches writes the kept batches of hosts that are gone.
func (g *Group) writeBatches(ctx context.Context) {
	for _, batch := range g.batches.list() {
		if g.lives(batch.Host, batch.Incarnation) {
			continue
		}
		if ledger.WriteBatch(ctx, g.Ledger, batch) != nil {
			return
		}
		g.batches.release(batch.Key())
	}
}

// lives reports whether a host may still write its own batches.
func (g *Group) lives(host string, incarnation int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.table.Get(host)
	return known && m.Incarnation == incarnation && m.Status <= membership.Suspect
}

// Keep hands a ledger batch to a live peer, in another failure domain if there
// is one.
func (g *Group) Keep(ctx context.Context, batch *ledger.Batch) error {
	data, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	holder, ok := g.batchHolder()
	if !ok {
		return errors.New("no live peer")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = wire.NewPeerProtobufClient(holder.URL, g.HTTP).KeepBatch(ctx, &wire.KeepBatchRequest{Batch: data})
	return err
}

// Release tells the holder that a batch is written.
func (g *Group) Release(ctx context.Context, batch *ledger.Batch) {
	holder, ok := g.batchHolder()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = wire.NewPeerProtobufClient(holder.URL, g.HTTP).ReleaseBatch(ctx, &wire.ReleaseBatchRequest{Key: batch.Key()})
}

// batchHolder returns the first live peer by name, those in other failure
// domains before those in the own one.
func (g *Group) batchHolder() (membership.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near *membership.Member
	for _, m := range g.table.Members() {
		if m.Name == g.Self.Name || m.Status != membership.Alive || m.Incarnation == 0 {
			continue
		}
		if m.FailureDomain != g.Self.FailureDomain {
			return m, true
		}
		if near == nil {
			near = &m
		}
	}
	if near == nil {
		return membership.Member{}, false
	}
	return *near, true
}
