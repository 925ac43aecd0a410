package ledger

import (
	"encoding/json"
	"fmt"

	"sassafrasplank.example/sassafrasplank/internal/common/packed"
)

// maxBatchBytes bounds an unpacked batch.
const maxBatchBytes = 16 << 20

// Batch is a sealed set of rows. Its name is host, incarnation and number, and
// its content never changes.
type Batch struct {
	Host        string
	Incarnation int64
	Number      int64
	Rows        []Row

	mirrored bool
}

// packedBatch is a batch as it is stored, with its rows compressed.
type packedBatch struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	Number      int64  `json:"number"`
	// Packed holds the rows as JSON compressed by DEFLATE.
	Packed []byte `json:"packed"`
}

// MarshalJSON packs the batch.
func (b *Batch) MarshalJSON() ([]byte, error) {
	rows, err := packed.Encode(b.Rows)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedBatch{Host: b.Host, Incarnation: b.Incarnation, Number: b.Number, Packed: rows})
}

// UnmarshalJSON unpacks a batch and checks it.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var stored packedBatch
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if stored.Host == "" || stored.Incarnation < 1 || stored.Number < 1 {
		return fmt.Errorf("ledger batch: want host, incarnation and number, got %q/%d/%d", stored.Host, stored.Incarnation, stored.Number)
	}
	var rows []Row
	if err := packed.Decode(stored.Packed, maxBatchBytes, &rows); err != nil {
		return fmt.Errorf("ledger batch %s/%d/%d: %w", stored.Host, stored.Incarnation, stored.Number, err)
	}
	b.Host, b.Incarnation, b.Number, b.Rows = stored.Host, stored.Incarnation, stored.Number, rows
	return nil
}

// Key returns the key under which the batch is kept.
func (b *Batch) Key() string {
	return fmt.Sprintf("%s/%020d/%012d", b.Host, b.Incarnation, b.Number)
}
