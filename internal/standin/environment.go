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

// Environment contains all stand-ins that entry hosts need: the platform, two store
// hosts, four engines with two models, and one plain service.
type Environment struct {
	Clock    clock.Clock
	Platform *Platform
	Engines  []*Engine
	Stores   []*StoreHost
	Docks    *Docks
	Weights  *WeightStore
}

const (
	engineCount = 4
	storeCount  = 2
	engineSlots = 16
	// enginePrefillRate is in tokens per second.
	enginePrefillRate       = 20_000
	engineTokenGap          = 5 * time.Millisecond
	engineCacheBlocks       = 64
	storeLinkBytesPerSecond = 4e9
	storeMemoryBytes        = 64 << 30
	storeDiskBytes          = 512 << 30
)

// NewEnvironment returns an environment that is not started.
func NewEnvironment(c clock.Clock) *Environment {
	env := &Environment{Clock: c, Platform: NewPlatform(c), Docks: &Docks{Clock: c}, Weights: &WeightStore{}}
	for i := range storeCount {
		env.Stores = append(env.Stores, &StoreHost{Name: fmt.Sprintf("store-%d", i+1), Clock: c})
	}
	for i := range engineCount {
		env.Engines = append(env.Engines, &Engine{
			Name:           fmt.Sprintf("engine-%d", i+1),
			Clock:          c,
			Slots:          engineSlots,
			PrefillRate:    enginePrefillRate,
			TokenGap:       engineTokenGap,
			CacheBlocks:    engineCacheBlocks,
			LoadLag:        200 * time.Millisecond,
			EventLag:       200 * time.Millisecond,
			WeightLoadTime: 500 * time.Millisecond,
			RestartAfter:   time.Second,
			ChecksFencing:  i%2 == 0, // Real targets exist with and without this check.
			Weights:        env.Weights,
			Client:         &http.Client{Transport: &http.Transport{}},
		})
	}
	return env
}

// Start starts all stand-ins and writes the initial records. The platform listens
// at addr, the others at free ports of ip. They stop when ctx ends.
func (env *Environment) Start(ctx context.Context, addr, ip string) error {
	for _, s := range env.Stores {
		if err := s.Start(ip + ":0"); err != nil {
			return err
		}
		context.AfterFunc(ctx, s.Stop)
	}
	for _, e := range env.Engines {
		if err := e.Start(ip+":0", "letters-v1", "notes-v1"); err != nil {
			return err
		}
		context.AfterFunc(ctx, e.Stop)
	}
	if err := env.Docks.Start(ip + ":0"); err != nil {
		return err
	}
	context.AfterFunc(ctx, env.Docks.Stop)
	if err := recordstore.Seed(env.Platform.PutRow, env.initialRecords(), env.Clock.Now()); err != nil {
		return err
	}
	mux := env.Platform.Handler()
	mux.HandleFunc("POST /control/{name}", env.serveControl)
	mux.HandleFunc("GET /control/{name}", env.serveState)
	env.Platform.listener.handler = mux
	context.AfterFunc(ctx, env.Platform.listener.stop)
	return env.Platform.listener.start(addr)
}

// Stop closes all connections and waits until all listeners have stopped.
func (env *Environment) Stop() {
	for _, e := range env.Engines {
		e.Stop()
		e.Client.CloseIdleConnections()
	}
	for _, s := range env.Stores {
		s.Stop()
	}
	env.Docks.Stop()
	env.Platform.listener.stop()
}

// PlatformURL returns the URL of the platform.
func (env *Environment) PlatformURL() string { return env.Platform.listener.url() }

// initialRecords returns the records that exist at the start.
func (env *Environment) initialRecords() []record.Record {
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
			Kind: record.TargetService, URL: env.Docks.URL(), FailureDomain: "west", Service: "docks",
		}),
	}
	for i, s := range env.Stores {
		records = append(records, newRecord(record.KindStore, 1, s.Name, record.Store{
			URL: s.URL(), FailureDomain: failureDomain(i), LinkBytesPerSecond: storeLinkBytesPerSecond, MemoryBytes: storeMemoryBytes, DiskBytes: storeDiskBytes,
		}))
	}
	for i, e := range env.Engines {
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

// serveControl sets the faults of one stand-in. With the query parameter power, it
// stops or starts the stand-in instead: power=off, power=on. The platform can't be
// stopped. power=restart restarts all engines, whatever the name.
func (env *Environment) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Query().Get("power") {
	case "off":
		env.setPower(r.PathValue("name"), false)
		return
	case "on":
		env.setPower(r.PathValue("name"), true)
		return
	case "restart":
		for _, e := range env.Engines {
			env.setPower(e.Name, false)
			env.setPower(e.Name, true)
		}
		return
	}
	name := r.PathValue("name")
	switch {
	case name == "platform":
		setFaults(w, r, env.Platform.SetFaults)
	case name == "docks":
		setFaults(w, r, env.Docks.SetFaults)
	case env.engine(name) != nil:
		setFaults(w, r, env.engine(name).SetFaults)
	case env.store(name) != nil:
		setFaults(w, r, env.store(name).SetFaults)
	default:
		http.NotFound(w, r)
	}
}

// setFaults decodes the faults in a request body and passes them to set.
func setFaults[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if readJSON(w, r, &faults) {
		set(faults)
	}
}

func (env *Environment) setPower(name string, on bool) {
	e, s := env.engine(name), env.store(name)
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
		_ = env.Docks.Start("")
	case name == "docks":
		env.Docks.Stop()
	}
}

// State contains the counters that GET /control/{name} returns. Finished and Blocks
// are those of the named stand-in, the others those of all stand-ins.
type State struct {
	Finished int `json:"finished"`
	Bookings int `json:"bookings"`
	Blocks   int `json:"blocks"`
	// Crashes counts the crashes of all engines.
	Crashes int `json:"crashes"`
	// Loads counts the finished weight loads of all engines. LoadsAtOnce is the highest
	// number of concurrent loads.
	Loads       int `json:"loads"`
	LoadsAtOnce int `json:"loadsAtOnce"`
	Reads       int `json:"reads"`
	Commits     int `json:"commits"`
}

func (env *Environment) serveState(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	state := State{Bookings: env.Docks.Bookings()}
	state.Reads, state.Commits = env.Platform.Counts()
	for _, e := range env.Engines {
		state.Crashes += e.Crashes()
	}
	if env.Weights != nil {
		state.Loads, state.LoadsAtOnce = env.Weights.counts()
	}
	if e := env.engine(name); e != nil {
		state.Finished = e.Finished()
	}
	if s := env.store(name); s != nil {
		state.Blocks = s.BlockCount()
	}
	writeJSON(w, http.StatusOK, state)
}

func (env *Environment) engine(name string) *Engine {
	for _, e := range env.Engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func (env *Environment) store(name string) *StoreHost {
	for _, s := range env.Stores {
		if s.Name == name {
			return s
		}
	}
	return nil
}
