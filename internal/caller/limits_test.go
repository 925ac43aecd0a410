package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
)

// limitedServer is a server whose listener has limits.
type limitedServer struct {
	address string

	mu       sync.Mutex
	exceeded map[caller.Limit]int
}

func startLimited(t *testing.T, limits caller.Limits, handler http.HandlerFunc, adjust ...func(*caller.Listener, *http.Server)) *limitedServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{address: socket.Addr().String(), exceeded: map[caller.Limit]int{}}
	limits.RefusalBody = func(err *failure.Error) []byte { return fmt.Appendf(nil, "%s, not run: %t", err.Code, err.NotRun) }
	limits.OnExceeded = func(limit caller.Limit) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.exceeded[limit]++
	}
	server := &http.Server{Handler: handler}
	l := &caller.Listener{Listener: socket, Clock: clock.System{}, Limits: limits, Timeouts: func() caller.Timeouts {
		return caller.Timeouts{Header: neverExpires, Idle: neverExpires}
	}}
	l.ConfigureServer(server)
	for _, f := range adjust {
		f(l, server)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func (s *limitedServer) count(limit caller.Limit) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exceeded[limit]
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// eventually fails the test unless ok holds in time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

const headerStart = "GET / HTTP/1.1\r\nHost: h\r\n"

// isClosed reports whether the server closes a connection without a further answer.
func isClosed(conn net.Conn, r *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(maxWait))
	_, err := r.ReadByte()
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// Headers that many clients sent at the same time filled the memory of a host.
func TestHeadersTogetherKeepToBudget(t *testing.T) {
	budget := &bounded.Budget{Limit: 256 << 10}
	s := startLimited(t, caller.Limits{Headers: budget}, answerOK)
	long := headerStart + "X-More: " + strings.Repeat("x", 50<<10)
	for range 4 {
		conn, _ := dial(t, s.address)
		send(t, conn, long)
	}
	eventually(t, "the budget is taken", func() bool { return budget.Taken() == budget.Limit })
	conn, r := dial(t, s.address)
	send(t, conn, long)
	want := answer{http.StatusServiceUnavailable, true, "overloaded, not run: true"}
	if diff := cmp.Diff(want, readAnswer(t, conn, r, maxWait)); diff != "" {
		t.Errorf("answer to a long header (-want +got):\n%s", diff)
	}
	ordinary, ordinaryReader := dial(t, s.address)
	for range 2 {
		roundTrip(t, ordinary, ordinaryReader)
	}
	if n := s.count(caller.LimitHeaders); n != 1 {
		t.Errorf("%d headers were refused, want 1", n)
	}
}

// Headers that were refused one after the other left more garbage than was collected in time.
func TestLongHeadersKeepToRate(t *testing.T) {
	s := startLimited(t, caller.Limits{HeaderRate: rate.NewLimiter(1, 100<<10)}, answerOK)
	conn, r := dial(t, s.address)
	for range 20 { // Short headers don't count.
		roundTrip(t, conn, r)
	}
	long := headerStart + "X-More: " + strings.Repeat("x", 60<<10) + "\r\n\r\n"
	var got []int
	for range 3 {
		conn, r := dial(t, s.address)
		go func() { _, _ = io.WriteString(conn, long) }() // It ends with the connection.
		got = append(got, readAnswer(t, conn, r, maxWait).Status)
	}
	if diff := cmp.Diff([]int{200, 200, 503}, got); diff != "" {
		t.Errorf("status of long headers (-want +got):\n%s", diff)
	}
	roundTrip(t, conn, r)
}

// Short fields take many times their bytes.
func TestManyFieldsTakeMoreThanTheirBytes(t *testing.T) {
	budget := &bounded.Budget{Limit: 256 << 10}
	s := startLimited(t, caller.Limits{Headers: budget}, answerOK)
	conn, r := dial(t, s.address)
	send(t, conn, headerStart+strings.Repeat("x:\r\n", 1500))
	if got := readAnswer(t, conn, r, maxWait); got.Status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want status 503", got)
	}
}

