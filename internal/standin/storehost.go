package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/store"
)

// StoreFaults are the faults of a store host.
type StoreFaults struct {
	// Full makes the host refuse writes.
	Full bool `json:"full"`
	// TruncateWrites stores only half of each block but reports success.
	TruncateWrites bool `json:"halfWrite"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delayMillis"`
	// CrashDuringWrite stops the host while it writes the next block.
	CrashDuringWrite bool `json:"dieMidWrite"`
}

// StoreHost stands in for a store host. It stores blocks and commit records
// independently. Only the reader checks that they match.
type StoreHost struct {
	Name  string
	Clock clock.Clock

	mu      sync.Mutex
	blocks  map[string][]byte
	commits map[string]store.Commit
	// changed lists the names of written and deleted commit records, in order.
	changed     []string
	incarnation int64
	faults      StoreFaults
	listener    listener
}

// Start discards all data and listens at addr, or at the previous address if addr is
// empty.
func (s *StoreHost) Start(addr string) error {
	s.mu.Lock()
	s.blocks = map[string][]byte{}
	s.commits = map[string]store.Commit{}
	s.changed = nil
	s.incarnation = s.Clock.Now().UnixNano()
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /blocks/{name}/{generation}", s.withDelay(s.servePutBlock))
	mux.HandleFunc("GET /blocks/{name}/{generation}", s.withDelay(s.serveGetBlock))
	mux.HandleFunc("DELETE /blocks/{name}/{generation}", s.withDelay(s.serveDeleteBlock))
	mux.HandleFunc("PUT /commits/{name}", s.withDelay(s.servePutCommit))
	mux.HandleFunc("DELETE /commits/{name}", s.withDelay(s.serveDeleteCommit))
	mux.HandleFunc("GET /commits", s.withDelay(s.serveListCommits))
	s.listener.handler = mux
	return s.listener.start(addr)
}

// URL returns the URL of the store host.
func (s *StoreHost) URL() string { return s.listener.url() }

// Stop closes all connections and stops listening.
func (s *StoreHost) Stop() { s.listener.stop() }

// SetFaults replaces the faults.
func (s *StoreHost) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// BlockCount returns the number of stored blocks, including truncated ones.
func (s *StoreHost) BlockCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks)
}

func (s *StoreHost) withDelay(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
		s.mu.Unlock()
		if delay > 0 {
			<-s.Clock.After(delay)
		}
		next(w, r)
	}
}

func blockKey(r *http.Request) string {
	return r.PathValue("name") + "/" + r.PathValue("generation")
}

func (s *StoreHost) servePutBlock(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	truncate := s.faults.TruncateWrites || s.faults.CrashDuringWrite
	if truncate {
		data = data[:len(data)/2]
	}
	s.blocks[blockKey(r)] = data
	if s.faults.CrashDuringWrite {
		s.faults.CrashDuringWrite = false
		go s.listener.stop()
		panic(http.ErrAbortHandler)
	}
}

func (s *StoreHost) serveGetBlock(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, found := s.blocks[blockKey(r)]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *StoreHost) serveDeleteBlock(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blocks, blockKey(r))
}

func (s *StoreHost) servePutCommit(w http.ResponseWriter, r *http.Request) {
	var commit store.Commit
	if !readJSON(w, r, &commit) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	s.commits[r.PathValue("name")] = commit
	s.changed = append(s.changed, r.PathValue("name"))
}

func (s *StoreHost) serveDeleteCommit(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	delete(s.commits, name)
	s.changed = append(s.changed, name)
}

// serveListCommits lists the commit records changed after a cursor, or all of them
// if the cursor is of another incarnation or out of range.
func (s *StoreHost) serveListCommits(w http.ResponseWriter, r *http.Request) {
	incarnation, _ := strconv.ParseInt(r.URL.Query().Get("incarnation"), 10, 64)
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, http.StatusOK, s.listing(store.Cursor{Incarnation: incarnation, Sequence: after}))
}

func (s *StoreHost) listing(after store.Cursor) store.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.changed))
	listing := store.Listing{Cursor: store.Cursor{Incarnation: s.incarnation, Sequence: end}}
	if after.Incarnation != s.incarnation || after.Sequence < 0 || after.Sequence > end {
		listing.Full = true
		for _, commit := range s.commits {
			listing.Commits = append(listing.Commits, commit)
		}
		return listing
	}
	for _, name := range s.changed[after.Sequence:] {
		if commit, found := s.commits[name]; found {
			listing.Commits = append(listing.Commits, commit)
		} else {
			listing.Removed = append(listing.Removed, name)
		}
	}
	return listing
}
