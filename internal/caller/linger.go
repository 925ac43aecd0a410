package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	// lingerPause is how long the rest of a request may pause after its answer.
	lingerPause = time.Second
	// lingerTimeout limits how long the rest of a request is read after its answer.
	lingerTimeout = 5 * time.Second
)

// Close closes the connection. If it ends with an answer, the caller's further bytes
// are read and discarded first: unread bytes would reset the connection, and the caller
// could lose the answer.
func (c *connection) Close() error {
	c.mu.Lock()
	lingers, limit := c.answered, c.lingerBytes
	c.answered = false // A second Close ends the wait.
	c.releaseHeader()
	c.mu.Unlock()
	defer c.listener.remove(c)
	if lingers && c.CloseWrite() == nil {
		c.listener.setWait(c, waitClose)
		var rest io.Reader = lingeringReader{c, c.clock.Now().Add(lingerTimeout)}
		if limit > 0 {
			rest = io.LimitReader(rest, limit)
		}
		_, _ = io.Copy(io.Discard, rest) // The connection is closed in any case.
	}
	return c.Conn.Close()
}

// lingeringReader reads the rest of a request after its answer.
type lingeringReader struct {
	conn *connection
	end  time.Time
}

// Read reads bytes that arrive within lingerPause and before the end.
func (r lingeringReader) Read(b []byte) (int, error) {
	deadline := r.conn.clock.Now().Add(lingerPause)
	if deadline.After(r.end) {
		deadline = r.end
	}
	if err := r.conn.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := r.conn.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.conn.clock.Now().Before(r.end) {
		if n = readArrived(r.conn.Conn, b); n > 0 {
			return n, nil
		}
	}
	return n, err
}

// SetWriteDeadline sets the deadline for writes. The server clears it after each
// complete answer.
func (c *connection) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.ownDeadline = !t.IsZero()
	c.answered = c.answered || t.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the connection. What the server writes before the handler has got the request
// is a refusal of its own, which is complete.
func (c *connection) Write(b []byte) (int, error) {
	if !c.handled.Load() {
		c.mu.Lock()
		c.answered = true
		c.mu.Unlock()
	}
	c.beginWrite()
	n, err := c.Conn.Write(b)
	c.endWrite(err)
	return n, err
}

// CloseWrite ends the sending side of the connection.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return net.ErrClosed
}