// The memory of a header is free again after its request, also if that was refused or broke off.
func TestMemoryOfHeaderIsGivenBack(t *testing.T) {
	parent := &bounded.Budget{Limit: 1 << 20}
	budget := &bounded.Budget{Limit: 128 << 10, Parent: parent}
	running := make(chan bool)
	s := startLimited(t, caller.Limits{Headers: budget}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			running <- true
			<-running
		}
		answerOK(w, r)
	})
	long := headerStart + "X-More: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	conn, r := dial(t, s.address)
	for range 3 {
		send(t, conn, long)
		<-running
		if budget.Taken() == 0 {
			t.Error("nothing is taken while the request runs, want the memory of its header")
		}
		running <- true
		_ = readAnswer(t, conn, r, maxWait)
	}
	for _, text := range []string{long[:len(long)-4], headerStart + "X-More: " + strings.Repeat("x", 300<<10)} {
		broken, _ := dial(t, s.address)
		send(t, broken, text)
		_ = broken.Close()
	}
	_ = conn.Close()
	eventually(t, "all is given back", func() bool { return budget.Taken() == 0 && parent.Taken() == 0 })
}

// A header without an end was read up to a limit that only fits many callers in a large host.
func TestLongHeaderIsRefused(t *testing.T) {
	s := startLimited(t, caller.Limits{HeaderBytes: func() int { return 10_000 }}, answerOK)
	for name, text := range map[string]string{"field": headerStart + "X-More: ", "path": "GET /"} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, s.address)
			go func() { _, _ = io.WriteString(conn, text+strings.Repeat("x", 1<<20)) }() // It ends with the connection.
			want := answer{http.StatusRequestHeaderFieldsTooLarge, true, "tooLarge, not run: true"}
			if diff := cmp.Diff(want, readAnswer(t, conn, r, maxWait)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	conn, r := dial(t, s.address)
	for range 20 { // The limit is that of each header.
		send(t, conn, headerStart+"X-More: "+strings.Repeat("x", 2000)+"\r\n\r\n")
		if got := readAnswer(t, conn, r, maxWait); got.Body != "ok" {
			t.Fatalf("got %+v, want body ok", got)
		}
	}
}

// A crowd of connections that send nothing must not keep other callers out, and must not end requests.
func TestConnectionWithoutRequestIsClosedForNewOne(t *testing.T) {
	const limit = 4
	running, release := make(chan bool, limit), make(chan bool)
	s := startLimited(t, caller.Limits{Connections: limit}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			running <- true
			<-release
		}
		answerOK(w, r)
	})
	slow, slowReader := dial(t, s.address)
	send(t, slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	idle, idleReader := dial(t, s.address)
	roundTrip(t, idle, idleReader)
	time.Sleep(200 * time.Millisecond) // Until the connection is no longer in use.
	for range 4 * limit {
		conn, _ := dial(t, s.address)
		send(t, conn, "G")
	}
	conn, r := dial(t, s.address)
	roundTrip(t, conn, r)
	if !isClosed(idle, idleReader) {
		t.Error("the idle connection is open, want it closed for a new one")
	}
	close(release)
	if got := readAnswer(t, slow, slowReader, maxWait); got.Body != "ok" {
		t.Errorf("got %+v, want the answer to the request that ran", got)
	}
}

// A crowd that sends bodies slowly, or reads no answers, must not keep other callers out until the
// timeouts of its requests.
func TestStalledConnectionIsClosedForNewOne(t *testing.T) {
	const limit = 4
	for name, test := range map[string]struct {
		request string
		handler http.HandlerFunc
	}{
		"body": {"POST /stall HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(neverExpires))
			_, _ = io.ReadAll(r.Body)
		}},
		"body after 100 Continue": {"POST /stall HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\nx", func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(neverExpires))
			_, _ = io.ReadAll(r.Body)
		}},
		"answer": {"GET /stall HTTP/1.1\r\nHost: h\r\n\r\n", func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startLimited(t, caller.Limits{Connections: limit, WriteTimeout: neverExpires}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/stall" {
					test.handler(w, r)
					return
				}
				answerOK(w, r)
			})
			for range limit {
				conn, _ := dial(t, s.address)
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				send(t, conn, test.request)
			}
			eventually(t, "an ordinary request is answered", func() bool {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					return false
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, headerStart+"Connection: close\r\n\r\n")
				text, _ := io.ReadAll(conn) // The status tells.
				return strings.HasPrefix(string(text), "HTTP/1.1 200")
			})
			if s.count(caller.LimitConnections) == 0 {
				t.Error("no stalled connection was closed, want one")
			}
		})
	}
}

