package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	operatorTable, targetTable = "op", "servers"
	// tableReaderCount is the default of routed hosts, and earlierReaderCount that of earlier builds.
	// contactMaxAge is half of changeWithin, as for routed hosts.
	tableReaderCount   = 3
	earlierReaderCount = 5
	contactMaxAge      = time.Second
	// changeWithin is the time in which each host that can learn of a change must know it, and
	// inTouchAfter the time after which it can once it has started or its links work again.
	changeWithin = 2 * time.Second
	inTouchAfter = 3 * time.Second
)

// changingTable is a table service with all its rows in one history.
type changingTable struct {
	mu      sync.Mutex
	version int64
	rows    map[string]map[string]platform.Row
}

func (c *changingTable) put(table, key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	row := platform.Row{Table: table, Key: key, Version: c.version, Value: []byte(value), Removed: value == ""}
	if c.rows[table] == nil {
		c.rows[table] = map[string]platform.Row{}
	}
	c.rows[table][key] = row
}

func (c *changingTable) since(table string, after int64, removed bool) platform.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := platform.Page{Version: c.version}
	for _, row := range c.rows[table] {
		if row.Version > after && (removed || !row.Removed) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

// rowsNetwork connects hosts of two builds and the table service in one process.
type rowsNetwork struct {
	table *changingTable
	wire  *earlierWire

	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*rowsHost
	// relays counts the answers with rows by the builds of the asked host and the one that asks, and
	// those to hosts that don't reach the table service.
	relays map[string]int
}

// delay lets an answer arrive late, so that a later one may overtake it.
func (n *rowsNetwork) delay(ctx context.Context) error {
	n.mu.Lock()
	d := time.Duration(n.rng.IntN(20)) * time.Millisecond
	if n.rng.IntN(10) == 0 {
		d *= 10
	}
	n.mu.Unlock()
	return clock.Sleep(ctx, clock.System{}, d)
}

// rowsTransport carries the calls of one host.
type rowsTransport struct{ from *rowsHost }

func (t rowsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	n := t.from.network
	n.mu.Lock()
	to := n.hosts[r.URL.Host]
	lost := t.from.cut || to.cut || t.from.ended || to.ended
	n.mu.Unlock()
	if lost {
		return nil, errors.New("host can't be reached")
	}
	response, err := n.wire.call(to.handler, r, to.earlier || t.from.earlier)
	if late := n.delay(r.Context()); late != nil {
		return nil, late
	}
	if err == nil && strings.HasSuffix(r.URL.Path, "/Rows") && response.StatusCode == http.StatusOK {
		n.mu.Lock()
		n.relays[to.build()+" to "+t.from.build()]++
		if t.from.unserved {
			n.relays["to hosts without the table service"]++
		}
		n.mu.Unlock()
	}
	return response, err
}

// rowsHost is a host that follows the configuration and the list of targets. It is the local side
// of its group.
type rowsHost struct {
	environment

	network *rowsNetwork
	earlier bool
	group   *Group
	handler http.Handler
	copies  map[string]rowsCopy
	view    *fleet.View
	stop    func()
	// ended, cut and unserved are set while the host has ended, while it reaches neither hosts nor
	// the table service, and while it doesn't reach the service. inTouchSince is when it last
	// started or reached both again. They are guarded by network.mu.
	ended, cut, unserved bool
	inTouchSince         time.Time

	mu     sync.Mutex
	config int64
	// usable contains the usable processes of targets, gone those that were and no longer are,
	// and said those that told this host that they leave.
	usable, gone map[LeavingTarget]bool
	said         []LeavingTarget
	faults       []string
}

// rowsCopy is a copy of a table.
type rowsCopy interface {
	Run(ctx context.Context) error
	Newest() platform.Position
	RowsAfter(after platform.Position) (platform.Page, bool)
}

func (h *rowsHost) build() string {
	return map[bool]string{true: "earlier", false: "present"}[h.earlier]
}

// States returns the states of the copies. Hosts of an earlier build state no ages.
func (h *rowsHost) States() map[string]platform.CopyState {
	states := map[string]platform.CopyState{}
	for table, c := range h.copies {
		states[table] = platform.CopyState{Position: c.Newest()}
		if f, ok := c.(*platform.Follower); ok {
			states[table] = f.State()
		}
	}
	return states
}

func (h *rowsHost) Confirm(table string, p platform.Position, at time.Time) {
	if f, ok := h.copies[table].(*platform.Follower); ok {
		f.Confirm(p, at)
	}
}

func (h *rowsHost) RowsAfter(table string, after platform.Position) (platform.Page, bool) {
	return h.copies[table].RowsAfter(after)
}

func (h *rowsHost) PeerReport() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Report{Leaving: slices.Clone(h.said)}
}

func (h *rowsHost) MergeLeaving(targets []LeavingTarget) {
	for _, t := range targets {
		if h.view.MarkLeaving(t.Target, t.Started) {
			h.mu.Lock()
			h.said = append(h.said, t)
			h.mu.Unlock()
		}
	}
	h.check()
}

