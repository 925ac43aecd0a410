package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// PlatformFaults are the faults of the table service and the object store. The host
// list has none.
type PlatformFaults struct {
	// Down makes both services refuse every call.
	Down bool `json:"down"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers is the number of commits whose response is lost after they have
	// taken effect.
	LoseAnswers int `json:"loseAnswers"`
	// CallsPerSecond is the rate above which calls are refused. Zero means no limit.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Platform stands in for the table service, the object store and the host list.
// Entries of the host list become visible after HostLag.
type Platform struct {
	Clock   clock.Clock
	HostLag time.Duration

	mu      sync.Mutex
	tables  map[string]map[string]platform.Row
	objects map[string][]byte
	hosts   map[string]listedHost
	faults  PlatformFaults
	// second is the Unix time of the last counted call in seconds. calls counts the
	// calls in that second, for the rate limit.
	second   int64
	calls    int
	commits  int
	reads    int
	listener listener
}

type listedHost struct {
	host  platform.Host
	since time.Time
}

// NewPlatform returns an empty platform.
func NewPlatform(c clock.Clock) *Platform {
	p := &Platform{
		Clock:   c,
		tables:  map[string]map[string]platform.Row{},
		objects: map[string][]byte{},
		hosts:   map[string]listedHost{},
	}
	p.listener.handler = p.Handler()
	return p
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/get", p.withFaults(p.serveGet))
	mux.HandleFunc("POST /table/scan", p.withFaults(p.serveScan))
	mux.HandleFunc("POST /table/commit", p.withFaults(p.serveCommit))
	mux.HandleFunc("PUT /objects/{name}", p.withFaults(p.servePutObject))
	mux.HandleFunc("GET /objects/{name}", p.withFaults(p.serveGetObject))
	mux.HandleFunc("GET /hosts", p.serveHosts)
	mux.HandleFunc("POST /hosts", p.serveAddHost)
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the number of table reads and of commits so far, including commits
// that failed with a conflict.
func (p *Platform) Counts() (reads, commits int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.commits
}

// withFaults applies the delay and the refusals of the faults to a handler.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, delay := p.countCall()
		if delay > 0 {
			<-p.Clock.After(delay)
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

// countCall counts one call against the rate limit. It returns the status of its
// refusal, or zero if it is served.
func (p *Platform) countCall() (status int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay = time.Duration(p.faults.DelayMillis) * time.Millisecond
	if p.faults.Down {
		return http.StatusServiceUnavailable, delay
	}
	if second := p.Clock.Now().Unix(); second != p.second {
		p.second = second
		p.calls = 0
	}
	p.calls++
	if p.faults.CallsPerSecond > 0 && p.calls > p.faults.CallsPerSecond {
		return http.StatusTooManyRequests, delay
	}
	return 0, delay
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var request platform.Condition
	if !readJSON(w, r, &request) {
		return
	}
	p.mu.Lock()
	p.reads++
	row, found := p.tables[request.Table][request.Key]
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"row": row, "found": found})
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var request platform.Scan
	if !readJSON(w, r, &request) {
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": p.scan(request)})
}

func (p *Platform) scan(request platform.Scan) []platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []platform.Row{}
	for key, row := range p.tables[request.Table] {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	if request.Limit > 0 && len(rows) > request.Limit {
		rows = rows[:request.Limit]
	}
	return rows
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	conflict, lose := p.commit(tx)
	if lose {
		panic(http.ErrAbortHandler)
	}
	if conflict != nil {
		writeJSON(w, http.StatusConflict, conflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) commit(tx platform.Transaction) (conflict *platform.ConflictError, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	for _, c := range tx.Conditions {
		current := p.tables[c.Table][c.Key].Version
		if current != c.Version {
			return &platform.ConflictError{Table: c.Table, Key: c.Key, Wanted: c.Version, Current: current}, false
		}
	}
	for _, write := range tx.Writes {
		p.apply(write)
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return nil, true
	}
	return nil, false
}

func (p *Platform) apply(write platform.Write) {
	table := p.tables[write.Table]
	if table == nil {
		table = map[string]platform.Row{}
		p.tables[write.Table] = table
	}
	if write.Delete {
		delete(table, write.Key)
		return
	}
	version := table[write.Key].Version + 1
	table[write.Key] = platform.Row{Table: write.Table, Key: write.Key, Version: version, Value: write.Value}
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, found := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// serveHosts lists the hosts whose entry is at least HostLag old.
func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	hosts := make([]platform.Host, 0, len(p.hosts))
	for _, listed := range p.hosts {
		if p.Clock.Now().Sub(listed.since) >= p.HostLag {
			hosts = append(hosts, listed.host)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(hosts, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, hosts)
}

func (p *Platform) serveAddHost(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if readJSON(w, r, &host) {
		p.AddHost(host)
	}
}

// AddHost adds a host to the host list, or replaces its entry.
func (p *Platform) AddHost(host platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[host.Name] = listedHost{host: host, since: p.Clock.Now()}
}

// RemoveHost removes a host from the host list.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
}

// PutRow writes a row directly, without a transaction. It is used for initial
// records.
func (p *Platform) PutRow(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(platform.Write{Table: table, Key: key, Value: data})
	return nil
}
