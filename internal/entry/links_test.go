package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// segmentBytes is the number of bytes that a link carries before it turns to the next transfer.
const segmentBytes = 16 << 10

// link is one direction of the link of a host, which its transfers share.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// reserve queues a segment of a transfer and returns when the link has carried it. A nil link has no limit.
func (l *link) reserve(takes time.Duration) time.Time {
	now := time.Now()
	if l == nil {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(takes)
	return l.freeAt
}

// linkedBody is the body of an answer that arrives over links. A transfer that is given up leaves room
// for the others.
type linkedBody struct {
	io.Reader

	ctx   context.Context
	rate  float64
	links []*link
}

func (b *linkedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), segmentBytes)])
	arrives := time.Now()
	for _, l := range b.links {
		if at := l.reserve(time.Duration(float64(n) / b.rate * float64(time.Second))); at.After(arrives) {
			arrives = at
		}
	}
	if late := clock.Sleep(b.ctx, clock.System{}, time.Until(arrives)); late != nil {
		return 0, late
	}
	return n, err
}

func (b *linkedBody) Close() error { return nil }
