package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Environment is a whole surrounding for entry hosts: the platform, two store hosts,
// four engines with two models, and one plain service.
type Environment struct {
	Clock    clock.Clock
	Platform *Platform
	Engines  []*Engine
	Stores   []*StoreHost
	Docks    *Docks
	Weights  *WeightStore
}

const (
	worldEngines   = 4
	worldStores    = 2
	engineSlots    = 16
	enginePrefill  = 20_000
	engineTokenGap = 5 * time.Millisecond
	engineCache    = 64
	storeLinkBytes = 4e9
	storeMemory    = 64 << 30
	storeDisk      = 512 << 30
)

// NewEnvironment returns a world that isn't started.
func NewEnvironment(c clock.Clock) *Environment {
	w := &Environment{Clock: c, Platform: NewPlatform(c), Docks: &Docks{Clock: c}, Weights: &WeightStore{}}
	for i := range worldStores {
		w.Stores = append(w.Stores, &StoreHost{Name: fmt.Sprintf("store-%d", i+1), Clock: c})
	}
	for i := range worldEngines {
		w.Engines = append(w.Engines, &Engine{
			Name:          fmt.Sprintf("engine-%d", i+1),
			Clock:         c,
			Slots:         engineSlots,
			PrefillRate:   enginePrefill,
			TokenGap:      engineTokenGap,
			CacheBlocks:   engineCache,
			LoadLag:       200 * time.Millisecond,
			EventLag:      200 * time.Millisecond,
			LoadTime:      500 * time.Millisecond,
			RestartAfter:  time.Second,
			ChecksFencing: i%2 == 0,
			Weights:       w.Weights,
			Client:        &http.Client{Transport: &http.Transport{}},
		})
	}
	return w
}

// Start starts all stand-ins and seeds the records. The platform listens at
// addr, the others at free ports of the same IP number. They stop when ctx
// ends.
func (w *Environment) Start(ctx context.Context, addr, ip string) error {
	for _, s := range w.Stores {
		if err := s.Start(ip + ":0"); err != nil {
			return err
		}
		context.AfterFunc(ctx, s.Stop)
	}
	for _, e := range w.Engines {
		if err := e.Start(ip+":0", "letters-v1", "notes-v1"); err != nil {
			return err
		}
		context.AfterFunc(ctx, e.Stop)
	}
	if err := w.Docks.Start(ip + ":0"); err != nil {
		return err
	}
	context.AfterFunc(ctx, w.Docks.Stop)
	if err := recordstore.Seed(w.Platform.PutRow, w.records(), w.Clock.Now()); err != nil {
		return err
	}
	mux := w.Platform.Handler()
	mux.HandleFunc("POST /control/{name}", w.serveControl)
	mux.HandleFunc("GET /control/{name}", w.serveState)
	w.Platform.listener.handler = mux
	context.AfterFunc(ctx, w.Platform.listener.stop)
	return w.Platform.listener.start(addr)
}

// Stop cuts all connections and waits until every listener has ended.
func (w *Environment) Stop() {
	for _, e := range w.Engines {
		e.Stop()
		e.Client.CloseIdleConnections()
	}
	for _, s := range w.Stores {
		s.Stop()
	}
	w.Docks.Stop()
	w.Platform.listener.stop()
}

// PlatformURL returns where the platform listens.
func (w *Environment) PlatformURL() string { return w.Platform.listener.url() }

