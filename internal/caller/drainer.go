package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// acceptPause is how long the listener waits for a further connection before it is
	// closed, and acceptLimit how long it accepts connections at most.
	acceptPause = 20 * time.Millisecond
	acceptLimit = 500 * time.Millisecond
	// maxLate limits how many waiting connections are accepted after acceptLimit.
	maxLate = unix.SOMAXCONN
	// firstRequestTimeout is how long a new connection may take to send its first request.
	firstRequestTimeout = time.Second
	// forcedTimeout is how long connections without a running request have to end when the
	// context of Drain has ended.
	forcedTimeout = 50 * time.Millisecond
)

// Drainer ends the connections of a server without cutting off a request. Unlike
// http.Server.Shutdown, which closes idle connections even if a request arrives at that
// moment and drops each request whose header it reads afterwards, it lets the server read
// what has arrived and close the connection itself.
type Drainer struct {
	net.Listener
	Clock clock.Clock

	// draining is set once Drain is called, ending once new connections have to send their
	// first request at once.
	draining, ending atomic.Bool
	// late counts the checks for connections that wait after acceptedBy.
	late atomic.Int64
	// changed is signalled whenever a connection ends, and when the listener is closed.
	changed chan struct{}

	mu         sync.Mutex
	conns      map[*drainedConn]struct{}
	acceptedBy time.Time
	closed     bool
}

// ConfigureServer prepares a server to serve the listener. It must be called after any
// other change of server.ConnState, and before Accept.
func (d *Drainer) ConfigureServer(server *http.Server) {
	d.conns, d.changed = map[*drainedConn]struct{}{}, make(chan struct{}, 1)
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		if c, ok := conn.(*connection); ok {
			conn = c.Conn
		}
		if c, ok := conn.(*drainedConn); ok {
			c.setState(state)
		}
	}
}

// Accept waits for the next connection. Once Drain is called, it returns those that wait
// already, closes the listener and returns http.ErrServerClosed.
func (d *Drainer) Accept() (net.Conn, error) {
	late := false
	for {
		last := d.extendAccept(late)
		conn, err := d.Listener.Accept()
		switch {
		case err == nil:
			return d.track(conn), nil
		case !d.draining.Load():
			return nil, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || (last && !d.hasWaiting()):
			_ = d.Close() // There is nothing to do if it fails.
			return nil, http.ErrServerClosed
		default:
			late = last
		}
	}
}

// Close closes the listener.
func (d *Drainer) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal()
	return d.Listener.Close()
}

// extendAccept lets Accept wait for a further connection if the server is drained, and
// reports whether it is. Only a late one that waits already is accepted after acceptedBy.
func (d *Drainer) extendAccept(late bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining.Load() {
		return false
	}
	deadline := d.Clock.Now().Add(acceptPause)
	if !late && deadline.After(d.acceptedBy) {
		deadline = d.acceptedBy
	}
	d.setAcceptDeadline(deadline)
	return true
}

// hasWaiting reports whether a connection waits to be accepted. Accept itself fails after its
// deadline without a look at the socket, which loses connections if the host got no processor time.
func (d *Drainer) hasWaiting() bool {
	socket, ok := d.Listener.(syscall.Conn)
	if !ok || d.late.Add(1) > maxLate {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var waiting bool
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		waiting = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

// setAcceptDeadline ends a blocked Accept at the given time. A listener without deadlines is
// closed at once.
func (d *Drainer) setAcceptDeadline(t time.Time) {
	l, ok := d.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || l.SetDeadline(t) != nil {
		_ = d.Listener.Close()
	}
}

func (d *Drainer) track(conn net.Conn) *drainedConn {
	c := &drainedConn{Conn: conn, drainer: d, waiting: true, first: true}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	return c
}

func (d *Drainer) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Drain closes the listener, ends idle connections, and waits until the others have ended.
// It returns the error of ctx if ctx ends first. The requests of the callers then still run.
func (d *Drainer) Drain(ctx context.Context) error {
	d.mu.Lock()
	now := d.Clock.Now()
	d.acceptedBy = now.Add(acceptLimit)
	d.draining.Store(true)
	d.setAcceptDeadline(now)
	d.mu.Unlock()
	d.wakeAll()
	first := d.Clock.After(firstRequestTimeout)
	for !d.drained() {
		select {
		case <-ctx.Done():
			return d.force(ctx)
		case <-first:
			d.ending.Store(true)
			d.wakeAll()
		case <-d.changed:
		}
	}
	return nil
}

// force waits a short time for what can end at once.
func (d *Drainer) force(ctx context.Context) error {
	d.ending.Store(true)
	d.wakeAll()
	end := d.Clock.After(forcedTimeout)
	for !d.drained() {
		select {
		case <-end:
			return ctx.Err()
		case <-d.changed:
		}
	}
	return nil
}

func (d *Drainer) drained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed && len(d.conns) == 0
}

func (d *Drainer) wakeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.wake()
	}
}

