package commands

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lines is a writer that several goroutines use.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// A host goes on when it is told that its settings have changed, and says what
// became of them, also when they can't be read.
func TestSettingsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.json")
	settings := fmt.Sprintf(`{"host": "a", "failureDomain": "north", "table": {"url": "http://127.0.0.1:1"}, "stopDelay": "0s",
		"callers": {"listen": %q}, "readiness": {"listen": %q}, "metrics": {"listen": %q}, "peers": {"listen": %q}}`,
		freePort(t), freePort(t), freePort(t), freePort(t))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	out := &lines{}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan int, 1)
	go func() { done <- run(ctx, []string{"sassafrasplank", "route", "--config", path}, out, out) }()
	wait := func(text string) {
		t.Helper()
		for range 1000 {
			if out.has(text) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%q isn't among:\n%s", text, out.text.String())
	}
	wait("entry: start")
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	wait(`"changed":false`)
	if err := os.WriteFile(path, []byte(`{"host": ""}`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp()
	wait("host: a name is required")
	end()
	if code := <-done; code != exitOK {
		t.Errorf("exit code %d:\n%s", code, out.text.String())
	}
}
