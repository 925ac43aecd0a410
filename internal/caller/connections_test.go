package caller_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// longTime is longer than any test runs.
const longTime = time.Hour

// startLimited serves "ok" under limits that the test may change.
func startLimited(t *testing.T, times caller.Timeouts) (address string, limits *atomic.Pointer[caller.Timeouts]) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits = &atomic.Pointer[caller.Timeouts]{}
	limits.Store(&times)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	l := &caller.Listener{Listener: socket, Clock: clock.System{}, Timeouts: func() caller.Timeouts { return *limits.Load() }}
	l.ConfigureServer(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return socket.Addr().String(), limits
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func exchange(t *testing.T, conn net.Conn, r *bufio.Reader) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if diff := cmp.Diff("ok", string(body)); diff != "" || err != nil {
		t.Fatalf("%v, body (-want +got):\n%s", err, diff)
	}
}

// Each connection is served more than once, so that the limits of one phase
// would show in the next.
func TestIdleConnectionEndsByTheLimitInForce(t *testing.T) {
	address, _ := startLimited(t, caller.Timeouts{Header: longTime, Idle: 50 * time.Millisecond})
	conn, r := dial(t, address)
	exchange(t, conn, r)
	exchange(t, conn, r)
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: got %v, want its end", err)
	}
}

func TestIdleConnectionLivesOnWhereTheLimitHasGrown(t *testing.T) {
	address, limits := startLimited(t, caller.Timeouts{Header: longTime, Idle: 300 * time.Millisecond})
	conn, r := dial(t, address)
	exchange(t, conn, r)
	limits.Store(&caller.Timeouts{Header: longTime, Idle: longTime})
	time.Sleep(600 * time.Millisecond)
	exchange(t, conn, r)
}

func TestSlowHeaderIsAnswered(t *testing.T) {
	address, _ := startLimited(t, caller.Timeouts{Header: 50 * time.Millisecond, Idle: longTime})
	for name, before := range map[string]int{"first request": 0, "later request": 2} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			for range before {
				exchange(t, conn, r)
			}
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost:"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusRequestTimeout || !response.Close {
				t.Errorf("got status %d, close %v, want 408 and the end of the connection", response.StatusCode, response.Close)
			}
		})
	}
}

func TestConnectionWithoutRequestEndsSilently(t *testing.T) {
	address, _ := startLimited(t, caller.Timeouts{Header: 50 * time.Millisecond, Idle: longTime})
	_, r := dial(t, address)
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the connection and no answer", err)
	}
}

func TestHeaderBytes(t *testing.T) {
	const sent = "GET /a/b?c=d HTTP/1.1\r\nHost: host\r\nX-Two: 2\r\nX-Two: 3\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(sent)-len("\r\n"), caller.HeaderBytes(r)); diff != "" {
		t.Errorf("bytes of the header (-want +got):\n%s", diff)
	}
}
