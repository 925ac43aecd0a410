package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/target"
)

// newLongTarget returns the URL of a service that answers each request with a text, then with size bytes,
// and then with nothing more.
func newLongTarget(t *testing.T, text string, size int) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	part := strings.Repeat("x", 64<<10)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, err := io.WriteString(conn, text)
				for sent := 0; sent < size && err == nil; sent += len(part) {
					_, err = io.WriteString(conn, part)
				}
				_, _ = conn.Read(make([]byte, 1)) // Returns when the client closes.
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Answers of plain services that never ended filled the memory of a host together.
func TestLongAnswersTogetherTakeBoundedMemory(t *testing.T) {
	const calls, limit, callTime = 40, 256 << 20, 2 * time.Second
	for name, test := range map[string]struct {
		text string
		size int
	}{
		"bodies":        {"HTTP/1.1 500 Failed\r\n\r\n", 15 << 20},
		"header fields": {"HTTP/1.1 200 OK\r\nX-More: ", 9 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			client := target.NewClient(time.Minute, 4)
			url := newLongTarget(t, test.text, test.size)
			short := newRawTarget(t, 0, rawResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}).url
			done := time.After(callTime)
			var running sync.WaitGroup
			for range calls {
				running.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), callTime)
					defer cancel()
					if _, err := client.Call(ctx, http.MethodGet, url, http.Header{}, nil, true); err == nil {
						t.Error("got an answer that never ended")
					}
				})
			}
			peak := uint64(0)
			for open := true; open; {
				select {
				case <-done:
					open = false
				case <-time.After(50 * time.Millisecond):
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
				if _, err := client.Call(t.Context(), http.MethodGet, short, http.Header{}, nil, false); err != nil {
					t.Errorf("short answer: %v", err)
				}
			}
			running.Wait()
			if peak > limit {
				t.Errorf("the heap had %s, want at most %s", megabytes(peak), megabytes(limit))
			}
		})
	}
}

func megabytes(n uint64) string { return fmt.Sprintf("%d MiB", n>>20) }
