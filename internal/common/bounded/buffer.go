package bounded

import (
	"bytes"
	"errors"
	"io"
)

// ErrNoRoom reports that a budget has no room for more of a body.
var ErrNoRoom = errors.New("the host has no room to hold more of it")

// endBytes is the room by which a read finds that a body of known length has ended.
const endBytes = 1

// Reserve takes what a body of the given length needs, and reports whether the budget had room.
func (b *Buffer) Reserve(length int64) bool { return b.Extend(length + endBytes) }

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

// Reader returns a reader of what was read.
func (b *Buffer) Reader() io.Reader {
	switch len(b.Chunks) {
	case 0:
		return bytes.NewReader(nil)
	case 1:
		return bytes.NewReader(b.Chunks[0]) // net/http writes it together with the header.
	}
	readers := make([]io.Reader, len(b.Chunks))
	for i, chunk := range b.Chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// Fill reads to the end of the body, whose expected length is negative if it isn't known. It returns
// ErrNoRoom if the budget has no room for more, ErrTooLong if the body is longer than limit, or the
// error of r.
func (b *Buffer) Fill(r io.Reader, expected, limit int64) error {
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			size := min(max(firstChunkBytes, b.Len), maxChunkBytes)
			if expected >= b.Len {
				size = min(expected-b.Len+endBytes, maxChunkBytes)
			}
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