// records returns the records that the world begins with.
func (w *Environment) records() []record.Record {
	records := []record.Record{
		newRecord(record.KindClientAccount, 2, "orders", record.ClientAccount{Keys: accountKeys("dev-orders"), Weight: 1}),
		newRecord(record.KindClientAccount, 2, "claims", record.ClientAccount{Keys: accountKeys("dev-claims"), Weight: 1}),
		newRecord(record.KindModel, 1, "letters", record.Model{ContextTokens: 128 << 10}),
		newRecord(record.KindModel, 1, "notes", record.Model{ContextTokens: 32 << 10}),
		newRecord(record.KindVersion, 1, "letters-v1", record.Version{Model: "letters", Weights: "letters/1"}),
		newRecord(record.KindVersion, 1, "notes-v1", record.Version{Model: "notes", Weights: "notes/1"}),
		newRecord(record.KindService, 1, "docks", record.Service{Calls: []record.Call{
			{Method: http.MethodGet, Path: "/appointments", Repeatable: true},
			{Method: http.MethodPost, Path: "/appointments", Repeatable: false},
		}}),
		newRecord(record.KindTarget, 1, "docks-1", record.Target{
			Kind: record.TargetService, URL: w.Docks.URL(), FailureDomain: "west", Service: "docks",
		}),
	}
	for i, s := range w.Stores {
		records = append(records, newRecord(record.KindStore, 1, s.Name, record.Store{
			URL: s.URL(), FailureDomain: failureDomain(i), LinkBytesPerSecond: storeLinkBytes, MemoryBytes: storeMemory, DiskBytes: storeDisk,
		}))
	}
	for i, e := range w.Engines {
		records = append(records, newRecord(record.KindTarget, 1, e.Name, record.Target{
			Kind: record.TargetEngine, URL: e.URL(), FailureDomain: failureDomain(i), Models: []string{"letters", "notes"},
			Slots: e.Slots, PrefillTokensPerSecond: e.PrefillRate, TokenGapMillis: float64(e.TokenGap) / float64(time.Millisecond),
			ChecksFencing: e.ChecksFencing,
		}))
	}
	return append(records,
		newRecord(record.KindRule, 1, "letters", record.Rule{Model: "letters", Version: "letters-v1"}),
		newRecord(record.KindRule, 1, "notes", record.Rule{Model: "notes", Version: "notes-v1"}),
	)
}

func failureDomain(i int) string {
	return []string{"west", "middle", "east"}[i%3]
}

func accountKeys(keys ...string) []record.AccountKey {
	var hashes []record.AccountKey
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		hashes = append(hashes, record.AccountKey{SHA256: hex.EncodeToString(sum[:])})
	}
	return hashes
}

func newRecord(kind record.Kind, schema int, name string, spec any) record.Record {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return record.Record{Kind: kind, Schema: schema, Name: name, Spec: data}
}

// serveControl sets the faults of one stand-in, or stops and starts it.
func (w *Environment) serveControl(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Query().Get("power") {
	case "off":
		w.power(r.PathValue("name"), false)
		return
	case "on":
		w.power(r.PathValue("name"), true)
		return
	case "restart":
		for _, e := range w.Engines {
			w.power(e.Name, false)
			w.power(e.Name, true)
		}
		return
	}
	name := r.PathValue("name")
	switch {
	case name == "platform":
		control(rw, r, w.Platform.SetFaults)
	case name == "docks":
		control(rw, r, w.Docks.SetFaults)
	case w.engine(name) != nil:
		control(rw, r, w.engine(name).SetFaults)
	case w.store(name) != nil:
		control(rw, r, w.store(name).SetFaults)
	default:
		http.NotFound(rw, r)
	}
}

func control[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if readJSON(w, r, &faults) {
		set(faults)
	}
}

func (w *Environment) power(name string, on bool) {
	e, s := w.engine(name), w.store(name)
	switch {
	case e != nil && on:
		_ = e.Start("", "letters-v1", "notes-v1")
	case e != nil:
		e.Stop()
	case s != nil && on:
		_ = s.Start("")
	case s != nil:
		s.Stop()
	case name == "docks" && on:
		_ = w.Docks.Start("")
	case name == "docks":
		w.Docks.Stop()
	}
}

// State counts what one stand-in has done.
type State struct {
	Finished int `json:"finished"`
	Bookings int `json:"bookings"`
	Blocks   int `json:"blocks"`
	// Crashes counts the crashes of all engines.
	Crashes int `json:"crashes"`
	// Loads counts the orders to load weights that all engines carried out, and
	// LoadsAtOnce the most of them at the same time.
	Loads       int `json:"loads"`
	LoadsAtOnce int `json:"loadsAtOnce"`
	Reads       int `json:"reads"`
	Commits     int `json:"commits"`
}

func (w *Environment) serveState(rw http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	state := State{Bookings: w.Docks.Bookings()}
	state.Reads, state.Commits = w.Platform.Counts()
	for _, e := range w.Engines {
		state.Crashes += e.Crashes()
	}
	if w.Weights != nil {
		state.Loads, state.LoadsAtOnce = w.Weights.counts()
	}
	if e := w.engine(name); e != nil {
		state.Finished = e.Finished()
	}
	if s := w.store(name); s != nil {
		state.Blocks = s.BlockCount()
	}
	writeJSON(rw, http.StatusOK, state)
}

func (w *Environment) engine(name string) *Engine {
	for _, e := range w.Engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func (w *Environment) store(name string) *StoreHost {
	for _, s := range w.Stores {
		if s.Name == name {
			return s
		}
	}
	return nil
}
