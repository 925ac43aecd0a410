// Package packed encodes values as JSON compressed by DEFLATE.
package packed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// Encode returns the packed form of a value.
func Encode(value any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	return out.Bytes(), nil
}

// Decode unpacks data into value. More than limit bytes are an error.
func Decode(data []byte, limit int64, value any) error {
	unpacked := io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit)
	if err := json.NewDecoder(unpacked).Decode(value); err != nil {
		return fmt.Errorf("unpacking: %w", err)
	}
	return nil
}
