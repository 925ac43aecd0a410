package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/standin"
)

// Requests that ran at the end of a stop, bookings among them, were cut without an answer.
func TestRequestsThatOutlastStopAreAnswered(t *testing.T) {
	const booking = "POST /services/docks/appointments HTTP/1.1\r\nAuthorization: Bearer dev-claims\r\n"
	const prompt = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer dev-orders\r\n"
	const text = `{"model":"letters","prompt":"How many clothes pegs are in the batch?","max_tokens":2`
	requests := map[string]struct{ head, body string }{
		"booking":            {booking, ""},
		"booking with a key": {booking + "Idempotency-Key: gate-7\r\n", ""},
		"prompt":             {prompt, text + "}"},
		"stream":             {prompt, text + `,"stream":true}`},
	}
	s := startPlatform(t, func(env *standin.Environment) {
		env.Docks.SetFaults(standin.DocksFaults{DelayMillis: 6000})
		for _, e := range env.Engines {
			e.PrefillRate = 0.5
		}
	}, func(cfg *config.Config) { cfg.ShutdownTimeout = config.DurationOf(2 * time.Second) })
	readers := map[string]*bufio.Reader{}
	for name, r := range requests {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "%sHost: h\r\nContent-Length: %d\r\n\r\n%s", r.head, len(r.body), r.body); err != nil {
			t.Fatal(err)
		}
		readers[name] = bufio.NewReader(conn)
	}
	time.Sleep(500 * time.Millisecond) // The requests begin to run.
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop()
	}()
	got, want := map[string]int{}, map[string]int{}
	for name := range requests {
		want[name] = http.StatusBadGateway
		if answer, err := http.ReadResponse(readers[name], nil); err == nil {
			got[name] = answer.StatusCode
			_ = answer.Body.Close()
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status of the requests that ran at the end of the stop (-want +got):\n%s", diff)
	}
	<-stopped
}
