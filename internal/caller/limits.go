package caller

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
)

// Limits limit what the connections of a listener hold together. The zero value sets no limit.
type Limits struct {
	// Connections limits the open connections. One more closes the connection that has waited
	// longest for its caller, or is refused if requests run on all.
	Connections int
	// HeaderBytes returns the limit of a request header in bytes, including the first bytes of the
	// body that are read with it. 0 means that there is none.
	HeaderBytes func() int
	// Headers limits the memory of the headers of all requests, from their first bytes to the end of
	// the answer.
	Headers *bounded.Budget
	// HeaderRate limits the bytes per second of what headers take beyond freeHeaderBytes each. Headers
	// that are refused are garbage, of which a crowd can leave more than is collected in time. It is nil
	// if there is no limit.
	HeaderRate *rate.Limiter
	// WriteTimeout limits one write to a caller, unless the handler has set another deadline. A
	// write has at most some 64 KiB, and ends once they are in the buffer of the connection.
	WriteTimeout time.Duration
	// RefusalBody returns the body of a refusal. It may be nil.
	RefusalBody func(err *failure.Error) []byte
	// OnExceeded is called for each request or connection that a limit ends. It may be nil.
	OnExceeded func(limit Limit)
}

// Limit is a limit that ends a request or a connection.
type Limit string

// Limits that end a request or a connection.
const (
	// LimitConnections means that a connection that waited for its caller was closed, and
	// LimitNewConnections that a new one was.
	LimitConnections    Limit = "connections.closed"
	LimitNewConnections Limit = "connections.refused"
	LimitHeaderBytes    Limit = "headers.tooLong"
	LimitHeaders        Limit = "headers.refused"
	LimitWrite          Limit = "answers.unread"
)

const (
	// fieldBytes is the memory of a header field besides its bytes: about 70 bytes when it is read,
	// as measured with fields of 8 bytes, and as much for each of the copies that the handlers make.
	fieldBytes = 256
	// freeHeaderBytes is the memory of a header to which HeaderRate doesn't apply.
	freeHeaderBytes = 16 << 10
	// refusalRetry is the time after which a request that was refused for want of memory or
	// connections may be sent again.
	refusalRetry = time.Second
	// retrySpread is by how many seconds less one it is longer, so that the callers of a crowd don't
	// return at the same time.
	retrySpread = 3
	// newHeaderTime is how long a connection may take to send its header before it is closed in
	// favor of a new one. Callers send a header at once, so it is longer than a sound one takes.
	newHeaderTime = time.Second
	// stalledBodyTime is how long a body may bring less than stalledBodyBytes before its connection is closed in
	// favor of a new one. A lost packet is sent again within it.
	stalledBodyTime  = 2 * time.Second
	stalledBodyBytes = 4 << 10
	// stalledTime is how long one write of an answer may take before its connection is closed in favor
	// of a new one. A sound caller reads some 64 KiB in it.
	stalledTime = 5 * time.Second
	// inUseTime is how long after its last answer an idle connection is in use. Callers that keep several
	// requests going on a connection send the next one within it.
	inUseTime = 100 * time.Millisecond
	// maxPending limits how many idle connections are passed over because their next request has
	// arrived.
	maxPending = 16
	// maxLingerBytes limits what is read after a header was refused, and then discarded.
	maxLingerBytes = 256 << 10
)

// waitKind is what a connection waits for its caller to do. A connection on which a request runs waits
// for nothing.
type waitKind int

const (
	waitNone waitKind = iota
	// waitHeader is the wait for the rest of a header, waitRequest that for the next request, and
	// waitClose that for the caller to close a connection that has ended.
	waitHeader
	waitRequest
	waitClose
	// waitBody is the wait for the rest of a body, before which no target gets the request, and
	// waitRead that for the caller to read the answer.
	waitBody
	waitRead
	waitKinds
)

// registry contains the open connections of a listener.
type registry struct {
	open int
	// waiting contains the connections by what they wait for, the longest waiting first.
	waiting [waitKinds]list.List
}

// add adds a new connection. If there are too many, it closes one that waits for its caller, and reports false if
// there is none.
func (l *Listener) add(c *connection) bool {
	for !l.register(c) {
		longest, kind := l.longestWaiting()
		if longest == nil {
			return false
		}
		if longest.evict(kind) {
			l.exceeded(LimitConnections)
		}
	}
	return true
}

