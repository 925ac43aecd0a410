package caller

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// Timeouts limit how long a caller may take to send a request header, and how long
// its connection may be idle.
type Timeouts struct {
	Header, Idle time.Duration
}

// Listener applies timeouts that may change while the server runs. The timeouts of
// http.Server itself can't be changed once it runs.
type Listener struct {
	net.Listener
	Clock clock.Clock
	// Timeouts returns the timeouts in force.
	Timeouts func() Timeouts
	Limits   Limits

	mu       sync.Mutex
	registry registry
}

// ConfigureServer prepares a server to serve the listener. It must be called after the handler is
// set.
func (l *Listener) ConfigureServer(server *http.Server) {
	// A server without timeouts sets no deadlines, and connection would have none to
	// replace.
	server.ReadHeaderTimeout, server.IdleTimeout = time.Hour, time.Hour
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*connection); ok {
			c.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			if !c.begin() {
				panic(http.ErrAbortHandler)
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, listener: l, clock: l.Clock, timeouts: l.Timeouts, phase: awaitingHeader, hold: bounded.Hold{Budget: l.Limits.Headers}}
		if !l.add(c) {
			c.writeRefusal(errConnections)
			_ = conn.Close()
			l.exceeded(LimitNewConnections)
			continue
		}
		return c, nil
	}
}

// phase is the state of a connection, which determines the timeout for reads.
type phase int

const (
	// serving means that a request runs. Its deadlines are passed on unchanged.
	serving phase = iota
	// awaitingRequest means that the connection is idle after a request. The idle
	// timeout applies.
	awaitingRequest
	// awaitingHeader means that the connection is new or that the first bytes of a
	// further request have arrived. The header timeout applies.
	awaitingHeader
)

// connection replaces the deadlines that the server sets between requests.
type connection struct {
	net.Conn
	listener *Listener
	clock    clock.Clock
	timeouts func() Timeouts
	// handled is set once the handler has got the request.
	handled atomic.Bool

	mu    sync.Mutex
	phase phase
	// start is when the server set the deadline of the phase. It is zero before that.
	start time.Time
	// received reports whether any byte of the next request was read.
	received bool
	// headerRead reports whether the whole header of the next request was read, and evicted whether the
	// connection was closed in favor of a new one.
	headerRead, evicted bool
	// answered reports whether the caller was sent a complete answer and no further
	// request has begun.
	answered bool
	// hold is the memory of the header, which has headerBytes and headerFields.
	hold                      bounded.Hold
	headerBytes, headerFields int
	// rated is what the header has taken from the rate of headers.
	rated int64
	// lingerBytes limits what is read after the answer, unless it is 0.
	lingerBytes int64
	// ownDeadline is set while the handler has set a deadline for writes.
	ownDeadline bool

	// The fields below belong to the registry of the listener, whose mutex protects them.
	counted      bool
	wait         waitKind
	waitingSince time.Time
	// arrived is the number of bytes of a body since then.
	arrived int
	element *list.Element
}

func (c *connection) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.phase, c.start, c.received, c.headerRead, c.answered = awaitingRequest, time.Time{}, false, false, false
		c.handled.Store(false)
		c.releaseHeader()
		c.listener.setWait(c, waitRequest)
	}
	if state == http.StateActive {
		c.phase = serving
		c.listener.setWait(c, waitNone)
	}
}

// SetReadDeadline replaces the server's deadline by the timeout in force for the
// current phase.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == serving && t.After(c.clock.Now()): // A handler reads a body.
		c.listener.setWait(c, waitBody)
	case c.phase == serving: // The body is read, or net/http ends a read of its own after the answer.
		c.listener.setWait(c, waitNone)
	case t.IsZero():
	default:
		if c.phase == awaitingRequest && !c.start.IsZero() {
			// The server sets the idle deadline first, and a second one once the first
			// bytes of a request have arrived, which it may have read with the request
			// before.
			c.phase, c.received = awaitingHeader, true
			c.awaitHeader()
		}
		c.start = c.clock.Now()
		t = c.start.Add(c.timeout())
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *connection) timeout() time.Duration {
	if c.phase == awaitingRequest {
		return c.timeouts().Idle
	}
	return c.timeouts().Header
}

// Read reads from the connection. When the deadline passes, it continues to wait if
// the timeout in force is longer by now, and returns bytes that have arrived already.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var extended bool
			if n, extended = c.extendDeadline(b); extended {
				continue
			}
		}
		if n > 0 {
			return c.receive(b[:n])
		}
		return n, err
	}
}

// receive records bytes that were read. It refuses a request whose header exceeds a limit.
func (c *connection) receive(read []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	c.received = true
	if c.phase != serving && !c.takeHeader(read) {
		return 0, os.ErrDeadlineExceeded // The server answers no request that took too long.
	}
	if c.phase == serving {
		c.listener.bodyArrived(c, len(read))
		return len(read), nil
	}
	c.headerRead = c.headerRead || bytes.Contains(read, headerEnd)
	c.awaitHeader()
	return len(read), nil
}

var headerEnd = []byte("\r\n\r\n")

// awaitHeader records that bytes of a header have arrived. Once it is whole, the connection waits for nothing,
// although the server may take it up later.
func (c *connection) awaitHeader() {
	if c.headerRead {
		c.listener.setWait(c, waitNone)
	} else {
		c.listener.setWait(c, waitHeader)
	}
}

// extendDeadline sets the deadline again if the timeout in force has not passed, and
// reports whether the read may continue. Otherwise it returns the number of bytes that
// have arrived and were read into b. It answers 408 to a caller that started a header
// but did not complete it in time.
func (c *connection) extendDeadline(b []byte) (n int, extended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || c.start.IsZero() {
		return 0, false
	}
	deadline := c.start.Add(c.timeout())
	if deadline.After(c.clock.Now()) {
		return 0, c.Conn.SetReadDeadline(deadline) == nil
	}
	if n = readArrived(c.Conn, b); n > 0 {
		return n, false
	}
	if c.phase == awaitingHeader && c.received {
		c.answered = true
		// The connection is closed whether or not the write succeeds. It must not wait for a caller
		// that reads nothing.
		_ = c.Conn.SetWriteDeadline(c.clock.Now().Add(refusalTimeout))
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout))
	}
	return 0, false
}

// readArrived reads bytes that have arrived, also if the read deadline has passed, and
// doesn't wait for any. A read of net.Conn fails after the deadline without a look at the
// socket, which loses a request that arrived in time if the host got no processor time.
func readArrived(conn net.Conn, b []byte) int {
	if c, ok := conn.(*drainedConn); ok {
		n := readArrived(c.Conn, b)
		c.record(n, len(b), nil)
		return n
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	var readErr error
	// Unlike raw.Read, raw.Control ignores the deadline.
	err = raw.Control(func(fd uintptr) {
		n, readErr = unix.Read(int(fd), b)
		for errors.Is(readErr, unix.EINTR) {
			n, readErr = unix.Read(int(fd), b)
		}
	})
	if err != nil || readErr != nil {
		return 0
	}
	return n
}

// HeaderBytes returns the size in bytes of a request header as it was sent, without
// the empty line at its end.
func HeaderBytes(r *http.Request) int {
	// Each line has 4 bytes besides its words: two for separators and two for the line
	// end.
	const lineBytes = 4
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineBytes
	if r.Host != "" {
		n += len("Host") + len(r.Host) + lineBytes
	}
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineBytes
		}
	}
	return n
}
