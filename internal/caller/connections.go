package caller

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// Timeouts are how long a caller may take to send a header, and may stay idle.
type Timeouts struct {
	Header, Idle time.Duration
}

// Listener bounds the times of callers by the limits in force when they are
// looked at. http.Server by itself fixes them when it starts.
type Listener struct {
	net.Listener
	Clock clock.Clock
	// Timeouts returns the limits in force.
	Timeouts func() Timeouts
}

// ConfigureServer prepares a server that will serve the listener.
func (l *Listener) ConfigureServer(server *http.Server) {
	// A server without limits sets no deadlines that could be replaced.
	server.ReadHeaderTimeout, server.IdleTimeout = time.Hour, time.Hour
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*connection); ok {
			c.enter(state)
		}
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, clock: l.Clock, times: l.Timeouts, phase: awaitsHeader}, nil
}

// phase tells what the next read deadline of the server is for.
type phase int

const (
	// serves means that a request runs; its deadlines are passed on.
	serves phase = iota
	awaitsRequest
	awaitsHeader
)

// connection replaces the server's deadlines between requests.
type connection struct {
	net.Conn
	clock clock.Clock
	times func() Timeouts

	mu    sync.Mutex
	phase phase
	// since is when the phase's deadline was set, the zero time before that.
	since time.Time
	// begun tells that something was read since the last request ended.
	begun bool
}

func (c *connection) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.phase, c.since, c.begun = awaitsRequest, time.Time{}, false
	}
	if state == http.StateActive {
		c.phase = serves
	}
}

// SetReadDeadline sets the limit in force for what the server waits for.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == serves || t.IsZero():
	default:
		if c.phase == awaitsRequest && !c.since.IsZero() {
			// The second deadline follows the first bytes of a request.
			c.phase = awaitsHeader
		}
		c.since = c.clock.Now()
		t = c.since.Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *connection) limit() time.Duration {
	if c.phase == awaitsRequest {
		return c.times().Idle
	}
	return c.times().Header
}

// Read goes on waiting where the limit has grown meanwhile.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.mu.Lock()
			c.begun = true
			c.mu.Unlock()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// extend sets the deadline again if the limit in force has not been reached. A
// caller that is late with its header is told so.
func (c *connection) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serves || c.since.IsZero() {
		return false
	}
	if until := c.since.Add(c.limit()); until.After(c.clock.Now()) {
		return c.Conn.SetReadDeadline(until) == nil
	}
	if c.phase == awaitsHeader && c.begun {
		// The connection ends in either case.
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout))
	}
	return false
}

// HeaderBytes returns the size of a request's header as it was sent, in bytes.
func HeaderBytes(r *http.Request) int {
	// A line holds a colon, a space and two bytes at its end beside its words.
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
