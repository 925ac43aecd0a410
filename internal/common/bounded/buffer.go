package bounded

import (
	"errors"
	"io"
)

// ErrNoRoom reports that a budget has no room for more of a body.
var ErrNoRoom = errors.New("the host has no room to hold more of it")

const (
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10
)

// Buffer holds a body in chunks. Unlike a slice that grows, it never copies them.
type Buffer struct {
	Hold

	// Chunks are the bytes that were read.
	Chunks [][]byte
	// Len is their number.
	Len int64
}

// Fill reads to the end of the body. It returns ErrNoRoom if the budget has no room for more, ErrTooLong
// if the body is longer than limit, or the error of r.
func (b *Buffer) Fill(r io.Reader, limit int64) error {
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			size := min(max(firstChunkBytes, b.Len), maxChunkBytes)
			if !b.Extend(b.Len + size) {
				return ErrNoRoom
			}
			chunk = make([]byte, 0, size)
			b.Chunks = append(b.Chunks, chunk)
		}
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.Chunks[len(b.Chunks)-1] = chunk
		b.Len += int64(n)
		switch {
		case b.Len > limit:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
