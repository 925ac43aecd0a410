package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

const (
	operatorTable = "operators"
	targetTable   = "targets"
	// tableDelay is the time from a call to the table service to its answer.
	tableDelay = 6 * time.Millisecond
)

// countedCall is the kind of a call to the table service.
type countedCall struct{ table, kind string }

// countingTable is a table service that counts the calls of all hosts.
type countingTable struct {
	mu      sync.Mutex
	version int64
	rows    map[string]map[string]platform.Row
	changed chan struct{}
	started time.Time
	calls   map[countedCall]int
	// refusedUntil is the end of an outage, in which all calls are refused.
	refusedUntil time.Time
}

func newCountingTable() *countingTable {
	return &countingTable{rows: map[string]map[string]platform.Row{}, changed: make(chan struct{}), started: time.Now(), calls: map[countedCall]int{}}
}

// take returns the calls since the last call of take.
func (s *countingTable) take() map[countedCall]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[countedCall]int{}
	return calls
}

// count counts a call, and reports whether it is answered.
func (s *countingTable) count(table, kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[countedCall{table, kind}]++
	return time.Now().After(s.refusedUntil)
}

// refuse lets all calls fail for some time, also those that wait for a change.
func (s *countingTable) refuse(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedUntil = time.Now().Add(d)
	s.notify()
}

func (s *countingTable) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().After(s.refusedUntil)
}

// put writes a row as operators do. An empty value removes it.
func (s *countingTable) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := platform.Row{Table: table, Key: key, Version: s.version, Removed: value == ""}
	if !row.Removed {
		row.Value = []byte(value)
	}
	s.set(row)
	s.notify()
}

// set stores a row. The lock must be held.
func (s *countingTable) set(row platform.Row) {
	if s.rows[row.Table] == nil {
		s.rows[row.Table] = map[string]platform.Row{}
	}
	s.rows[row.Table][row.Partition+"/"+row.Key] = row
}

// notify wakes the feeds. The lock must be held.
func (s *countingTable) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tableRequest is a call to the table service in the encoding of countingCodec.
type tableRequest struct {
	Scan  platform.Scan
	Get   string
	After int64
	Wait  time.Duration
	Tx    platform.Transaction
}

func (s *countingTable) page(table string, keep func(platform.Row) bool) (platform.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Version: s.version, ClockMillis: time.Since(s.started).Milliseconds()}
	for _, row := range s.rows[table] {
		if keep(row) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return page, s.changed
}

func (s *countingTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/")
	if !s.count(request.name(), kind) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var page platform.Page
	switch table := request.Scan.Table; kind {
	case "get":
		page, _ = s.page(table, func(row platform.Row) bool { return row.Key == request.Get && !row.Removed })
	case "scan":
		page, _ = s.page(table, func(row platform.Row) bool {
			return row.Partition == request.Scan.Partition && strings.HasPrefix(row.Key, request.Scan.Prefix) && !row.Removed
		})
	case "feed":
		page = s.feed(r.Context(), request)
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	case "commit":
		s.commit(w, request)
		return
	}
	_ = json.NewEncoder(w).Encode(page)
}

// name returns the table that is read, or the table or the kind of the row that is written.
func (r *tableRequest) name() string {
	if len(r.Tx.Writes) == 0 {
		return r.Scan.Table
	}
	if write := r.Tx.Writes[0]; write.Table != platform.SharedTable {
		return write.Table
	}
	name, _, _ := strings.Cut(r.Tx.Writes[0].Key, "/")
	return name
}

func (s *countingTable) feed(ctx context.Context, request tableRequest) platform.Page {
	end := time.Now().Add(request.Wait)
	for !s.refuses() {
		// The answer states the clock at its own time, not at that of the call.
		page, changed := s.page(request.Scan.Table, func(row platform.Row) bool { return row.Version > request.After })
		if len(page.Rows) > 0 || !time.Now().Before(end) {
			return page
		}
		select {
		case <-ctx.Done():
			return page
		case <-time.After(time.Until(end)):
		case <-changed:
		}
	}
	return platform.Page{}
}

