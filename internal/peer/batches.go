package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

const (
	// batchInterval is the interval between calls of writeBatches.
	batchInterval = 2 * time.Second
	// maxMirroredRows limits the ledger rows held for other hosts.
	maxMirroredRows = 100_000
)

// LedgerTable is the subset of the table service that the ledger uses.
type LedgerTable = ledger.TableProvider

// batchMirror holds copies of the ledger batches of other hosts.
type batchMirror struct {
	mu      sync.Mutex
	batches map[string]*ledger.Batch
	rows    int
	// written are the batches of other hosts that this host has written.
	written ledger.KeptBatches
}

// add stores a copy of a batch, and returns false when the limit is reached.
func (m *batchMirror) add(batch *ledger.Batch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.batches == nil {
		m.batches = map[string]*ledger.Batch{}
	}
	if m.batches[batch.Key()] != nil {
		return true
	}
	if m.rows+len(batch.Rows) > maxMirroredRows {
		return false
	}
	m.batches[batch.Key()] = batch
	m.rows += len(batch.Rows)
	return true
}

func (m *batchMirror) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch := m.batches[key]; batch != nil {
		m.rows -= len(batch.Rows)
		delete(m.batches, key)
	}
}

// MirroredRows returns the number of ledger rows held for other hosts.
func (g *Group) MirroredRows() int64 {
	g.batches.mu.Lock()
	defer g.batches.mu.Unlock()
	return int64(g.batches.rows)
}

func (m *batchMirror) list() []*ledger.Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	batches := make([]*ledger.Batch, 0, len(m.batches))
	for _, batch := range m.batches {
		batches = append(batches, batch)
	}
	return batches
}

// writeBatches writes the held batches whose host is gone or has restarted, and
// therefore can't write them itself. After a failed write it stops until the next
// interval.
func (g *Group) writeBatches(ctx context.Context) {
	if g.Ledger == nil {
		return
	}
	g.batches.mu.Lock()
	lost := g.batches.written.Lost(g.Clock.Now(), g.Ledger.Era())
	g.batches.mu.Unlock()
	for _, batch := range lost {
		g.batches.add(batch)
	}
	gone := slices.DeleteFunc(g.batches.list(), func(b *ledger.Batch) bool { return g.isMember(b, membership.Suspect) })
	for batches := range slices.Chunk(gone, ledger.MaxWriteBatches) {
		if ledger.WriteBatches(ctx, g.Ledger, batches) != nil {
			return
		}
		for _, batch := range batches {
			g.batches.remove(batch.Key())
			g.batches.mu.Lock()
			g.batches.written.Add(g.Clock.Now(), batch)
			g.batches.mu.Unlock()
		}
	}
}

// isMember reports whether the process that sealed a batch has at most the given status, so that it
// may still write the batch itself.
func (g *Group) isMember(batch *ledger.Batch, highest membership.Status) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.members.Get(batch.Host)
	return known && m.Incarnation == batch.Incarnation && m.Status <= highest
}

// WriteCopies writes the held batches of hosts that aren't known to be alive, as a host that stops
// loses its copies. Once a write has failed, the others are copied to a live peer. It returns an error
// if a batch is neither written nor copied.
func (g *Group) WriteCopies(ctx context.Context) error {
	if g.Ledger == nil {
		return nil
	}
	writeCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		const share = 2 // The rest is left for copying.
		var cancel context.CancelFunc
		writeCtx, cancel = context.WithTimeout(ctx, time.Until(deadline)/share)
		defer cancel()
	}
	var failed error
	for _, batch := range g.batches.list() {
		if g.isMember(batch, membership.Alive) {
			continue // The host copies the batch to another peer.
		}
		if failed == nil {
			failed = ledger.WriteBatch(writeCtx, g.Ledger, batch)
		}
		if failed != nil {
			if err := g.Keep(ctx, batch); err != nil {
				return fmt.Errorf("%w (copying the batch to a peer failed as well: %w)", failed, err)
			}
		}
		g.batches.remove(batch.Key())
	}
	return nil
}

// Keep sends a copy of a ledger batch to a live peer, in another failure domain if
// possible.
func (g *Group) Keep(ctx context.Context, batch *ledger.Batch) error {
	data, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	holder, ok := g.batchHolder()
	if !ok {
		return errors.New("no live peer to hold a copy of the ledger batch")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = wire.NewPeerProtobufClient(holder.URL, g.client).KeepBatch(ctx, &wire.KeepBatchRequest{Batch: data})
	return err
}

// Holder returns the name and the incarnation of the peer to which this host currently sends copies
// of its batches, or an empty string.
func (g *Group) Holder() string {
	holder, ok := g.batchHolder()
	if !ok {
		return ""
	}
	return fmt.Sprintf("%s/%d", holder.Name, holder.Incarnation)
}

// Release notifies the current batch holder that a batch has been written. If another
// peer holds the copy, that peer writes the batch again once this host is gone or has
// restarted, which has no effect.
func (g *Group) Release(ctx context.Context, batch *ledger.Batch) {
	holder, ok := g.batchHolder()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = wire.NewPeerProtobufClient(holder.URL, g.client).ReleaseBatch(ctx, &wire.ReleaseBatchRequest{Key: batch.Key()})
}

// batchHolder returns the peer to which this host currently sends copies of its
// batches: the live one with the highest rendezvous hash for the name of this host,
// preferably in another failure domain, so that the copies are spread over the hosts. A
// peer with incarnation 0 is not chosen, because it is known only from the host list.
func (g *Group) batchHolder() (membership.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usable := func(m membership.Member) bool {
		return m.Name != g.Self.Name && m.Status == membership.Alive && m.Incarnation > 0
	}
	name := g.members.OwnerAmong(g.Self.Name, func(m membership.Member) bool {
		return usable(m) && m.FailureDomain != g.Self.FailureDomain
	})
	if name == "" {
		name = g.members.OwnerAmong(g.Self.Name, usable)
	}
	return g.members.Get(name)
}
