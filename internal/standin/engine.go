package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	// maxHistory is the number of load reports, and of cache events, that an engine
	// remembers.
	maxHistory = 4096
	// kvRepeats is how many times the key of a block is repeated to form the artificial
	// data of the cached block.
	kvRepeats = 4
)

// EngineFaults are the faults of a model engine.
type EngineFaults struct {
	// SlowFactor multiplies the duration of prefill and of each token. Values below 1
	// have no effect.
	SlowFactor float64 `json:"slowFactor"`
	// Stall stops the output of all tokens until it is cleared.
	Stall bool `json:"stall"`
	// CrashMarker is a text that crashes the engine when a prompt contains it.
	CrashMarker string `json:"crashMarker"`
	// CrashAfterTokens crashes the engine instead of generating the n-th token from
	// now, counted over all runs. Zero means no crash.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// DropEventEvery loses every n-th cache event.
	DropEventEvery int `json:"dropEventEvery"`
	// Leaving makes the engine refuse new runs and finish the running ones.
	Leaving bool `json:"leaving"`
	// WrongAttempt marks each event with the number of another attempt.
	WrongAttempt bool `json:"wrongAttempt"`
}

// Engine stands in for a model engine. It has a batch of slots, serial prefill, a
// limited prefix cache, delayed load reports, and delayed cache events with gaps.
type Engine struct {
	Name  string
	Clock clock.Clock
	Slots int
	// PrefillRate is in tokens per second, TokenGap the time between two tokens.
	PrefillRate float64
	TokenGap    time.Duration
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// LoadLag and EventLag delay load reports and cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// WeightLoadTime is how long loading weights takes unless too many engines load
	// at the same time.
	WeightLoadTime time.Duration
	// RestartAfter is how long the engine is down after a crash.
	RestartAfter  time.Duration
	ChecksFencing bool
	Client        *http.Client
	Weights       *WeightStore

	mu          sync.Mutex
	faults      EngineFaults
	incarnation int64
	versions    map[string]bool
	// fencingToken is the highest fencing token so far.
	fencingToken int64
	running      int
	waiting      []*waitingRun
	// prefillEnd is when the prefill of all runs so far ends.
	prefillEnd time.Time
	runs       map[string]context.CancelFunc
	cache      map[string][]byte
	// cacheOrder lists the keys of cache, the least recently used one first.
	cacheOrder []string
	events     []timedEvent
	sequence   int64
	reports    []timedReport
	finished   int
	crashes    int
	listener   listener
}

// waitingRun is a run that waits for a slot.
type waitingRun struct {
	request *target.RunRequest
	ready   chan struct{}
}

type timedEvent struct {
	at    time.Time
	event target.CacheEvent
}

type timedReport struct {
	at     time.Time
	report target.LoadReport
}

// Start resets the engine, loads the weight versions and listens at addr, or at the
// previous address if addr is empty.
func (e *Engine) Start(addr string, versions ...string) error {
	e.mu.Lock()
	e.reset()
	for _, version := range versions {
		e.versions[version] = true
	}
	e.listener.handler = e.handler()
	e.mu.Unlock()
	return e.listener.start(addr)
}

func (e *Engine) reset() {
	e.incarnation++
	e.versions = map[string]bool{}
	e.runs = map[string]context.CancelFunc{}
	e.cache = map[string][]byte{}
	e.cacheOrder = nil
	e.events = nil
	e.waiting = nil
	e.running = 0
	e.reports = nil
	e.prefillEnd = time.Time{}
}

// URL returns the URL of the engine.
func (e *Engine) URL() string { return e.listener.url() }

// Stop closes all connections and stops listening.
func (e *Engine) Stop() { e.listener.stop() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.recordLoad()
}

// Finished returns the number of complete answers.
func (e *Engine) Finished() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// crash closes all connections and restarts the engine after RestartAfter, with an
// empty cache, the same weight versions, and no fault but CrashMarker. It doesn't
// return, but aborts the request from which it is called.
func (e *Engine) crash() {
	e.mu.Lock()
	versions := slices.Collect(maps.Keys(e.versions))
	e.crashes++
	e.faults = EngineFaults{CrashMarker: e.faults.CrashMarker}
	e.mu.Unlock()
	go func() {
		e.listener.stop()
		<-e.Clock.After(e.RestartAfter)
		if err := e.Start("", versions...); err != nil {
			panic(err)
		}
	}()
	panic(http.ErrAbortHandler)
}

func (e *Engine) handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", e.serveRun)
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cacheEvents", e.serveCacheEvents)
	mux.HandleFunc("POST /versions", e.serveVersion)
	mux.HandleFunc("POST /blocks/export", e.serveExport)
	mux.HandleFunc("POST /blocks/import", e.serveImport)
	return mux
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, target.RefusalError{Code: code, Message: message, NotRun: true})
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var run target.RunRequest
	if !readJSON(w, r, &run) {
		return
	}
	if !e.accept(w, &run) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := runKey(run.RequestID, run.Attempt)
	e.mu.Lock()
	e.runs[id] = cancel
	e.mu.Unlock()
	defer e.removeRun(id)
	incarnation, acquired := e.acquireSlot(ctx, &run)
	if !acquired {
		return
	}
	defer e.releaseSlot(incarnation)
	reused, wait := e.prefill(&run)
	if clock.Sleep(ctx, e.Clock, wait) != nil {
		return
	}
	e.cacheBlocks(run.BlockKeys)
	e.generate(ctx, w, &run, reused)
}

func runKey(id string, attempt int) string { return id + "/" + strconv.Itoa(attempt) }

func (e *Engine) removeRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

