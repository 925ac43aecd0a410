package ledger

import (
	"encoding/json"
	"fmt"

	"sassafrasplank.example/sassafrasplank/internal/common/packed"
)

// maxUnpackedBytes is the maximum size of the rows of a batch after decompression.
const maxUnpackedBytes = 16 << 20

// Batch is a sealed set of rows. It is identified by host, incarnation and number,
// and its content never changes.
type Batch struct {
	Host        string
	Incarnation int64
	// Number counts the batches of one incarnation, from 1.
	Number int64
	Rows   []Row

	// holder is the process of another host that got a copy, empty if there is none.
	holder string
}

// packedBatch is the stored form of a batch, with compressed rows.
type packedBatch struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	Number      int64  `json:"number"`
	// Packed contains the rows as JSON, compressed with DEFLATE.
	Packed []byte `json:"packed"`
}

// MarshalJSON encodes the batch with compressed rows.
func (b *Batch) MarshalJSON() ([]byte, error) {
	rows, err := packed.Encode(b.Rows)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedBatch{Host: b.Host, Incarnation: b.Incarnation, Number: b.Number, Packed: rows})
}

// UnmarshalJSON decodes and validates a batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var stored packedBatch
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	if stored.Host == "" || stored.Incarnation < 1 || stored.Number < 1 {
		return fmt.Errorf("ledger batch: want host, incarnation and number, got %q/%d/%d", stored.Host, stored.Incarnation, stored.Number)
	}
	var rows []Row
	if err := packed.Decode(stored.Packed, maxUnpackedBytes, &rows); err != nil {
		return fmt.Errorf("ledger batch %s/%d/%d: %w", stored.Host, stored.Incarnation, stored.Number, err)
	}
	b.Host, b.Incarnation, b.Number, b.Rows = stored.Host, stored.Incarnation, stored.Number, rows
	return nil
}

// Key returns the key under which the batch is stored.
func (b *Batch) Key() string {
	return fmt.Sprintf("%s/%020d/%012d", b.Host, b.Incarnation, b.Number)
}
