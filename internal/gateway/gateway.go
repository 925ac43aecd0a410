// Package gateway carries routed requests from a caller to a target and the
// answer back. It keeps the promises on what may run again, on limits over all
// hosts, and on which weights and cache a request may use.
package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// LedgerWriter counts finished placements.
type LedgerWriter interface {
	Add(row ledger.Row)
}

// Gateway runs requests. The exported fields are set before Init.
type Gateway struct {
	Host          string
	FailureDomain string
	Config        config.Routed
	Clock         clock.Clock
	// Steady also counts while the host is suspended.
	Steady  clock.Clock
	Targets TargetCaller
	Fleet   *fleet.View
	Ledger  LedgerWriter
	Freer   PartFreer
	// Hosts returns the number of live entry hosts; nil stands for few.
	Hosts   func() int
	Log     *log.Logger
	Metrics metrics.Registry

	routes atomic.Pointer[routing.Config]

	mu       sync.Mutex
	rng      *rand.Rand
	board    *placement.Placer
	suspects retry.Suspects
	budgets  map[string]*retry.Budget
	weights  map[string]*weights
	// swapping are the targets that swap their weights or are about to.
	swapping map[string]bool
	// lostInARow is how many times AvoidFor each target was avoided last since it
	// has answered.
	lostInARow map[string]int
	stores     map[string]*cacheStore
	// bytesPerToken and fetchRate, in bytes per second, are those of the engines.
	bytesPerToken, fetchRate float64
	active                   atomic.Int64
}

// Init prepares the decision state. It must be called once.
func (g *Gateway) Init() {
	cfg := g.Config
	g.rng = rand.New(rand.NewPCG(cfg.Placement.Seed, rand.Uint64()))
	g.board = placement.NewPlacer(placement.Params{
		PreferredCount:  cfg.Placement.PreferredCount,
		RandomCount:     cfg.Placement.RandomCount,
		BlockTokens:     cfg.Placement.BlockTokens,
		IndexEntries:    cfg.Placement.IndexEntries,
		LongSlotPercent: cfg.Placement.LongSlotPercent,
		SlowRatio:       cfg.Slowness.SlowRatio,
		ProbeEvery:      cfg.Slowness.ProbeEvery.Duration,
		Seed:            g.rng.Uint64(),
	})
	g.suspects = retry.Suspects{Attempts: cfg.Retries.SuspectAttempts, ExpireAfter: cfg.Retries.SuspectFor.Duration}
	g.budgets = map[string]*retry.Budget{}
	g.weights = map[string]*weights{}
	g.swapping = map[string]bool{}
	g.lostInARow = map[string]int{}
	g.stores = map[string]*cacheStore{}
}

// Routes returns the configuration in force, nil before the first one.
func (g *Gateway) Routes() *routing.Config { return g.routes.Load() }

// SetRoutes puts a configuration into force unless it is older than the present
// one, and reports whether it did.
func (g *Gateway) SetRoutes(c *routing.Config) bool {
	for {
		old := g.routes.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.routes.CompareAndSwap(old, c) {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyTargets(g.Clock.Now())
	return true
}

// Ready reports whether requests can be served: routes and targets are known.
func (g *Gateway) Ready() bool { return g.routes.Load() != nil && g.Fleet.Loaded() }

// Active returns the number of requests being served.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// TargetsChanged brings the board to the state of the fleet.
func (g *Gateway) TargetsChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyTargets(g.Clock.Now())
}

// budget returns the retry budget of a service. The lock must be held.
func (g *Gateway) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		g.budgets[service] = b
	}
	b.Percent = g.Config.Retries.BudgetPercent
	b.Reserve = g.reserve()
	return b
}

const (
	// leastReserve and mostReserve bound the further attempts that a host saves up
	// for a service. With less than one saved, it could never make any.
	leastReserve = 1
	mostReserve  = 3
	// reserveShare is the part of the reserve of all hosts that they use: one in
	// this many. The rest is for hosts that start anew with a full one.
	reserveShare = 2
	// fewestHosts is the number of hosts among which the reserve is shared at
	// least, as a host that starts knows no others.
	fewestHosts = 8
)

// reserve returns the further attempts that this host may save up for a service.
func (g *Gateway) reserve() float64 {
	hosts := fewestHosts
	if g.Hosts != nil {
		hosts = max(hosts, g.Hosts())
	}
	return min(mostReserve, max(leastReserve, g.Config.Retries.Reserve/float64(reserveShare*hosts)))
}

func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(1)
}

func (g *Gateway) measure(name string, d time.Duration) {
	sample := metrics.NewExpDecaySample(histogramSample, histogramAlpha)
	h := g.Metrics.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(sample) })
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// Size and decay of the samples behind latency histograms, as go-metrics
// proposes them for the last five minutes.
const (
	histogramSample = 1028
	histogramAlpha  = 0.015
)
