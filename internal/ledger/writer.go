package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	tableLedger  = "ledger"
	scanPageSize = 200
)

// TableProvider is the subset of the table service that the ledger uses.
type TableProvider interface {
	Scan(ctx context.Context, s platform.Scan) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Transaction) error
	// Era returns the era of the table service, see platform.Position.
	Era() int64
}

// BatchMirror stores copies of sealed batches on another host.
type BatchMirror interface {
	// Keep stores a copy of an unwritten batch on another host.
	Keep(ctx context.Context, batch *Batch) error
	// Holder returns the process of the host that Keep uses now, empty if there is none.
	Holder() string
	// Release deletes the copy. It is called once the batch is written.
	Release(ctx context.Context, batch *Batch)
}

// Writer records placements and writes them in batches. The exported fields are
// set before Run.
type Writer struct {
	Host        string
	Incarnation int64
	Table       TableProvider
	Clock       clock.Clock
	Log         *log.Logger
	// FlushEvery is the minimum time between two flushes by Run.
	FlushEvery time.Duration
	// CopyEvery is the time between two copies of unwritten batches to Mirror by Run. 0
	// makes copies only after a failed write.
	CopyEvery time.Duration
	// HostCount returns the number of alive entry hosts. If it is nil, WritesPerSecond
	// has no effect.
	HostCount func() int
	// WritesPerSecond is the write budget of all entry hosts together.
	WritesPerSecond float64
	// BatchRows is the maximum number of rows in a batch.
	BatchRows int
	// BufferRows is the number of unwritten rows at which Full starts to report true.
	BufferRows int
	// Mirror may be nil.
	Mirror BatchMirror

	mu       sync.Mutex
	open     []Row
	sealed   []*Batch
	buffered int
	number   int64
	// kept are the batches written lately.
	kept    KeptBatches
	flushMu sync.Mutex
}

// Add records one placement.
func (w *Writer) Add(row Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = append(w.open, row)
	w.buffered++
	if len(w.open) >= w.BatchRows {
		w.seal()
	}
}

// Full reports whether the number of unwritten rows has reached BufferRows.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffered >= w.BufferRows
}

// Buffered returns the number of unwritten rows.
func (w *Writer) Buffered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffered
}

// seal moves the open rows into a new batch. The lock must be held.
func (w *Writer) seal() {
	if len(w.open) == 0 {
		return
	}
	w.number++
	w.sealed = append(w.sealed, &Batch{Host: w.Host, Incarnation: w.Incarnation, Number: w.number, Rows: w.open})
	w.open = nil
}

// Run writes batches until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	lastFlush := w.Clock.Now()
	for clock.Tick(ctx, w.Clock, w.pause()) == nil {
		if w.CopyEvery > 0 && w.Clock.Now().Sub(lastFlush) < w.Interval() {
			if err := w.copyUnwritten(ctx); err != nil && ctx.Err() == nil {
				w.Log.Warn().Str("part", "ledger").Int("rows", w.Buffered()).Err(err).Msg("ledger: copying batches to a peer failed; rows stay buffered")
			}
			continue
		}
		lastFlush = w.Clock.Now()
		if err := w.Flush(ctx); err != nil && ctx.Err() == nil {
			w.Log.Warn().Str("part", "ledger").Int("rows", w.Buffered()).Err(err).Msg("ledger: writing batches failed; rows stay buffered")
		}
	}
	return nil
}

// pause returns the time between two steps of Run.
func (w *Writer) pause() time.Duration {
	if w.CopyEvery > 0 {
		return min(w.CopyEvery, w.Interval())
	}
	return w.Interval()
}

// copyUnwritten copies the rows added so far to another host, so that they survive this
// one until they are written.
func (w *Writer) copyUnwritten(ctx context.Context) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	w.seal()
	w.mu.Unlock()
	return w.mirrorSealed(ctx)
}