// Bodies that stalled kept their connections while new ones took those of callers between two requests.
func TestStalledBodyIsClosedBeforeKeptConnection(t *testing.T) {
	const limit = 4
	s := startLimited(t, caller.Limits{Connections: limit}, func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(neverExpires))
			_, _ = io.ReadAll(r.Body)
		}
		answerOK(w, r)
	})
	kept, keptReader := dial(t, s.address)
	roundTrip(t, kept, keptReader)
	arriving, arrivingReader := dial(t, s.address)
	send(t, arriving, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n")
	for range limit - 2 {
		conn, _ := dial(t, s.address)
		send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	}
	part := strings.Repeat("x", 10_000)
	for range 10 { // For 3 s.
		time.Sleep(300 * time.Millisecond)
		send(t, arriving, part)
	}
	for range limit - 2 {
		conn, r := dial(t, s.address)
		roundTrip(t, conn, r)
	}
	eventually(t, "the stalled bodies are closed", func() bool { return s.count(caller.LimitConnections) == limit-2 })
	roundTrip(t, kept, keptReader)
	send(t, arriving, strings.Repeat(part, 10))
	if got := readAnswer(t, arriving, arrivingReader, maxWait); got.Body != "ok" {
		t.Errorf("got %+v, want the answer to the request whose body kept arriving", got)
	}
}

// A connection that was just used was closed for a new one, while its next request was on its way.
func TestConnectionInUseIsClosedLast(t *testing.T) {
	const limit = 3
	s := startLimited(t, caller.Limits{Connections: limit}, answerOK)
	kept, keptReader := dial(t, s.address)
	for range 20 {
		conn, _ := dial(t, s.address)
		send(t, conn, "G")
		roundTrip(t, kept, keptReader)
	}
}

// stoppedClock is a clock whose time doesn't advance.
type stoppedClock struct {
	clock.System
	now time.Time
}

func (c stoppedClock) Now() time.Time { return c.now }

// A host that accepted connections late closed a connection in use for one that had waited longer.
func TestConnectionInUseIsClosedAfterUnusedOnes(t *testing.T) {
	const limit = 3
	s := startLimited(t, caller.Limits{Connections: limit}, answerOK, func(l *caller.Listener, _ *http.Server) {
		l.Clock = stoppedClock{now: time.Now()}
	})
	kept, keptReader := dial(t, s.address)
	roundTrip(t, kept, keptReader)
	for range limit {
		conn, _ := dial(t, s.address)
		send(t, conn, "G")
	}
	eventually(t, "a connection is closed", func() bool { return s.count(caller.LimitConnections) == 1 })
	roundTrip(t, kept, keptReader)
}

// A request whose caller was told that it hadn't run was run when its header was whole at that moment.
func TestRequestThatIsRefusedDoesNotRun(t *testing.T) {
	memory := &bounded.Budget{Limit: 256 << 10} // Short headers are counted in the parent only.
	begins := newBegins()
	var ran atomic.Int64
	s := startLimited(t, caller.Limits{Connections: 1, Headers: &bounded.Budget{Limit: memory.Limit, Parent: memory}}, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		answerOK(w, r)
	}, begins.hold)
	conn, r := dial(t, s.address)
	send(t, conn, headerStart+"\r")
	eventually(t, "the start of the header is read", func() bool { return memory.Taken() > 0 })
	send(t, conn, "\n")
	<-begins.begun
	next, nextReader := dial(t, s.address)
	want := answer{http.StatusServiceUnavailable, true, "overloaded, not run: true"}
	if diff := cmp.Diff(want, readAnswer(t, conn, r, maxWait)); diff != "" {
		t.Fatalf("answer (-want +got):\n%s", diff)
	}
	close(begins.release)
	<-begins.closed
	roundTrip(t, next, nextReader)
	if diff := cmp.Diff(int64(1), ran.Load()); diff != "" {
		t.Errorf("requests that ran (-want +got):\n%s", diff)
	}
}

// A request that had arrived was refused for a new connection, as the server hadn't taken it up yet.
func TestRequestThatHasArrivedIsNotRefused(t *testing.T) {
	begins := newBegins()
	s := startLimited(t, caller.Limits{Connections: 1}, answerOK, begins.hold)
	conn, r := dial(t, s.address)
	send(t, conn, headerStart+"\r\n")
	<-begins.begun
	refused, refusedReader := dial(t, s.address)
	want := answer{http.StatusServiceUnavailable, true, "overloaded, not run: true"}
	if diff := cmp.Diff(want, readAnswer(t, refused, refusedReader, maxWait)); diff != "" {
		t.Errorf("answer to the new connection (-want +got):\n%s", diff)
	}
	close(begins.release)
	readOK(t, r)
}

