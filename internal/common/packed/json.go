// Package packed encodes values as JSON compressed with DEFLATE.
package packed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// Encode encodes a value as JSON and compresses it.
func Encode(value any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, fmt.Errorf("compressing JSON: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compressing JSON: %w", err)
	}
	return out.Bytes(), nil
}

// Decode decompresses data and decodes it into value. A JSON document that is
// longer than limit bytes is cut there, so that the error wraps
// io.ErrUnexpectedEOF.
func Decode(data []byte, limit int64, value any) error {
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit)
	if err := json.NewDecoder(decompressed).Decode(value); err != nil {
		return fmt.Errorf("decompressing JSON: %w", err)
	}
	return nil
}
