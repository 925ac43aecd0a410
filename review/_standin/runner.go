package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a runner has run.
type run struct {
	runner string
	// target is the target of the request line, path and host are what the runner takes from the request.
	target, path, host string
	begun              time.Time
	// ended is zero while the request runs. complete is set if its answer was sent to the end.
	ended    time.Time
	complete bool
}

// journal holds what all runners have run, by the ID of the request.
type journal struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func (j *journal) begin(q *http.Request, runner string) *run {
	id := q.Header.Get("X-Request-Id")
	r := &run{runner: runner, begun: time.Now(), target: q.RequestURI, path: q.URL.Path, host: q.Host}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], r)
	return r
}

func (j *journal) end(r *run, complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.ended, r.complete = time.Now(), complete
}

// of returns the runs of a request.
func (j *journal) of(id string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	list := make([]run, 0, len(j.runs[id]))
	for _, r := range j.runs[id] {
		list = append(list, *r)
	}
	return list
}

// runner stands in for a runner of a service.
type runner struct {
	id, service, address, zone string
	// model is empty for a plain service.
	model   string
	slots   int
	born    int64
	store   *store
	journal *journal
	// work is the time until the answer, or until the first event. events are the events of a stream.
	work   time.Duration
	events int
	pause  time.Duration

	mu  sync.Mutex
	seq int64
	// cache is what the runner keeps of prompts, nil if it keeps nothing. others are the runners from
	// which it can fetch parts, by address.
	cache  *cache
	others map[string]*runner

	// pauseFor is the time for which a stream is preempted after its third event, 0 for none. While it
	// is set, requests that resume a stream find no room and are rejected after rejectAfter.
	pauseFor, rejectAfter time.Duration
	// endless is the rate in bytes per second of the body without end with which the runner answers
	// calls for cache events, 0 if it is sound.
	endless int
	// endlessSent counts the answers without end.
	endlessSent int
}

// start serves at a free loopback address and registers the runner until the program ends.
func (r *runner) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.born = l.Addr().String(), time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("GET /kv-events", r.kvEvents)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance", r.id)
	})
	// The multiplexer would redirect paths with two slashes.
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Request-Id") != "" {
			r.serve(w, q)
			return
		}
		mux.ServeHTTP(w, q)
	})
	go func() { _ = http.Serve(l, handler) }() // It serves until the program ends.
	go func() {
		for {
			r.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// beat writes the entry of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	if r.model != "" {
		entry["stage"] = "unified"
		entry["models"] = []any{map[string]any{"name": r.model, "version": 1, "adapters": []any{}}}
	}
	r.store.put("servers", r.id, entry)
}

// setEndless makes the runner answer calls for cache events without end.
func (r *runner) setEndless(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endless = bytesPerSecond
}

// nextEndless returns the rate of the next answer to a call for cache events, 0 if it has an end.
func (r *runner) nextEndless() (bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endless > 0 {
		r.endlessSent++
	}
	return r.endless
}

// sendEndless writes until the caller closes the connection.
func sendEndless(w http.ResponseWriter, r *http.Request, unit string, bytesPerSecond int) {
	const interval = 10 * time.Millisecond
	chunk := bytes.Repeat([]byte(unit), max(1, bytesPerSecond*int(interval)/int(time.Second)/len(unit)))
	control := http.NewResponseController(w)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if _, err := w.Write(chunk); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, `{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":254920,"handles":0,"born":%d}`, r.model, r.born)
}

func (r *runner) kvEvents(w http.ResponseWriter, q *http.Request) {
	if rate := r.nextEndless(); rate > 0 {
		_, _ = io.WriteString(w, `{"epoch":1,"next":2,"lost":false,"clock_ms":1,"born":`+strconv.FormatInt(r.born, 10)+`,"events":[`)
		sendEndless(w, q, `[1,"+","s1","5c1e07a2",800,"m"],`, rate)
		return
	}
	wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	if r.cache != nil {
		since, _ := strconv.Atoi(q.URL.Query().Get("since"))
		next, events := r.cache.eventsAfter(q.Context(), since, time.Duration(min(wait, 1000))*time.Millisecond)
		list, _ := json.Marshal(events) // Strings and numbers always encode.
		_, _ = fmt.Fprintf(w, `{"epoch":%d,"next":%d,"lost":false,"clock_ms":%d,"born":%d,"events":%s}`, r.born, next, r.store.nowMillis(), r.born, list)
		return
	}
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-q.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, `{"epoch":1,"next":1,"lost":false,"clock_ms":%d,"born":%d,"events":[]}`, r.store.nowMillis(), r.born)
}

// preemptedAt is the number of events after which a stream is preempted.
const preemptedAt = 3

// setFull makes the runner preempt streams for some time, and reject requests that resume one.
func (r *runner) setFull(pauseFor, rejectAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauseFor, r.rejectAfter = pauseFor, rejectAfter
}

// serve runs a request.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("X-Request-Id")
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance", r.id)
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	pauseFor, rejectAfter := r.pauseFor, r.rejectAfter
	r.mu.Unlock()
	if pauseFor > 0 && q.Header.Get("Last-Event-Id") != "" {
		if r.wait(q, rejectAfter) {
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	running := r.journal.begin(q, r.id)
	complete := false
	defer func() { r.journal.end(running, complete) }()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+r.id+"."+id)
	if r.cache != nil {
		r.readPrompt(q)
	}
	if !r.wait(q, r.work) {
		return
	}
	if r.events == 0 {
		_, err := io.WriteString(w, strings.Repeat("x", 800))
		complete = err == nil
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	for i := range r.events {
		pause := r.pause
		if i == preemptedAt && pauseFor > 0 {
			pause = pauseFor
		}
		if i > 0 && !r.wait(q, pause) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token token token\n\n", i+1); err != nil || control.Flush() != nil {
			return
		}
	}
	complete = true
}

// wait waits and returns false if the caller closes the connection.
func (r *runner) wait(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}
