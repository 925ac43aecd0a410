package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
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

// linkedAnswer is an answer that arrives over links, while its handler writes it. An answer that is given up
// leaves room for the others.
type linkedAnswer struct {
	ctx    context.Context
	rate   float64
	links  []*link
	header http.Header
	body   *io.PipeWriter
	// status receives the status once.
	status chan int
	once   sync.Once
}

func (a *linkedAnswer) Header() http.Header { return a.header }

func (a *linkedAnswer) WriteHeader(status int) { a.once.Do(func() { a.status <- status }) }

func (a *linkedAnswer) Write(p []byte) (n int, err error) {
	a.WriteHeader(http.StatusOK)
	for len(p) > 0 && err == nil {
		segment := p[:min(len(p), segmentBytes)]
		arrives := time.Now()
		for _, l := range a.links {
			if at := l.reserve(time.Duration(float64(len(segment)) / a.rate * float64(time.Second))); at.After(arrives) {
				arrives = at
			}
		}
		if err = clock.Sleep(a.ctx, clock.System{}, time.Until(arrives)); err == nil {
			_, err = a.body.Write(segment)
			n, p = n+len(segment), p[len(segment):]
		}
	}
	return n, err
}

// answer runs a handler whose answer arrives over links.
func (h *callHost) answer(handler http.Handler, r *http.Request, sender *link) (*http.Response, error) {
	body, writer := io.Pipe()
	a := &linkedAnswer{ctx: r.Context(), rate: h.group.linkRate, links: []*link{sender, &h.receives}, header: http.Header{}, body: writer, status: make(chan int, 1)}
	context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) })
	go func() {
		if sender == nil {
			// The table service holds a lock while it writes an answer.
			whole := httptest.NewRecorder()
			handler.ServeHTTP(whole, r)
			a.WriteHeader(whole.Code)
			_, _ = a.Write(whole.Body.Bytes())
		} else {
			handler.ServeHTTP(a, r)
			a.WriteHeader(http.StatusOK)
		}
		_ = writer.Close()
	}()
	select {
	case status := <-a.status:
		return &http.Response{StatusCode: status, Header: a.header, Body: body, ProtoMajor: 1, ProtoMinor: 1, Request: r, ContentLength: -1}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