func (h *rowsHost) applyOperators(rows []platform.Row, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		var version int64
		if err := json.Unmarshal(row.Value, &version); err != nil || version < h.config {
			h.faults = append(h.faults, fmt.Sprintf("configuration %d (error %v) after %d", version, err, h.config))
		}
		h.config = max(h.config, version)
	}
}

// targetRow is the value of a row of the list of targets.
type targetRow struct {
	Started int64 `json:"born"`
	Leaving bool  `json:"leaving"`
}

func (h *rowsHost) applyTargets(rows []platform.Row, full bool) {
	var listed []fleet.Target
	for _, row := range rows {
		var value targetRow
		if row.Removed || json.Unmarshal(row.Value, &value) != nil {
			h.view.Remove(time.Now(), row.Key)
			continue
		}
		t := fleet.Target{ID: row.Key, Started: value.Started, Leaving: value.Leaving}
		if full {
			listed = append(listed, t)
			continue
		}
		h.view.Put(t)
	}
	if full {
		h.view.Replace(time.Now(), listed)
	}
	h.check()
}

// check records processes of targets that are usable again.
func (h *rowsHost) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := map[LeavingTarget]bool{}
	for _, t := range h.view.Targets() {
		if process := (LeavingTarget{t.ID, t.Started}); !t.Leaving {
			usable[process] = true
			if h.gone[process] {
				h.faults = append(h.faults, fmt.Sprintf("target %s of %d is usable again", t.ID, t.Started))
			}
		}
	}
	for process := range h.usable {
		if !usable[process] {
			h.gone[process] = true
		}
	}
	h.usable = usable
}

// readsTables reports whether a host of an earlier build reads the tables from the service.
func (h *rowsHost) readsTables() bool {
	age, known := h.group.LatestContactAge()
	return !known || age > contactMaxAge || h.group.ReadsTables(earlierReaderCount)
}

// Page reads a table from the service.
func (h *rowsHost) Page(_ context.Context, s platform.Scan) (platform.Page, error) {
	if !h.reachesService() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return h.network.table.since(s.Table, 0, false), nil
}

// Feed reads the changes of a table from the service.
func (h *rowsHost) Feed(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	for end := time.Now().Add(wait); ; {
		if !h.reachesService() {
			return platform.Page{}, platform.ErrUnavailable
		}
		page := h.network.table.since(table, after, true)
		if len(page.Rows) > 0 || !time.Now().Before(end) || clock.Sleep(ctx, clock.System{}, 20*time.Millisecond) != nil {
			return page, h.network.delay(ctx)
		}
	}
}

func (h *rowsHost) reachesService() bool {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return !h.cut && !h.unserved
}

// start starts a host that knows nothing, in the place of the one with its name.
func (n *rowsNetwork) start(name string, incarnation int64, earlier bool, hosts []platform.Host) {
	h := &rowsHost{network: n, earlier: earlier, view: fleet.NewView(), inTouchSince: time.Now(), gone: map[LeavingTarget]bool{}}
	h.hosts = hosts
	h.view.LeaveTimeout = changeWithin
	quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	h.group = &Group{
		Self:   membership.Member{Name: name, URL: "http://" + name, Incarnation: incarnation, Build: "v2", Protocol: Protocol},
		Params: membership.Params{SuspicionTimeout: 5 * time.Second, ForgetAfter: time.Minute}, Interval: 100 * time.Millisecond, FanOut: 1,
		HostList: h, Clock: clock.System{}, Log: quiet, HTTP: &http.Client{Transport: rowsTransport{h}}, Local: h, Tables: h,
		Ready: func() bool { return true }, Readers: tableReaderCount, AskReaderAfter: contactMaxAge / 2,
	}
	apply := map[string]func([]platform.Row, bool){operatorTable: h.applyOperators, targetTable: h.applyTargets}
	h.copies = map[string]rowsCopy{}
	for table, pause := range map[string]time.Duration{operatorTable: 0, targetTable: 500 * time.Millisecond} {
		if earlier {
			h.copies[table] = &earlierCopy{host: h, table: table, pause: pause, apply: apply[table]}
			continue
		}
		f := &platform.Follower{
			Client: h, Relay: h.group, Table: table, Wait: 1500 * time.Millisecond, Pause: pause,
			ReadsService: func() bool { return h.group.ReadsTables(tableReaderCount) },
			ReadDue: func(age, behind time.Duration) bool {
				return h.group.ReadDue(tableReaderCount, age, behind, contactMaxAge)
			},
			Clock: clock.System{}, Apply: apply[table], Log: quiet,
		}
		if table == targetTable {
			f.OnUnavailable, f.OnAvailable = h.view.TableUnavailable, func() { h.view.TableAvailable(time.Now()) }
		}
		h.copies[table] = f
	}
	h.group.Contact = h.copies[operatorTable].(ContactProvider)
	h.group.Init()
	h.handler = h.group.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = h.group.Run(ctx) })
	running.Go(func() {
		clock.Every(ctx, clock.System{}, 200*time.Millisecond, func(context.Context) { h.view.Expire(time.Now()); h.check() })
	})
	for _, c := range h.copies {
		running.Go(func() { _ = c.Run(ctx) })
	}
	h.stop = func() { cancel(); running.Wait() }
	n.mu.Lock()
	n.hosts[name] = h
	n.mu.Unlock()
}