func (e *Engine) accept(w http.ResponseWriter, run *target.RunRequest) bool {
	e.mu.Lock()
	leaving := e.faults.Leaving
	loaded := e.versions[run.Version]
	marker := e.faults.CrashMarker
	e.mu.Unlock()
	if marker != "" && strings.Contains(run.Prompt, marker) {
		e.crash()
	}
	if leaving {
		refuse(w, http.StatusServiceUnavailable, target.CodeLeaving, e.Name+" is leaving")
		return false
	}
	if !loaded {
		refuse(w, http.StatusConflict, target.CodeVersionNotLoaded, run.Version+" is not loaded")
		return false
	}
	return true
}

// acquireSlot waits for a slot. Runs of higher priority get one first. It returns
// false if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, run *target.RunRequest) (incarnation int64, acquired bool) {
	e.mu.Lock()
	incarnation = e.incarnation
	if e.running < e.Slots && len(e.waiting) == 0 {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return incarnation, true
	}
	entry := &waitingRun{request: run, ready: make(chan struct{})}
	e.waiting = append(e.waiting, entry)
	slices.SortStableFunc(e.waiting, func(a, b *waitingRun) int { return b.request.Priority - a.request.Priority })
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-entry.ready:
		return incarnation, true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, entry); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return incarnation, false
	}
	e.releaseSlotLocked(incarnation)
	return incarnation, false
}

func (e *Engine) releaseSlot(incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked(incarnation)
}

// releaseSlotLocked frees a slot, unless a restart has already freed all slots.
func (e *Engine) releaseSlotLocked(incarnation int64) {
	if incarnation != e.incarnation {
		return
	}
	e.running--
	if len(e.waiting) > 0 {
		e.running++
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
	}
	e.recordLoad()
}

// prefill reserves the time to compute the uncached part of the prompt and the answer
// tokens that earlier attempts delivered. Prefill is serial, so wait includes the
// prefill of earlier runs.
func (e *Engine) prefill(run *target.RunRequest) (reused int, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range run.BlockKeys {
		if _, cached := e.cache[key]; !cached {
			break
		}
		reused += run.BlockTokens
	}
	tokens := float64(max(1, run.PromptTokens+run.DeliveredTokens-reused))
	duration := time.Duration(tokens / e.PrefillRate * e.slowFactor() * float64(time.Second))
	now := e.Clock.Now()
	start := now
	if e.prefillEnd.After(now) {
		start = e.prefillEnd
	}
	e.prefillEnd = start.Add(duration)
	return reused, e.prefillEnd.Sub(now)
}

func (e *Engine) slowFactor() float64 { return max(1, e.faults.SlowFactor) }

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, run *target.RunRequest, reused int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	flusher, _ := w.(http.Flusher)
	hash := PromptHash(run.Prompt)
	for i := run.DeliveredTokens; i < run.MaxTokens; i++ {
		if !e.waitForToken(ctx) {
			return
		}
		event := target.RunEvent{RequestID: run.RequestID, Attempt: e.attemptOf(run), Index: i}
		event.Text = AnswerToken(hash, run.Version, i)
		if encoder.Encode(event) != nil {
			return
		}
		flusher.Flush()
	}
	last := target.RunEvent{RequestID: run.RequestID, Attempt: e.attemptOf(run), Index: run.MaxTokens, FinishReason: "stop", ReusedTokens: reused}
	_ = encoder.Encode(last)
	e.mu.Lock()
	e.finished++
	e.mu.Unlock()
}

func (e *Engine) attemptOf(run *target.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.WrongAttempt {
		return run.Attempt + 1
	}
	return run.Attempt
}

// waitForToken waits for the duration of one token, and for the end of a stall. It
// crashes the engine at the token that CrashAfterTokens sets, and returns false if ctx
// ends.
func (e *Engine) waitForToken(ctx context.Context) bool {
	e.mu.Lock()
	gap := time.Duration(float64(e.TokenGap) * e.slowFactor())
	crashing := e.faults.CrashAfterTokens == 1
	if e.faults.CrashAfterTokens > 0 {
		e.faults.CrashAfterTokens--
	}
	e.mu.Unlock()
	if crashing {
		e.crash()
	}
	if gap > 0 && clock.Sleep(ctx, e.Clock, gap) != nil {
		return false
	}
	for e.stalled() {
		if clock.Sleep(ctx, e.Clock, 10*time.Millisecond) != nil {
			return false
		}
	}
	return ctx.Err() == nil
}

func (e *Engine) stalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Stall
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request struct {
		RequestID string `json:"requestId"`
		Attempt   int    `json:"attempt"`
	}
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	cancel := e.runs[runKey(request.RequestID, request.Attempt)]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

// recordLoad stores the current load, which is reported after LoadLag.
func (e *Engine) recordLoad() {
	report := target.LoadReport{
		Running:     e.running,
		Waiting:     len(e.waiting),
		Versions:    slices.Sorted(maps.Keys(e.versions)),
		Leaving:     e.faults.Leaving,
		Incarnation: e.incarnation,
	}
	for _, entry := range e.waiting {
		report.WaitingTokens += entry.request.PromptTokens
	}
	e.reports = append(e.reports, timedReport{at: e.Clock.Now(), report: report})
	if len(e.reports) > maxHistory {
		e.reports = e.reports[len(e.reports)-maxHistory:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	visible := e.Clock.Now().Add(-e.LoadLag)
	report := target.LoadReport{Versions: slices.Sorted(maps.Keys(e.versions)), Incarnation: e.incarnation}
	for _, timed := range e.reports {
		if timed.at.After(visible) {
			break
		}
		report = timed.report
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