// register adds a new connection unless there are too many.
func (l *Listener) register(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.Limits.Connections; limit > 0 && l.registry.open >= limit {
		return false
	}
	l.registry.open++
	c.counted = true
	l.enlist(c, waitHeader)
	return true
}

// longestWaiting returns the connection that is the first to be closed, and what it waits for, or nil if requests
// run on all.
func (l *Listener) longestWaiting() (*connection, waitKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.firstToClose()
	if c == nil {
		return nil, waitNone
	}
	return c, c.wait
}

// firstToClose returns the connection that is the first to be closed: one that has ended, one whose
// header, body or answer has stalled, or else the one that has waited longest for its next request, or for the
// rest of its header or body. An idle one isn't closed before those that have stalled, since its next request may be on
// its way. Nor is one in use before one that has sent no whole header, which can be told that nothing has run: on a
// host that accepts connections late, the newer of the two would seem to have waited longer.
func (l *Listener) firstToClose() *connection {
	for _, stalled := range []struct {
		kind  waitKind
		after time.Duration
	}{{waitClose, 0}, {waitHeader, newHeaderTime}, {waitBody, stalledBodyTime}, {waitRead, stalledTime}} {
		if c := l.first(stalled.kind); c.hasWaited(stalled.after) {
			return c
		}
	}
	longest := l.longestIdle()
	if c := l.first(waitHeader); c != nil && (!longest.hasWaited(inUseTime) || c.waitingSince.Before(longest.waitingSince)) {
		longest = c
	}
	if c := l.first(waitBody); c != nil && (longest == nil || c.waitingSince.Before(longest.waitingSince)) {
		longest = c
	}
	return longest
}

// longestIdle returns the connection that has been idle longest and whose next request hasn't arrived, or nil.
func (l *Listener) longestIdle() *connection {
	idle := l.registry.waiting[waitRequest].Front()
	for n := 0; idle != nil && n < maxPending; n++ {
		if c, ok := idle.Value.(*connection); ok && !c.hasPending() {
			return c
		}
		idle = idle.Next()
	}
	return nil
}

// hasWaited reports whether a connection, if there is one, has waited for the given time.
func (c *connection) hasWaited(d time.Duration) bool {
	return c != nil && c.clock.Now().Sub(c.waitingSince) >= d
}

func (l *Listener) first(kind waitKind) *connection {
	if e := l.registry.waiting[kind].Front(); e != nil {
		c, _ := e.Value.(*connection)
		return c
	}
	return nil
}

// setWait records what a connection waits for, and returns what it has waited for before.
func (l *Listener) setWait(c *connection, kind waitKind) (before waitKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = c.wait
	if c.counted && before != kind {
		l.delist(c)
		l.enlist(c, kind)
	}
	return before
}

// bodyArrived records that a part of a body has arrived.
func (l *Listener) bodyArrived(c *connection, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.counted || c.wait != waitBody {
		return
	}
	if c.arrived += n; c.arrived >= stalledBodyBytes {
		l.delist(c)
		l.enlist(c, waitBody)
	}
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
}

// removeWaiting removes a connection unless it has stopped waiting for kind.
func (l *Listener) removeWaiting(c *connection, kind waitKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.counted || c.wait != kind {
		return false
	}
	l.drop(c)
	return true
}

func (l *Listener) drop(c *connection) {
	if c.counted {
		c.counted = false
		l.registry.open--
		l.delist(c)
	}
}

func (l *Listener) enlist(c *connection, kind waitKind) {
	c.wait, c.waitingSince, c.arrived = kind, l.Clock.Now(), 0
	if kind != waitNone {
		c.element = l.registry.waiting[kind].PushBack(c)
	}
}

func (l *Listener) delist(c *connection) {
	if c.element != nil {
		l.registry.waiting[c.wait].Remove(c.element)
		c.element = nil
	}
}

func (l *Listener) exceeded(limit Limit) {
	if l.Limits.OnExceeded != nil {
		l.Limits.OnExceeded(limit)
	}
}

