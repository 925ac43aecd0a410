package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// deflateBytes is the size of a row above which it is deflated.
	deflateBytes = 4 << 10
	// maxDeflated limits the deflated rows that are kept.
	maxDeflated = 16
)

var errInflatedTooLong = errors.New("the row is too long when it is inflated")

// rowKey names a row.
type rowKey struct{ table, partition, key string }

// deflatedRow is a row at a position as it is sent to other hosts.
type deflatedRow struct {
	platform.Position

	data []byte
}

// encode adds rows to an answer. Long ones are deflated if the calling host reads that, once for all hosts.
func (l *longRows) encode(response *wire.RowsResponse, rows []platform.Row, deflated bool) error {
	for _, row := range rows {
		if !deflated || len(row.Value) <= deflateBytes {
			data, err := encodeRow(row)
			if err != nil {
				return err
			}
			response.Rows = append(response.Rows, data)
			continue
		}
		data, err := l.deflate(row)
		if err != nil {
			return err
		}
		response.DeflatedRows = append(response.DeflatedRows, data)
	}
	return nil
}

// deflate returns a row as it is sent to other hosts.
func (l *longRows) deflate(row platform.Row) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock() // Hosts that want the same row wait for it.
	key := rowKey{row.Table, row.Partition, row.Key}
	if known, ok := l.deflated[key]; ok && known.Position == row.Position() {
		return known.data, nil
	}
	data, err := encodeRow(row)
	if err != nil {
		return nil, err
	}
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if l.deflated == nil || len(l.deflated) >= maxDeflated {
		l.deflated = map[rowKey]deflatedRow{}
	}
	l.deflated[key] = deflatedRow{row.Position(), deflated.Bytes()}
	return deflated.Bytes(), nil
}

// decodeRows decodes the rows of an answer. A row that would be longer than a message is an error.
func decodeRows(response *wire.RowsResponse) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(response.Rows)+len(response.DeflatedRows))
	left := MaxMessageBytes
	for _, data := range response.Rows {
		row, err := decodeRow(data)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	for _, deflated := range response.DeflatedRows {
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), int64(left)+1))
		if err != nil {
			return nil, err
		}
		if left -= len(data); left < 0 {
			return nil, errInflatedTooLong
		}
		row, err := decodeRow(data)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
