package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the metadata store, as the pages state them.
const (
	maxNameBytes   = 200
	maxRowBytes    = 65536
	maxTxBytes     = 1 << 20
	maxTxEntries   = 100
	maxPageRows    = 500
	maxFeedWait    = 30 * time.Second
	transactionFor = 5 * time.Millisecond
)

// row is a row of the metadata store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	began time.Time
	url   string

	mu      sync.Mutex
	ver     int64
	rows    map[rowName]row
	changed chan struct{}
	// refused counts the writes that exceed a limit, by the table of their first row.
	refused map[string]int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{began: time.Now(), url: "http://" + l.Addr().String(), rows: map[rowName]row{}, changed: make(chan struct{}), refused: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator or a runner.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
	s.notify()
}

// write writes a row with the present version. The lock must be held.
func (s *store) write(r row) {
	r.Ver = s.ver
	s.rows[rowName{r.Table, r.Part, r.Key}] = r
}

// notify ends the calls that wait for a change. The lock must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// values returns the decoded values of the rows of a table.
func (s *store) values(table string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list [][]byte
	for name, r := range s.rows {
		if data, err := base64.StdEncoding.DecodeString(r.Value); err == nil && name.table == table && !r.Tombstone {
			list = append(list, data)
		}
	}
	return list
}

// writesRefused returns how many writes of a table exceeded a limit.
func (s *store) writesRefused(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[table]
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "truncated": truncated, "ver": ver, "now_ms": time.Since(s.began).Milliseconds() + 1000})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

type transaction struct {
	ExpectRev []row `json:"expect_rev"`
	Puts      []row `json:"puts"`
	Remove    []row `json:"remove"`
}

// fault returns the status and the reason for a transaction that the pages don't allow.
func (t *transaction) fault(size int) (int, string) {
	all := slices.Concat(t.ExpectRev, t.Puts, t.Remove)
	if len(all) > maxTxEntries || size > maxTxBytes {
		return http.StatusRequestEntityTooLarge, fmt.Sprintf("%d entries and %d bytes", len(all), size)
	}
	for _, r := range all {
		if r.Part != all[0].Part || max(len(r.Table), len(r.Part), len(r.Key)) > maxNameBytes {
			return http.StatusBadRequest, "several partitions or a long name"
		}
	}
	for _, r := range slices.Concat(t.Puts, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, "table " + r.Table
		}
	}
	for _, r := range t.Puts {
		data, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return http.StatusBadRequest, "value isn't base64"
		}
		if len(data) > maxRowBytes {
			return http.StatusRequestEntityTooLarge, fmt.Sprintf("row of %d bytes", len(data))
		}
	}
	return 0, ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 16*maxTxBytes))
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		http.Error(w, "want a transaction", http.StatusBadRequest)
		return
	}
	time.Sleep(transactionFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status, reason := t.fault(len(body)); status != 0 {
		if len(t.Puts) > 0 {
			s.refused[t.Puts[0].Table]++
		}
		http.Error(w, reason, status)
		return
	}
	failed := false
	var current []row
	for _, e := range t.ExpectRev {
		known := s.rows[rowName{e.Table, e.Part, e.Key}]
		present := int64(0)
		if known.Ver > 0 && !known.Tombstone {
			present = known.Ver
			current = append(current, known)
		}
		failed = failed || present != e.Ver
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range t.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Tombstone: true})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false, s.ver)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for name, e := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && !e.Tombstone && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, e)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], truncated, s.ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for name, e := range s.rows {
			if name.table == q.Get("table") && e.Ver > after {
				rows = append(rows, e)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b row) int { return int(a.Ver - b.Ver) })
			s.answer(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for name := range s.rows {
		if name.table == r.URL.Query().Get("table") {
			parts[name.part] = true
		}
	}
	list := []string{}
	for part := range parts {
		list = append(list, part)
	}
	slices.Sort(list)
	body, _ := json.Marshal(map[string]any{"parts": list, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds() + 1000})
	_, _ = w.Write(body)
}
