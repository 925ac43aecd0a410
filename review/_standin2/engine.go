package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	engineService = "lm-pool"
	model         = "daka510000"
	// events is the number of events of a stream, and eventPause the pause before each.
	events     = 20
	eventPause = 200 * time.Millisecond
	// pollWait is how long a call for cache events waits.
	pollWait = 800 * time.Millisecond
)

// engineConfig returns a configuration with one route for streams of a model.
func engineConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2xp4zhp", "host": clientHost, "prefix": "/bol/", "kind": "stream", "timeout_ms": 12000, "goal_ms": 500, "gap_aim_ms": 300,
			"priority": 1, "service": engineService, "attempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": engineService, "health_path": "/healthz", "max_conns": 630, "proto": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv_cap_tokens": 254920, "kv_token_bytes": 18432, "link_mbps": 180000.0, "stride": 5, "max_inflight": 12, "managed": true,
				"models": []any{map[string]any{"name": model}},
			},
		}},
		"limits":  limits(),
		"tenants": tenants(),
	}
}

// newEngine starts a stand-in for a model runner: it streams a few events, holds no cached parts, and takes no
// orders.
func newEngine(s *store, id, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	loaded := []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			path, _, _ := strings.Cut(q.RequestURI, "?")
			switch path {
			case "/report":
				writeJSON(w, map[string]any{"stage": "unified", "models": loaded, "busy": false, "seq": 0, "queued": 0, "active": 0, "handles": 0, "born": born, "clock_ms": time.Now().UnixMilli()})
			case "/kv-events":
				time.Sleep(pollWait)
				writeJSON(w, map[string]any{"epoch": born, "next": 0, "lost": false, "events": []any{}, "born": born, "clock_ms": time.Now().UnixMilli()})
			default:
				stream(w, q, id)
			}
		}))
	}()
	go func() {
		for seq := 1; ; seq++ {
			s.put("servers", id, map[string]any{
				"service": engineService, "addr": l.Addr().String(), "zone": zone, "version": "v1", "slots": 128, "state": "ready",
				"cold_left_ms": 0, "stage": "unified", "models": loaded, "seq": seq, "born": born,
			})
			time.Sleep(beat)
		}
	}()
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func stream(w http.ResponseWriter, q *http.Request, id string) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	if named := q.Header.Get("X-Expect-Instance"); named != "" && named != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= events; n++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: a\n\n", n); err != nil || control.Flush() != nil {
			return
		}
	}
}