// Interval returns the time between two flushes by Run. It grows with the number of
// hosts, so that all of them together stay within WritesPerSecond.
func (w *Writer) Interval() time.Duration {
	if w.HostCount == nil || w.WritesPerSecond <= 0 {
		return w.FlushEvery
	}
	sharedInterval := time.Duration(float64(w.HostCount()) / w.WritesPerSecond * float64(time.Second))
	return max(w.FlushEvery, sharedInterval)
}

// Flush writes all rows added so far. On an error the rows that aren't written stay
// buffered, and Mirror, if set, copies their batches to another host.
func (w *Writer) Flush(ctx context.Context) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	w.seal()
	w.restoreLost()
	w.mu.Unlock()
	for {
		batches := w.firstSealed()
		if len(batches) == 0 {
			return nil
		}
		if err := w.write(ctx, batches); err != nil {
			if mirrorErr := w.mirrorSealed(ctx); mirrorErr != nil {
				return fmt.Errorf("%w (copying the batch to a peer failed as well: %w)", err, mirrorErr)
			}
			return err
		}
		w.release(ctx, batches)
		w.mu.Lock()
		w.sealed = w.sealed[len(batches):]
		for _, batch := range batches {
			w.buffered -= len(batch.Rows)
			w.kept.Add(w.Clock.Now(), batch)
		}
		w.mu.Unlock()
	}
}

// write writes batches. If ctx has a deadline, half of the time is left for copying them.
func (w *Writer) write(ctx context.Context, batches []*Batch) error {
	if deadline, ok := ctx.Deadline(); ok && w.Mirror != nil {
		const share = 2
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/share)
		defer cancel()
	}
	return WriteBatches(ctx, w.Table, batches)
}

// release notifies the mirror that batches are written, at the same time for all, as each
// may wait for a host that doesn't answer.
func (w *Writer) release(ctx context.Context, batches []*Batch) {
	var calls sync.WaitGroup
	for _, batch := range batches {
		if batch.holder != "" {
			calls.Go(func() { w.Mirror.Release(ctx, batch) })
		}
	}
	calls.Wait()
}

// restoreLost adds the batches that a restored table service lacks to the sealed ones.
// The lock must be held.
func (w *Writer) restoreLost() {
	lost := w.kept.Lost(w.Clock.Now(), w.Table.Era())
	if len(lost) == 0 {
		return
	}
	rows := 0
	for _, batch := range lost {
		batch.holder = ""
		rows += len(batch.Rows)
	}
	w.sealed = append(lost, w.sealed...)
	w.buffered += rows
	w.Log.Warn().Str("part", "ledger").Int64("era", w.Table.Era()).Int("batches", len(lost)).Int("rows", rows).
		Msg("ledger: table service restored from an older copy, writing batches again")
}

// Mirrored reports whether every unwritten row has a copy on another host.
func (w *Writer) Mirrored() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	anyUnmirrored := slices.ContainsFunc(w.sealed, func(b *Batch) bool { return b.holder == "" })
	return len(w.open) == 0 && !anyUnmirrored
}

// firstSealed returns the sealed batches that the next transaction writes. They have at
// most BatchRows rows, unless the first one alone has more.
func (w *Writer) firstSealed() []*Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := 0
	for i, batch := range w.sealed {
		if rows += len(batch.Rows); i > 0 && (rows > w.BatchRows || i == MaxWriteBatches) {
			return w.sealed[:i]
		}
	}
	return w.sealed
}

// MaxWriteBatches is the maximum number of batches in one transaction.
const MaxWriteBatches = 40

// mirrorSealed stores copies of the sealed batches on another host, again if that host has changed.
func (w *Writer) mirrorSealed(ctx context.Context) error {
	if w.Mirror == nil {
		return nil
	}
	w.mu.Lock()
	batches := slices.Clone(w.sealed)
	w.mu.Unlock()
	// A host that has left or restarted has no copies any more.
	holder := w.Mirror.Holder()
	for _, batch := range batches {
		if batch.holder != "" && batch.holder == holder {
			continue
		}
		if err := w.Mirror.Keep(ctx, batch); err != nil {
			return err
		}
		w.mu.Lock()
		batch.holder = holder
		w.mu.Unlock()
	}
	return nil
}