func (s *countingTable) commit(w http.ResponseWriter, request tableRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx := request.Tx
	for _, c := range tx.Conditions {
		if now := s.rows[c.Table]["/"+c.Key]; now.Version != c.Version {
			s.calls[countedCall{request.name(), "lost"}]++
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(platform.ConflictError{Table: c.Table, Key: c.Key, Wanted: c.Version, Current: now.Version})
			return
		}
	}
	s.version++
	for _, write := range tx.Writes {
		s.set(platform.Row{Table: write.Table, Partition: write.Partition, Key: write.Key, Version: s.version, Value: write.Value, Removed: write.Delete})
	}
	s.notify()
	_ = json.NewEncoder(w).Encode(s.version)
}

// countingCodec is the encoding of a countingTable.
type countingCodec struct{ platform.StandinCodec }

func (countingCodec) Get(table, key string) platform.Call {
	return platform.Call{Method: http.MethodPost, Path: "/get", Body: tableRequest{Scan: platform.Scan{Table: table}, Get: key}}
}

func (countingCodec) Scan(s platform.Scan) platform.Call {
	return platform.Call{Method: http.MethodPost, Path: "/scan", Body: tableRequest{Scan: s}}
}

func (countingCodec) Feed(table string, after int64, wait time.Duration) platform.Call {
	return platform.Call{Method: http.MethodPost, Path: "/feed", Body: tableRequest{Scan: platform.Scan{Table: table}, After: after, Wait: wait}}
}

func (countingCodec) Commit(tx platform.Transaction) platform.Call {
	return platform.Call{Method: http.MethodPost, Path: "/commit", Body: tableRequest{Tx: tx}}
}

func (countingCodec) DecodePage(status int, body []byte) (platform.Page, error) {
	var page platform.Page
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		return page, fmt.Errorf("%w: status %d", platform.ErrUnavailable, status)
	}
	return page, nil
}

func (c countingCodec) DecodeCommit(status int, body []byte, tx platform.Transaction) (int64, error) {
	if status != http.StatusOK {
		return c.StandinCodec.DecodeCommit(status, body, tx)
	}
	var version int64
	return version, json.Unmarshal(body, &version)
}

// callGroup is a group of hosts in one process, with a table service that counts their calls.
type callGroup struct {
	table *countingTable
	// delay is the time that a call to another host takes, besides that of its bytes on the links.
	delay time.Duration
	// linkRate is the rate of the link of each host in bytes per second, 0 for no limit.
	linkRate float64
	// wrap returns the transport of a host. It may be nil.
	wrap func(host string, transport http.RoundTripper) http.RoundTripper

	mu    sync.Mutex
	hosts map[string]*callHost
	rng   *rand.Rand
}

// callHost is one process of a host.
type callHost struct {
	*RoutedHost

	group   *callGroup
	handler http.Handler
	stop    func()
	// ended is set once the host has been stopped, alone while it reaches no other host, and rowless
	// while it gets no rows from others. They are guarded by group.mu.
	ended, alone, rowless bool
	// sends and receives are the two directions of the host's link.
	sends, receives link
}

