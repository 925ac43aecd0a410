// Package logbuffer writes log lines without blocking the callers.
package logbuffer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// batchBytes is the maximum size of a write with several lines. It is PIPE_BUF of
// Linux, up to which writes to a pipe are atomic.
const batchBytes = 4 << 10

// Writer buffers a bounded number of lines and bytes until Run writes them. Lines that do not
// fit are dropped and counted. The next write starts with a line that reports how
// many were dropped.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// bytes are those of the buffered lines.
	bytes   atomic.Int64
	dropped atomic.Int64
}

// New returns a Writer that buffers up to size lines.
func New(out io.Writer, size int) *Writer {
	return &Writer{out: out, lines: make(chan []byte, size)}
}

// maxBytes limits the bytes of all buffered lines. Lines have some 500 bytes, except those with a path
// or an ID that callers have made long.
const maxBytes = 4 << 20

// Write adds one line to the buffer or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.bytes.Add(size) > maxBytes {
		w.bytes.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.bytes.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then the remaining ones. It returns the
// error of the underlying writer.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.bytes.Add(-int64(len(line)))
			if err := w.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return w.write(nil)
		}
	}
}

// write writes a batch and all lines in the buffer, in as few calls as batchBytes
// allows.
func (w *Writer) write(batch []byte) error {
	if n := w.dropped.Swap(0); n > 0 {
		first := batch
		batch = fmt.Appendf(nil, `{"level":"warn","part":"log","dropped":%d,"message":"log: lines were dropped"}`+"\n", n)
		if len(batch)+len(first) > batchBytes {
			if err := w.flush(batch); err != nil {
				return err
			}
			batch = batch[:0]
		}
		batch = append(batch, first...)
	}
	for {
		select {
		case line := <-w.lines:
			w.bytes.Add(-int64(len(line)))
			if len(batch) > 0 && len(batch)+len(line) > batchBytes {
				if err := w.flush(batch); err != nil {
					return err
				}
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			return w.flush(batch)
		}
	}
}

func (w *Writer) flush(batch []byte) error {
	if len(batch) == 0 {
		return nil
	}
	if _, err := w.out.Write(batch); err != nil {
		return fmt.Errorf("writing log lines: %w", err)
	}
	return nil
}