// hasPending reports whether bytes of the next request have arrived.
func (c *connection) hasPending() bool {
	socket := c.Conn
	if d, ok := socket.(*drainedConn); ok {
		socket = d.Conn
	}
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && peekErr == nil && n > 0
}

// evict closes a connection in favor of a new one, unless it has stopped waiting for kind. A caller that has
// sent a part of its request is told that it hasn't run.
func (c *connection) evict(kind waitKind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.removeWaiting(c, kind) {
		return false
	}
	if c.phase != serving && c.received && !c.answered {
		c.writeRefusal(errConnections)
	}
	c.evicted = true
	c.answered = false // Nothing more is read.
	_ = c.Conn.Close() // The server finds it closed.
	return true
}

// begin reports whether the handler may run. It may not if the connection was evicted after the end of the header had
// been read: the caller was told that the request hasn't run.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.handled.Store(true)
	return true
}

var (
	errConnections = failure.Busy(failure.Overloaded, refusalRetry, "the host has too many connections")
	errHeaders     = failure.Busy(failure.Overloaded, refusalRetry, "the host has no room for a request header")
	errHeaderBytes = failure.NotRun(http.StatusRequestHeaderFieldsTooLarge, failure.TooLarge, "the request header is too long")
)

// writeRefusal writes a refusal to a connection on which no request runs. The connection is closed
// whether or not the write succeeds.
func (c *connection) writeRefusal(refusal *failure.Error) {
	var body []byte
	if c.listener.Limits.RefusalBody != nil {
		body = c.listener.Limits.RefusalBody(refusal)
	}
	retry := ""
	if refusal.RetryAfter > 0 {
		retry = "Retry-After: " + strconv.Itoa(int(refusal.RetryAfter.Seconds())+rand.IntN(retrySpread)) + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(c.clock.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		refusal.Status, http.StatusText(refusal.Status), retry, len(body), body)
}

// refusalTimeout limits the write of a refusal. It fits into the buffer of a connection, so that a
// write that waits at all has a caller that reads nothing.
const refusalTimeout = 10 * time.Millisecond

// takeHeader counts bytes of a request header, and reports whether they are within the limits. If not,
// it refuses the request. c.mu is held.
func (c *connection) takeHeader(read []byte) bool {
	limits := &c.listener.Limits
	c.headerBytes += len(read)
	c.headerFields += bytes.Count(read, []byte{'\n'})
	switch {
	case limits.HeaderBytes != nil && limits.HeaderBytes() > 0 && c.headerBytes > limits.HeaderBytes():
		c.refuseHeader(errHeaderBytes, LimitHeaderBytes)
		return false
	case !c.hold.Extend(c.headerMemory()) || !c.takeRate():
		c.refuseHeader(errHeaders, LimitHeaders)
		return false
	}
	return true
}

func (c *connection) headerMemory() int64 { return int64(c.headerBytes + c.headerFields*fieldBytes) }

// takeRate takes what the header needs beyond freeHeaderBytes, and hasn't taken yet, from the rate.
func (c *connection) takeRate() bool {
	more := c.headerMemory() - freeHeaderBytes - c.rated
	if c.listener.Limits.HeaderRate == nil || more <= 0 {
		return true
	}
	c.rated += more
	return c.listener.Limits.HeaderRate.AllowN(c.clock.Now(), int(more))
}

func (c *connection) refuseHeader(refusal *failure.Error, limit Limit) {
	c.listener.exceeded(limit)
	c.writeRefusal(refusal)
	c.answered, c.lingerBytes = true, maxLingerBytes
}

// releaseHeader gives back the memory of the header. c.mu is held.
func (c *connection) releaseHeader() {
	c.hold.Release()
	c.headerBytes, c.headerFields, c.rated = 0, 0, 0
}

// beginWrite sets the deadline of a write unless the handler has set one. It returns what the connection
// has waited for.
func (c *connection) beginWrite() (before waitKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout := c.listener.Limits.WriteTimeout; timeout > 0 && !c.ownDeadline {
		_ = c.Conn.SetWriteDeadline(c.clock.Now().Add(timeout))
	}
	return c.listener.setWait(c, waitRead)
}

// endWrite records the end of a write, and counts one that has failed because its caller reads nothing.
func (c *connection) endWrite(before waitKind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.setWait(c, before)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.exceeded(LimitWrite)
	}
}