// RoundTrip carries the calls of the host.
func (h *callHost) RoundTrip(r *http.Request) (*http.Response, error) {
	g, delay := h.group, tableDelay
	var handler http.Handler = g.table
	var sender *link
	g.mu.Lock()
	ended := h.ended
	if r.URL.Host != "table" {
		delay = g.delay
		to := g.hosts[r.URL.Host]
		rowless := h.rowless && strings.HasSuffix(r.URL.Path, "/Rows")
		if ended = ended || rowless || h.alone || to == nil || to.ended || to.alone; !ended {
			handler, sender = to.handler, &to.sends
		}
	}
	g.mu.Unlock()
	if ended {
		return nil, errors.New("host can't be reached")
	}
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	inner := r.Clone(r.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RequestURI = r.URL.RequestURI()
	if err := clock.Sleep(r.Context(), clock.System{}, delay/2); err != nil {
		return nil, err
	}
	if g.linkRate > 0 {
		response, err := h.answer(handler, inner, sender)
		if late := clock.Sleep(r.Context(), clock.System{}, delay/2); late != nil {
			return nil, late
		}
		return response, err
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, inner)
	if err := clock.Sleep(r.Context(), clock.System{}, delay/2); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// callTranslator decodes rows of the tests.
type callTranslator struct{}

func (callTranslator) Config(row platform.Row) (*routing.Config, error) {
	if row.Key != "config" || row.Removed {
		return nil, nil //nolint:nilnil // Any other row is not an error.
	}
	c := &routing.Config{}
	err := json.Unmarshal(row.Value, c)
	c.Index()
	return c, err
}

func (callTranslator) Version(row platform.Row) (model string, version int64, err error) {
	model, ok := strings.CutPrefix(row.Key, "version/")
	if !ok {
		return "", 0, nil
	}
	return model, version, json.Unmarshal(row.Value, &version)
}

func (callTranslator) Evacuation(platform.Row) string { return "" }

func (callTranslator) Target(row platform.Row) (t fleet.Target, err error) {
	return t, json.Unmarshal(row.Value, &t)
}

// callOrders executes orders at once.
type callOrders struct{ table *countingTable }

func (o callOrders) target(id string) (t fleet.Target) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	_ = json.Unmarshal(o.table.rows[targetTable]["/"+id].Value, &t)
	return t
}

func (o callOrders) State(_ context.Context, t fleet.Target) (rollout.TargetState, error) {
	return rollout.TargetState{Versions: o.target(t.ID).Versions}, nil
}

func (o callOrders) OrderWeights(_ context.Context, order rollout.Order, _ string, _ int64) error {
	time.AfterFunc(2*time.Second, func() {
		t := o.target(order.Target.ID)
		t.Versions = map[string]int64{order.Model: order.Version}
		o.table.putTarget(t)
	})
	return nil
}

func (s *countingTable) putTarget(t fleet.Target) {
	value, _ := json.Marshal(t) // Strings and numbers always encode.
	s.put(targetTable, t.ID, string(value))
}

// start starts a host.
func (g *callGroup) start(i int, incarnation int64) {
	name := fmt.Sprintf("host-%02d", i)
	cfg := config.DefaultRouted()
	cfg.Host, cfg.FailureDomain = name, fmt.Sprint("zone-", i%3)
	cfg.Table.URL, cfg.Peers.Listen = "http://table", name
	h := &callHost{group: g}
	quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	var transport http.RoundTripper = h
	if g.wrap != nil {
		transport = g.wrap(name, h)
	}
	h.RoutedHost = &RoutedHost{
		Config: cfg, Clock: clock.System{}, Steady: clock.System{}, Log: quiet, Codec: countingCodec{}, Transport: transport, Translator: callTranslator{},
		OperatorTable: operatorTable, TargetTable: targetTable, Orders: callOrders{g.table},
	}
	h.build()
	h.copies = h.buildFollowers()
	h.RoutedHost.group.Tables = h.copies
	h.handler = h.RoutedHost.group.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	group := h.RoutedHost.group
	tasks := []func(context.Context) error{h.ledgerWriter.Run, h.leader.Run, h.recorder.Run, h.builds.Run, h.hosts.Run, group.Run, h.expire}
	for _, f := range h.copies {
		tasks = append(tasks, f.Run)
	}
	for _, task := range tasks {
		running.Go(func() { _ = task(ctx) })
	}
	h.stop = func() {
		g.mu.Lock()
		h.ended = true
		g.mu.Unlock()
		cancel()
		running.Wait()
	}
	g.mu.Lock()
	g.hosts[name] = h
	g.mu.Unlock()
}

// serve records n requests of each host in a second.
func (g *callGroup) serve(d time.Duration, n int) {
	const step = 100 * time.Millisecond
	for end, id := time.Now().Add(d), 0; time.Now().Before(end); time.Sleep(step) {
		for _, h := range g.live() {
			for range n / 10 {
				id++
				h.ledgerWriter.Add(ledger.Row{RequestID: fmt.Sprint(h.Config.Host, id)})
				h.builds.Begin("loom", "b1", fmt.Sprint(h.Config.Host, id))
			}
		}
	}
}

// logCalls logs the calls of a phase and returns their number.
func logCalls(t *testing.T, phase string, calls map[countedCall]int) (sum int) {
	var kinds []string
	for call, n := range calls {
		kinds = append(kinds, fmt.Sprintf("%s %s %d", call.table, call.kind, n))
		if call.kind != "lost" {
			sum += n
		}
	}
	slices.Sort(kinds)
	t.Logf("%s: %d calls: %s", phase, sum, strings.Join(kinds, ", "))
	return sum
}

// phase lets each host record n requests in a second, and fails if all make more calls than most, or
// if more than mostLost transactions of them are in vain.
func (g *callGroup) phase(t *testing.T, name string, d time.Duration, n, most, mostLost int) {
	t.Helper()
	g.serve(d, n)
	calls := g.table.take()
	if sum := logCalls(t, name, calls); sum > most {
		t.Errorf("%s: %d calls to the table service in %v, want at most %d", name, sum, d, most)
	}
	lost := 0
	for call, n := range calls {
		if call.kind == "lost" {
			lost += n
		}
	}
	if lost > mostLost {
		t.Errorf("%s: %d transactions lost against others, want at most %d", name, lost, mostLost)
	}
}

// startAll starts hosts at random times within 2 s.
func (g *callGroup) startAll(hosts int, incarnation int64) {
	for i := range hosts {
		time.AfterFunc(time.Duration(g.rng.IntN(2000))*time.Millisecond, func() { g.start(i, incarnation) })
	}
}

// stopReaders kills the hosts that read the tables for the others.
func (g *callGroup) stopReaders() (n int) {
	for _, h := range g.live() {
		if h.RoutedHost.group.ReaderRank() < h.Config.Table.Readers {
			h.stop()
			n++
		}
	}
	return n
}

// cutOff lets the first n live hosts reach no other host.
func (g *callGroup) cutOff(n int) {
	live := g.live()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, h := range live {
		h.alone = i < n
	}
}

// refuseRows lets n random live hosts get no rows from other hosts.
func (g *callGroup) refuseRows(n int) {
	live := g.live()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for i, h := range live {
		h.rowless = i < n
	}
}

// live returns the hosts that have not been stopped.
func (g *callGroup) live() (hosts []*callHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.hosts {
		if !h.ended {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// configure changes the configuration, and fails if it isn't in force on all hosts in time.
func (g *callGroup) configure(t *testing.T, version int64) {
	g.configureAs(t, version, fmt.Sprintf(`{"Version":%d}`, version))
}

// configureAs is like configure, with the value of the row.
func (g *callGroup) configureAs(t *testing.T, version int64, value string) {
	g.table.put(operatorTable, "config", value)
	within := config.DefaultRouted().Table.ChangeWithin.Duration
	time.AfterFunc(within, func() {
		var late []string
		for _, h := range g.live() {
			if cfg := h.gateway.Routes(); cfg == nil || cfg.Version < version {
				late = append(late, h.Config.Host)
			}
		}
		if len(late) > 0 {
			t.Errorf("configuration %d is not in force after %v on %q", version, within, late)
		}
	})
}

// envNumber returns the value of an environment variable, usual if it is not set.
func envNumber(t *testing.T, name string, usual int) int {
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// removeTarget removes a target from the list, and fails if a host still uses it after leaveWithin.
func (g *callGroup) removeTarget(t *testing.T, id string) {
	const leaveWithin = 3 * time.Second
	g.table.put(targetTable, id, "")
	time.AfterFunc(leaveWithin, func() {
		var late []string
		for _, h := range g.live() {
			if _, listed := h.fleet.Find(id); listed {
				late = append(late, h.Config.Host)
			}
		}
		if len(late) > 0 {
			t.Errorf("target %s is still used %v after it left on %q", id, leaveWithin, late)
		}
	})
}

// Operators pay for each call to the table service. Hosts of a large group made most calls of a day when
// they started, before they knew each other, and whenever news took longer than usual from host to host,
// since each then read the tables itself. SASSAFRASPLANK_CALLS_HOSTS and SASSAFRASPLANK_CALLS_LINK_MS set
// other numbers of hosts and other times that a call between two hosts takes.
func TestLargeGroupMakesFewTableCalls(t *testing.T) {
	hosts := envNumber(t, "SASSAFRASPLANK_CALLS_HOSTS", 48)
	delay := time.Duration(envNumber(t, "SASSAFRASPLANK_CALLS_LINK_MS", 100)) * time.Millisecond
	// reads is the number of calls a second of the readers while nothing changes, and a half.
	const reads = 6
	bubble.Test(t, func(t *testing.T) {
		g := &callGroup{table: newCountingTable(), delay: delay, hosts: map[string]*callHost{}, rng: rand.New(rand.NewPCG(1, 1))}
		g.table.put(operatorTable, "config", `{"Version":1}`)
		g.table.put(operatorTable, "version/m", "1")
		for i := range 60 {
			g.table.putTarget(fleet.Target{ID: fmt.Sprint("e", i), Service: "loom", Build: "b1", Versions: map[string]int64{"m": 1}, Started: 1})
		}
		for i := range 4 {
			g.table.putTarget(fleet.Target{ID: fmt.Sprint("p", i), Service: "docks", Build: "b1", Started: 1})
		}
		g.startAll(hosts, 1)
		g.phase(t, "start", 4*time.Second, 0, 5*hosts+100, 1)
		g.phase(t, "idle", 10*time.Second, 0, 10*reads, 0)
		g.phase(t, "requests", 10*time.Second, 10, 10*reads+hosts, 0)
		for version := range int64(5) {
			g.configure(t, 2+version)
			time.Sleep(300 * time.Millisecond)
		}
		g.phase(t, "changes", 4*time.Second, 0, 10*reads+hosts, 0)
		g.table.put(operatorTable, "version/m", "2")
		g.phase(t, "swap", 10*time.Second, 0, 40*reads+hosts, 5)
		g.table.refuse(5 * time.Second)
		time.AfterFunc(5200*time.Millisecond, func() {
			g.removeTarget(t, "p3")
			g.configure(t, 8)
		})
		g.phase(t, "outage", 9*time.Second, 10, 14*hosts, 5)
		g.cutOff(hosts / 3)
		for version := range int64(5) {
			g.configure(t, 10+version)
			g.removeTarget(t, fmt.Sprint("e", version))
			g.phase(t, "hosts without others", 700*time.Millisecond, 0, 8*hosts, 0)
		}
		g.cutOff(0)
		time.Sleep(5 * time.Second)
		g.table.take()
		t.Logf("%d readers are killed", g.stopReaders())
		g.configure(t, 20)
		// The copies of what these hosts wrote while they were cut off are written in vain.
		g.phase(t, "readers lost", 8*time.Second, 0, 8*reads+4*hosts, hosts)
		for _, h := range g.live() {
			h.stop()
		}
		g.startAll(hosts, 2)
		g.phase(t, "restart", 4*time.Second, 0, 4*hosts+hosts/2, 1)
		for _, h := range g.live() {
			h.stop()
		}
	})
}

// Readers whose calls ended at the same time left the other hosts without news for as long as a call waits.
func TestCallsOfReadersEndInTurns(t *testing.T) {
	const period = 1500 * time.Millisecond
	for _, c := range []struct{ now, first, want time.Duration }{
		{0, 0, period},
		{0, 500 * time.Millisecond, 500 * time.Millisecond},
		{7 * period, time.Second, time.Second},
		{7*period + 1200*time.Millisecond, time.Second, 1300 * time.Millisecond},
		{time.Second - time.Millisecond, time.Second, period}, // The call before ended a little early.
		{time.Second + time.Millisecond, time.Second, period - time.Millisecond},
	} {
		if got := untilTurn(c.now, c.first, period); got != c.want {
			t.Errorf("at %v, turns from %v: got %v, want %v", c.now, c.first, got, c.want)
		}
	}
}