// abortedListener accepts connections whose reads return only after release if their deadline has passed. Each of
// these reads sends a value to aborted.
type abortedListener struct {
	net.Listener
	aborted, release chan struct{}
}

func (l abortedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &abortedConn{conn.(*net.TCPConn), l}, nil
}

type abortedConn struct {
	*net.TCPConn
	listener abortedListener
}

func (c *abortedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.aborted <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// A connection in use was closed as one that sends a body slowly, while net/http ended the read by which it sees
// callers leave.
func TestAnsweredConnectionIsNotClosedForItsBody(t *testing.T) {
	aborted, release := make(chan struct{}, 10), make(chan struct{})
	s := startLimited(t, caller.Limits{Connections: 1}, answerOK, func(l *caller.Listener, _ *http.Server) {
		l.Listener = abortedListener{l.Listener, aborted, release}
	})
	conn, r := dial(t, s.address)
	roundTrip(t, conn, r)
	<-aborted
	refused, refusedReader := dial(t, s.address)
	if got := readAnswer(t, refused, refusedReader, maxWait); got.Status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want status 503 for the new connection", got)
	}
	close(release)
	roundTrip(t, conn, r)
}

// begins holds requests up between the read of their header and the call of the handler.
type begins struct {
	// begun gets a value for each request that is held up, release is closed to let them go on, and closed gets a
	// value for each connection that has ended.
	begun, release, closed chan struct{}
}

func newBegins() *begins {
	return &begins{make(chan struct{}, 10), make(chan struct{}), make(chan struct{}, 10)}
}

func (b *begins) hold(_ *caller.Listener, server *http.Server) {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive {
			b.begun <- struct{}{}
			<-b.release
		}
		next(conn, state)
		if state == http.StateClosed {
			b.closed <- struct{}{}
		}
	}
}

// A connection above the limit is refused while requests run on all others.
func TestNewConnectionIsRefusedWhileRequestsRun(t *testing.T) {
	const limit = 2
	running, release := make(chan bool), make(chan bool)
	s := startLimited(t, caller.Limits{Connections: limit}, func(w http.ResponseWriter, r *http.Request) {
		running <- true
		<-release
		answerOK(w, r)
	})
	readers := map[net.Conn]*bufio.Reader{}
	for range limit {
		conn, r := dial(t, s.address)
		readers[conn] = r
		send(t, conn, headerStart+"\r\n")
		<-running
	}
	refused, r := dial(t, s.address)
	if got := readAnswer(t, refused, r, maxWait); got.Status != http.StatusServiceUnavailable || got.Body != "overloaded, not run: true" {
		t.Errorf("got %+v, want status 503, not run", got)
	}
	close(release)
	for conn, r := range readers {
		_ = readAnswer(t, conn, r, maxWait)
		_ = conn.Close()
	}
	eventually(t, "a new connection is served", func() bool {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, headerStart+"\r\n")
		select {
		case <-running:
			return true
		case <-time.After(50 * time.Millisecond):
			return false
		}
	})
}

// A caller that reads nothing held its answer and its connection for good.
func TestUnreadAnswerEndsConnection(t *testing.T) {
	ended := make(chan struct{})
	s := startLimited(t, caller.Limits{WriteTimeout: 50 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for {
			if _, err := w.Write(part); err != nil {
				close(ended)
				return
			}
		}
	})
	conn, _ := dial(t, s.address)
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	send(t, conn, headerStart+"\r\n")
	select {
	case <-ended:
	case <-time.After(maxWait):
		t.Fatal("the answer is still being written")
	}
	if s.count(caller.LimitWrite) == 0 {
		t.Error("no unread answer is counted, want one")
	}
}

// A caller that reads slowly gets its whole answer.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	const size = 1 << 20
	s := startLimited(t, caller.Limits{WriteTimeout: time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		for range size / (64 << 10) {
			_, _ = w.Write(make([]byte, 64<<10))
		}
	})
	conn, r := dial(t, s.address)
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	send(t, conn, headerStart+"\r\n")
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	n := 0
	for part := make([]byte, 32<<10); ; time.Sleep(20 * time.Millisecond) {
		read, err := response.Body.Read(part)
		n += read
		if err != nil {
			break
		}
	}
	if diff := cmp.Diff(size, n); diff != "" {
		t.Errorf("bytes of the answer (-want +got):\n%s", diff)
	}
}
