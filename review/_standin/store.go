package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is written in JSON.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store stands in for the platform's metadata store.
type store struct {
	address string
	started time.Time

	mu sync.Mutex
	// changed is closed and replaced after each transaction.
	changed chan struct{}
	rows    map[string]row
	ver     int64
}

// newStore starts a store at a free loopback address.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), changed: make(chan struct{}), rows: map[string]row{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	go func() { _ = http.Serve(l, mux) }() // It serves until the program ends.
	return s, nil
}

func (s *store) nowMillis() int64 { return time.Since(s.started).Milliseconds() }

// put writes a row without a condition, as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}})
}

// apply applies a transaction. The lock must be held.
func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have gone.
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, r := range s.rows {
		if !r.Tombstone && r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(list) > limit
	list = list[:min(limit, len(list))]
	s.answer(w, http.StatusOK, map[string]any{"rows": list, "truncated": truncated, "ver": s.ver, "now_ms": s.nowMillis()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if after > s.ver {
			s.answer(w, http.StatusGone, map[string]any{"ver": s.ver, "now_ms": s.nowMillis()})
			s.mu.Unlock()
			return
		}
		list := []row{}
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Ver > after {
				list = append(list, r)
			}
		}
		if len(list) > 0 || last {
			slices.SortFunc(list, func(a, b row) int { return int(a.Ver - b.Ver) })
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "ver": s.ver, "now_ms": s.nowMillis()})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectRev []row `json:"expect_rev"`
		Puts      []row `json:"puts"`
		Remove    []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // tx_ms of the sheet.
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []row{}, true
	for _, want := range tx.ExpectRev {
		now := s.rows[want.id()]
		if now.Tombstone {
			now = row{}
		}
		met = met && now.Ver == want.Ver
		if now.Ver > 0 {
			current = append(current, now)
		}
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.nowMillis()})
		return
	}
	for _, r := range tx.Puts {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	rows := tx.Puts
	for _, r := range tx.Remove {
		r.Value, r.Tombstone = "", true
		rows = append(rows, r)
	}
	s.apply(rows)
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.nowMillis()})
}