// WriteBatches writes batches in one transaction. Those that are stored already are left
// as they are.
func WriteBatches(ctx context.Context, table TableProvider, batches []*Batch) error {
	if len(batches) > 1 {
		tx := platform.Transaction{}
		for _, batch := range batches {
			data, err := json.Marshal(batch)
			if err != nil {
				return fmt.Errorf("encoding ledger batch: %w", err)
			}
			tx.Conditions = append(tx.Conditions, platform.Condition{Table: tableLedger, Key: batch.Key(), Version: 0})
			tx.Writes = append(tx.Writes, platform.Write{Table: tableLedger, Key: batch.Key(), Value: data})
		}
		err := table.Commit(ctx, tx)
		if err == nil {
			return nil
		}
		if !platform.IsConflict(err) {
			return fmt.Errorf("writing %d ledger batches: %w", len(batches), err)
		}
	}
	for _, batch := range batches {
		if err := WriteBatch(ctx, table, batch); err != nil {
			return err
		}
	}
	return nil
}

// WriteBatch writes a batch unless it is stored already. It is idempotent, and any
// host may write any batch.
func WriteBatch(ctx context.Context, table TableProvider, batch *Batch) error {
	data, err := json.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encoding ledger batch: %w", err)
	}
	err = table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: tableLedger, Key: batch.Key(), Version: 0}},
		Writes:     []platform.Write{{Table: tableLedger, Key: batch.Key(), Value: data}},
	})
	if err == nil || platform.IsConflict(err) {
		return nil
	}
	return fmt.Errorf("writing ledger batch %s: %w", batch.Key(), err)
}

// Total is the sum of the placements of one client account and model.
type Total struct {
	ClientAccount string `json:"clientAccount"`
	Model         string `json:"model"`
	Placements    int    `json:"placements"`
	// Partial is the number of these placements whose answer ended early.
	Partial      int `json:"partial"`
	PromptTokens int `json:"promptTokens"`
	AnswerTokens int `json:"answerTokens"`
	ReusedTokens int `json:"reusedTokens"`
}

// Report is the sum of the entire ledger.
type Report struct {
	Batches int     `json:"batches"`
	Totals  []Total `json:"totals"`
	// Repeated is the number of rows with the same request id as an earlier row. They
	// aren't counted in Totals. It must be zero.
	Repeated int `json:"repeated"`
}

// Sum reads all batches and sums their rows by client account and model.
func Sum(ctx context.Context, table TableProvider) (Report, error) {
	var report Report
	totals := map[string]*Total{}
	seen := map[string]bool{}
	after := ""
	for {
		rows, err := table.Scan(ctx, platform.Scan{Table: tableLedger, After: after, Limit: scanPageSize})
		if err != nil {
			return report, fmt.Errorf("reading ledger: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			if err := addBatch(&report, totals, seen, row); err != nil {
				return report, err
			}
		}
		if len(rows) < scanPageSize {
			break
		}
	}
	report.Totals = sortedTotals(totals)
	return report, nil
}

func addBatch(report *Report, totals map[string]*Total, seen map[string]bool, stored platform.Row) error {
	var batch Batch
	if err := json.Unmarshal(stored.Value, &batch); err != nil {
		return fmt.Errorf("decoding ledger batch %s: %w", stored.Key, err)
	}
	report.Batches++
	for i := range batch.Rows {
		row := &batch.Rows[i]
		if seen[row.RequestID] {
			report.Repeated++
			continue
		}
		seen[row.RequestID] = true
		key := row.ClientAccount + "\x00" + row.Model
		total := totals[key]
		if total == nil {
			total = &Total{ClientAccount: row.ClientAccount, Model: row.Model}
			totals[key] = total
		}
		total.Placements++
		if row.Partial {
			total.Partial++
		}
		total.PromptTokens += row.PromptTokens
		total.AnswerTokens += row.AnswerTokens
		total.ReusedTokens += row.ReusedTokens
	}
	return nil
}
