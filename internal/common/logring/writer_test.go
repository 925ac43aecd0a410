package logring_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/logring"
)

func TestLinesBeyondTheRingAreCounted(t *testing.T) {
	var out bytes.Buffer
	w := logring.New(&out, 3)
	for i := range 5 {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n != 7 || err != nil {
			t.Fatalf("wrote %d bytes, %v", n, err)
		}
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if diff := cmp.Diff([]string{"line 0", "line 1", "line 2"}, lines[len(lines)-3:]); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if !strings.Contains(out.String(), `"dropped":2`) {
		t.Errorf("nothing tells of the lines that were dropped:\n%s", out.String())
	}
}

func TestLongBatchesAreSplit(t *testing.T) {
	var out bytes.Buffer
	w := logring.New(&out, 100)
	line := strings.Repeat("x", 999) + "\n"
	for range 100 {
		_, _ = w.Write([]byte(line))
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	if err := w.Run(ctx); err != nil || out.String() != strings.Repeat(line, 100) {
		t.Errorf("%v, %d bytes, want 100,000", err, out.Len())
	}
}
