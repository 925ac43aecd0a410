package ledger

import (
	"slices"
	"time"
)

// keepFor is how long written batches are kept in memory, so that they can be written
// again if the table service is restored from an older copy. Such a copy is some seconds
// old.
const keepFor = time.Minute

// KeptBatches are written batches, which a restored table service may lack. The zero
// value is empty. It is not safe for concurrent use.
type KeptBatches struct {
	era  int64
	kept []keptBatch
}

type keptBatch struct {
	batch     *Batch
	writtenAt time.Time
}

// Add keeps a batch that was written at now.
func (k *KeptBatches) Add(now time.Time, batch *Batch) {
	k.kept = append(k.kept, keptBatch{batch, now})
}

// Lost returns the batches that have to be written again, which are all kept ones when
// the table service has entered a new era. They are no longer kept.
func (k *KeptBatches) Lost(now time.Time, era int64) []*Batch {
	k.kept = slices.DeleteFunc(k.kept, func(b keptBatch) bool { return now.Sub(b.writtenAt) > keepFor })
	if era <= k.era {
		return nil
	}
	k.era = era
	lost := make([]*Batch, 0, len(k.kept))
	for _, b := range k.kept {
		lost = append(lost, b.batch)
	}
	k.kept = nil
	return lost
}
