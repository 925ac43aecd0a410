package bounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
)

func TestBuffersTogetherKeepToBudget(t *testing.T) {
	budget := &bounded.Budget{Limit: 256 << 10}
	body := strings.Repeat("x", 150<<10)
	var buffers []*bounded.Buffer
	var got []error
	for range 3 {
		b := &bounded.Buffer{Hold: bounded.Hold{Budget: budget}}
		got = append(got, b.Fill(strings.NewReader(body), 0, 1<<20))
		buffers = append(buffers, b)
	}
	short := &bounded.Buffer{Hold: bounded.Hold{Budget: budget}}
	got = append(got, short.Fill(strings.NewReader("short"), 5, 1<<20))
	if diff := cmp.Diff([]bool{true, false, false, true}, []bool{got[0] == nil, got[1] == nil, got[2] == nil, got[3] == nil}); diff != "" {
		t.Errorf("bodies that fit (-want +got):\n%s", diff)
	}
	if !errors.Is(got[1], bounded.ErrNoRoom) || budget.Taken() > budget.Limit {
		t.Errorf("got %v with %d bytes taken, want %v and at most %d", got[1], budget.Taken(), bounded.ErrNoRoom, budget.Limit)
	}
	for _, b := range append(buffers, short) {
		b.Release()
	}
	if budget.Taken() != 0 {
		t.Errorf("%d bytes are taken after all were released, want 0", budget.Taken())
	}
}

func TestBufferFill(t *testing.T) {
	reset := errors.New("reset")
	for name, test := range map[string]struct {
		r             io.Reader
		expected, len int64
		want          error
	}{
		"empty":             {strings.NewReader(""), 0, 0, nil},
		"byte by byte":      {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 70_000))), 0, 70_000, nil},
		"data with the end": {iotest.DataErrReader(strings.NewReader("x")), 1, 1, nil},
		"of the limit":      {strings.NewReader(strings.Repeat("x", 100_000)), 100_000, 100_000, nil},
		"too long":          {strings.NewReader(strings.Repeat("x", 100_001)), 100_000, 100_001, bounded.ErrTooLong},
		"cut":               {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 2, 1, io.ErrUnexpectedEOF},
		"reset":             {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(reset)), -1, 1, reset},
	} {
		t.Run(name, func(t *testing.T) {
			b := &bounded.Buffer{}
			if err := b.Fill(test.r, test.expected, 100_000); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			n := int64(0)
			for _, chunk := range b.Chunks {
				n += int64(len(chunk))
			}
			if diff := cmp.Diff([]int64{test.len, test.len}, []int64{b.Len, n}); diff != "" {
				t.Errorf("length, and that of the chunks (-want +got):\n%s", diff)
			}
		})
	}
}

// A body for which there was no room, and which was refused, took the first part of its bytes for good.
func TestRefusedBodyTakesNothing(t *testing.T) {
	parent := &bounded.Budget{Limit: 256 << 10}
	budget := &bounded.Budget{Limit: 64 << 10, Parent: parent}
	for range 100 {
		if b := (&bounded.Buffer{Hold: bounded.Hold{Budget: budget}}); b.Reserve(1 << 20) {
			t.Fatal("a body longer than the budget has found room")
		}
	}
	if diff := cmp.Diff([]int64{0, 0}, []int64{parent.Taken(), budget.Taken()}); diff != "" {
		t.Errorf("bytes taken after all bodies were refused (-want +got):\n%s", diff)
	}
}

// Budgets that are within their limits each must not exceed the memory of the host together, and short
// bodies, which are never refused, must take the room of long ones.
func TestBudgetsTogetherKeepToParent(t *testing.T) {
	const size = 256 << 10
	parent := &bounded.Budget{Limit: 2*size + 64<<10}
	var holds []*bounded.Hold
	hold := func(b *bounded.Budget, n int64) bool {
		holds = append(holds, &bounded.Hold{Budget: b})
		return holds[len(holds)-1].Extend(n)
	}
	bodies, answers := &bounded.Budget{Limit: 2 * size, Parent: parent}, &bounded.Budget{Limit: 2 * size, Parent: parent}
	got := []bool{hold(bodies, size), hold(answers, size), hold(answers, size)}
	for range 64 {
		got = append(got[:3], hold(bodies, 8<<10))
	}
	if diff := cmp.Diff([]bool{true, true, false, true}, got); diff != "" {
		t.Errorf("bodies that fit (-want +got):\n%s", diff)
	}
	if bodies.Taken() > size || parent.Taken() < 2*size {
		t.Errorf("%d bytes are taken of a budget and %d of its parent, want at most %d and at least %d", bodies.Taken(), parent.Taken(), size, 2*size)
	}
	for _, h := range holds {
		h.Release()
	}
	if diff := cmp.Diff([]int64{0, 0, 0}, []int64{parent.Taken(), bodies.Taken(), answers.Taken()}); diff != "" {
		t.Errorf("bytes after all were released (-want +got):\n%s", diff)
	}
}
