package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request on a runner.
type run struct {
	id, method, target, body, tenant string
	runner                           string
	at                               time.Time
}

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, address, zone string
	born                       time.Time
	slots                      int
	store                      *store

	mu   sync.Mutex
	runs []run
}

const beat = 1200 * time.Millisecond

func newRunner(s *store, id, service, zone string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now(), store: s, slots: 64}
	// A handler of its own: a mux would redirect requests for paths that aren't clean.
	go func() { _ = http.Serve(l, r) }()
	go r.register()
	return r, nil
}

// register writes the entry of the runner in the list.
func (r *runner) register() {
	for seq := 1; ; seq++ {
		r.store.put("servers", r.id, map[string]any{
			"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": r.born.UnixMilli(),
		})
		time.Sleep(beat)
	}
}

// ServeHTTP runs a request that names this runner.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if q.RequestURI == "/healthz" {
		w.Header().Set("X-Instance", r.id)
		return
	}
	if named := q.Header.Get("X-Expect-Instance"); named != "" && named != r.id {
		w.Header().Set("X-Instance", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, method: q.Method, target: q.RequestURI, body: string(body), tenant: q.Header.Get("X-Tenant"), runner: r.id, at: time.Now()})
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+r.id)
	fmt.Fprintf(w, "run by %s\n", r.id)
}

func (r *runner) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
