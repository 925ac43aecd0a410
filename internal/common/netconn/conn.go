// Package netconn wraps connections over which requests are sent.
package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose peer may answer before it has read the whole request. The system
// reports a reset only once: if a write gets it, reads return io.EOF from then on, as if the peer
// had closed the connection in order. Conn returns io.ErrUnexpectedEOF then, because the end of an
// answer without length is that of its connection.
type Conn struct {
	net.Conn

	// writing holds a value while a write is in progress.
	writing chan struct{}
	failed  atomic.Bool
}

// New returns a Conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn, writing: make(chan struct{}, 1)} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && (!c.written() || !c.acknowledged()) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// writeWait limits the wait for a write in progress after the peer has closed its side. The write
// ends soon unless the peer has left bytes unread.
const writeWait = 100 * time.Millisecond

// written reports whether all writes have succeeded.
func (c *Conn) written() bool {
	select {
	case c.writing <- struct{}{}:
		<-c.writing
		return !c.failed.Load()
	case <-time.After(writeWait):
		return false
	}
}

// statePause is the pause between two looks at the state of a connection.
const statePause = time.Millisecond

// acknowledged reports whether the peer, which has closed its side, has acknowledged all that was
// written. If it has closed the whole connection, it resets it when more bytes arrive. A peer
// acknowledges what it has received when it closes its side.
func (c *Conn) acknowledged() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(writeWait); ; time.Sleep(statePause) {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) {
			info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
		switch {
		case err != nil || infoErr != nil || info.State == unix.BPF_TCP_CLOSE:
			return false
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return true
		case !time.Now().Before(end):
			return false
		}
	}
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a Dial whose connections are Conns.
func Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}
