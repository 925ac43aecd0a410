package stall_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/stall"
)

// slowBody has a byte after each pause, and fails once ctx has ended.
type slowBody struct {
	ctx   context.Context
	pause time.Duration
	left  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(b.pause):
		b.left--
		return copy(p, "x"), nil
	}
}

// A long answer must not be given up while it arrives, and one that has stopped or has no end must be.
func TestAnswerIsGivenUpWhenItStopsArriving(t *testing.T) {
	const first, idle, most = time.Second, 500 * time.Millisecond, 4 * time.Second
	for _, c := range []struct {
		what        string
		head, pause time.Duration
		bytes       int
		takes       time.Duration
		err         error
	}{
		{"short", 0, time.Millisecond, 10, 10 * time.Millisecond, nil},
		{"long", 900 * time.Millisecond, 400 * time.Millisecond, 9, 4500 * time.Millisecond, nil},
		{"no head", 2 * time.Second, 0, 0, first, context.DeadlineExceeded},
		{"stopped", 0, time.Second, 2, idle, context.DeadlineExceeded},
		{"endless", 0, 100 * time.Millisecond, 1 << 20, first + most, context.DeadlineExceeded},
	} {
		t.Run(c.what, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				ctx, timer := stall.Context(context.Background(), first, idle, most)
				defer timer.Stop()
				var err error
				select {
				case <-ctx.Done():
					err = context.Cause(ctx)
				case <-time.After(c.head):
					_, err = io.ReadAll(stall.Reader(ctx, &slowBody{ctx, c.pause, c.bytes}))
				}
				if takes := time.Since(startedAt); takes != c.takes || !errors.Is(err, c.err) {
					t.Errorf("got %v after %v, want %v after %v", err, takes, c.err, c.takes)
				}
			})
		})
	}
}