// drainedConn is a connection whose reads end when its server is drained and no request has
// begun to arrive.
type drainedConn struct {
	net.Conn
	drainer *Drainer

	mu sync.Mutex
	// waiting is set while no byte of the next request has arrived, first until the first
	// request, and active while a request is served.
	waiting, first, active bool
	// ahead is set if the last read may have returned the first byte of the next request
	// while a request was served: the server reads single bytes to see the caller leave.
	ahead bool
	// deadline is the read deadline that the server has set, and deadlines how many it set
	// since the last request. One that follows an expired one extends that.
	deadline  time.Time
	deadlines int
	expired   bool
	// woken is set while a deadline that has passed replaces that of the server.
	woken bool
}

func (c *drainedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.waiting, c.first, c.active = false, false, true
	case http.StateIdle:
		c.waiting, c.active, c.deadlines, c.expired = !c.ahead, false, 0, false
	default:
	}
}

// SetReadDeadline sets the read deadline. The server sets one when it starts to wait for
// the next request, and a second one once bytes of that are there.
func (c *drainedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		c.deadlines++
	}
	if !c.first && c.deadlines > 1 {
		c.waiting = false
	}
	c.deadline, c.woken, c.expired = t, false, false
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection. If the server is drained and no request has begun to
// arrive, it returns what has arrived, or io.EOF if nothing has.
func (c *drainedConn) Read(b []byte) (int, error) {
	for {
		if c.ends() {
			if n := readArrived(c, b); n > 0 {
				c.restoreDeadline()
				return n, nil
			}
			return 0, io.EOF
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.restoreDeadline() {
			c.record(n, len(b), err)
			return n, err
		}
	}
}

// Close closes the connection.
func (c *drainedConn) Close() error {
	err := c.Conn.Close()
	c.drainer.mu.Lock()
	defer c.drainer.mu.Unlock()
	delete(c.drainer.conns, c)
	c.drainer.signal()
	return err
}

// CloseWrite ends the sending side, which lets the server finish an answer to a caller that
// still sends.
func (c *drainedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// wake ends a blocked Read of a connection that waits for a request and has to end.
func (c *drainedConn) wake() {
	if !c.ends() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return
	}
	c.woken = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // A closed connection needs no deadline.
}

// ends reports whether the connection has to end because no request has begun to arrive, or
// because its header takes too long.
func (c *drainedConn) ends() bool {
	if !c.drainer.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ending := c.drainer.ending.Load()
	return (c.waiting && (!c.first || ending)) || (!c.active && ending)
}

// restoreDeadline sets the server's deadline again if wake has replaced it, and reports
// whether it has.
func (c *drainedConn) restoreDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.woken {
		return false
	}
	c.woken = false
	return c.Conn.SetReadDeadline(c.deadline) == nil
}

// record records the result of a read.
func (c *drainedConn) record(n, size int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = errors.Is(err, os.ErrDeadlineExceeded)
	c.ahead = n == 1 && size == 1 && !c.waiting
	if n > 0 {
		c.waiting = false
	}
}
