package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request of the sheet.
type kind struct {
	name, path, method string
	deadline           time.Duration
	perSecond          float64
	// tokens and parts are header fields of requests with a prompt.
	tokens      string
	shared, own int
}

// outcome is what a client saw of one attempt.
type outcome struct {
	id, kind, host string
	sent           time.Time
	took           time.Duration
	// kept is set if the connection had carried other requests before.
	kept   bool
	status int
	// whole is set if the answer was complete.
	whole bool
	err   error
	gave  bool // The client's deadline has passed.
}

// end describes how the attempt ended for the client.
func (o *outcome) end() string {
	switch {
	case o.gave:
		return "deadline of the client"
	case o.err != nil:
		if o.status != 0 {
			return "closed within the answer"
		}
		return "closed without an answer"
	}
	return fmt.Sprint(o.status)
}

// load sends requests to one host over kept connections.
type load struct {
	host   *host
	kinds  []kind
	client *http.Client
	rng    *rand.Rand
	key    string

	mu       sync.Mutex
	outcomes []outcome
	running  sync.WaitGroup
}

func newLoad(h *host, kinds []kind, key string, seed uint64) *load {
	return &load{
		host: h, kinds: kinds, key: key, rng: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 10 * time.Second}},
	}
}

// run sends requests until ctx ends and waits for their outcomes.
func (l *load) run(ctx context.Context) {
	var senders sync.WaitGroup
	for i, k := range l.kinds {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), uint64(i)))
		senders.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pause := time.Duration(rng.ExpFloat64() / k.perSecond * float64(time.Second))
				select {
				case <-ctx.Done():
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("%016x", rng.Uint64())
				part := rng.IntN(20)
				l.running.Go(func() { l.send(k, id, part) })
			}
		})
	}
	senders.Wait()
	l.running.Wait()
}

// send sends one attempt.
func (l *load) send(k kind, id string, part int) {
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	o := outcome{id: id, kind: k.name, host: l.host.name, sent: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.kept = info.Reused }}
	var body io.Reader
	if k.method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("a request of kind " + k.name)) // Without GetBody it is sent once.
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, "http://"+l.host.front+k.path+"2f", body)
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	r.Header.Set("X-Api-Key", l.key)
	if k.tokens != "" {
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Token-Count", k.tokens)
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s%d:%d,%s:%d", "5c1e", part, k.shared, id, k.own))
	}
	response, err := l.client.Do(r)
	if err == nil {
		o.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		o.whole = err == nil
	}
	o.err, o.took = err, time.Since(o.sent)
	o.gave = errors.Is(err, context.DeadlineExceeded)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}
