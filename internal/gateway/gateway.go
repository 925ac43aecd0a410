// Package gateway proxies routed requests to targets and relays their answers.
// It decides which requests may be retried, limits the retries of all hosts
// together, refuses requests that crash targets, and selects the weights and the
// cached prompt parts that a request may use.
package gateway

import (
	"context"
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
	"sassafrasplank.example/sassafrasplank/internal/reachability"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

// LedgerWriter records finished requests.
type LedgerWriter interface {
	Add(row ledger.Row)
	// Full reports whether no more requests should be accepted, because their placements
	// could be lost.
	Full() bool
}

// Gateway serves requests. The exported fields must be set before Init is
// called.
type Gateway struct {
	Host          string
	FailureDomain string
	Config        config.Routed
	Clock         clock.Clock
	// Steady is a clock that also advances while the host is suspended.
	Steady  clock.Clock
	Targets TargetCaller
	Fleet   *fleet.View
	Ledger  LedgerWriter
	Freer   PartFreer
	// Lister reads the lists of stores. It may be nil.
	Lister StoreLister
	// Requested contains the weight versions that operators request.
	Requested *rollout.RequestedVersions
	// ConfigAge returns the time since the time up to which this host knows of every configuration,
	// and false if that isn't known. If it is nil, it never is.
	ConfigAge func() (time.Duration, bool)
	// HostCount returns the number of live entry hosts. If it is nil, few hosts are
	// assumed.
	HostCount func() int
	// HostRank returns the number of other live entry hosts with a higher rendezvous hash for
	// a name. If it is nil, this host is the first one.
	HostRank func(name string) int
	// KnownHosts returns the number of entry hosts known of late, dead or alive, and false while this
	// host can't know the others. KnownRank is like HostRank among them. If they are nil, this host
	// is the only one.
	KnownHosts func() (n int, known bool)
	KnownRank  func(name string) int
	// ColdGrantor reports whether one host grants the requests of all hosts to a cold target, and
	// whether this host is the one. If it is nil, or if there is none, a few hosts share the requests.
	ColdGrantor func(target string) (self, exists bool)
	// Builds may be nil. Streams then begin at any build, and those that callers resume go on
	// at any.
	Builds StreamBuilds
	// Hosts and HostCaller may be nil. Requests are then not relayed to other hosts.
	Hosts      HostLister
	HostCaller HostCaller
	// CacheRelay may be nil. This host then polls all engines and stores.
	CacheRelay CacheRelay
	// HoldsLease reports whether this host holds the lease of swaps, and so frees parts of stores. It
	// may be nil.
	HoldsLease func() bool
	// ShardRelay may be nil. This host then places all of its requests by its own view.
	ShardRelay ShardRelay
	Log        *log.Logger
	Metrics    metrics.Registry

	routes atomic.Pointer[routing.Config]

	mu       sync.Mutex
	rng      *rand.Rand
	placer   *placement.Placer
	suspects retry.Suspects
	budgets  map[string]*retry.Budget
	weights  map[string]*modelWeights
	// swapping contains the targets that swap their weights or are about to.
	swapping map[string]bool
	// swaps is what this host knows about the swaps on the targets of its shards.
	swaps shardSwaps
	// avoidFactors maps an unreachable target to the multiple of AvoidFor for
	// which it was last avoided. The entry is removed when the target answers.
	avoidFactors map[string]int
	// path tells whether targets can be reached at all, addresses are those of the listed ones.
	path      reachability.Tracker
	addresses map[string]bool
	// headRefusedAt is when the last refused head of an answer was logged.
	headRefusedAt time.Time
	// avoidHosts maps hosts to which no requests are relayed to the end of that time.
	avoidHosts map[string]time.Time
	stores     map[string]*cacheStore
	// lists contains a value for each call for the list of a store that is running.
	lists chan struct{}
	// ownedAt is when this host last owned a shard, and followedAt when it last had to follow the
	// stores for that or for the lease of swaps, by its steady clock.
	ownedAt, followedAt time.Time
	// replacing counts the checks in which this host took itself for the owner of a shard, less those in
	// which it didn't, up to replacingChecks.
	replacing int
	// cacheLogs contains the state of each source of cache events by name, roles which
	// groups of them this host polls.
	cacheLogs map[string]*cacheLog
	roles     cacheRoles
	relayAges relayAges
	// asked contains the sources of cache events for which hosts of earlier builds ask this one,
	// lacking the hosts that lacked sources of a group and until when they are left out.
	asked   map[string]askedSource
	lacking map[groupWatcher]time.Time
	// leaving contains the latest targets that said in an answer that they are leaving.
	leaving []leavingTarget
	// limits are the limits of calls that targets have stated.
	limits targetlimit.Limits
	// shards is what is known of shards of targets, started when this host was initialized. queues
	// are the requests that wait for room on their targets.
	shards  shardState
	queues  shardQueues
	started time.Time
	// brittle are the targets that can reject few requests.
	brittle targetlimit.Brittle
	// cold are the targets that have started a short time ago.
	cold coldTargets
	// evacuated are the failure domains whose targets get no requests, nil if there are none.
	evacuated atomic.Pointer[map[string]bool]
	// divided tells whether the requests of a plain service are divided by what hosts measured.
	divided map[string]bool
	// bytesPerToken is the size of a cached token on the engines, and fetchRate
	// the bandwidth of their links in bytes per second.
	bytesPerToken, fetchRate float64
	active                   atomic.Int64
	stopped                  atomic.Bool
	// ended ends when running requests have to end, and end ends it.
	ended context.Context
	end   context.CancelFunc
}

// Init initializes the state for decisions. It must be called once before any other
// method.
func (g *Gateway) Init() {
	cfg := g.Config
	g.started = g.Clock.Now()
	g.ended, g.end = context.WithCancel(context.Background())
	g.rng = rand.New(rand.NewPCG(cfg.Placement.Seed, rand.Uint64()))
	g.placer = placement.NewPlacer(placement.Params{
		PreferredCount:  cfg.Placement.PreferredCount,
		RandomCount:     cfg.Placement.RandomCount,
		BlockTokens:     cfg.Placement.BlockTokens,
		IndexEntries:    cfg.Placement.IndexEntries,
		LongSlotPercent: cfg.Placement.LongSlotPercent,
		SlowRatio:       cfg.Slowness.SlowRatio,
		ProbeEvery:      cfg.Slowness.ProbeEvery.Duration,
		Seed:            g.rng.Uint64(),
		Pace:            g.paceParams(),
	})
	g.suspects = retry.Suspects{Attempts: cfg.Retries.SuspectAttempts, TTL: cfg.Retries.SuspectTTL.Duration, ProbeDelay: g.rng.Float64()}
	g.budgets = map[string]*retry.Budget{}
	g.weights = map[string]*modelWeights{}
	g.swapping = map[string]bool{}
	g.swaps = newShardSwaps()
	g.avoidFactors = map[string]int{}
	g.avoidHosts = map[string]time.Time{}
	g.stores = map[string]*cacheStore{}
	g.lists = make(chan struct{}, maxLists)
	g.cacheLogs = map[string]*cacheLog{}
	g.asked = map[string]askedSource{}
	g.lacking = map[groupWatcher]time.Time{}
	g.registerColdTargets()
	g.registerStores()
	g.registerQueues()
}

// Routes returns the current configuration, or nil before the first one.
func (g *Gateway) Routes() *routing.Config { return g.routes.Load() }

// SetRoutes applies a configuration if its version is newer than that of the
// current one, and reports whether it did.
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

// Ready reports whether requests can be served, which requires a configuration
// and a list of targets.
func (g *Gateway) Ready() bool { return g.routes.Load() != nil && g.Fleet.Loaded() }

// Active returns the number of requests being served.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Stop makes the gateway refuse new requests. Those that are being served go on.
func (g *Gateway) Stop() { g.stopped.Store(true) }

// End ends the requests that are being served. Callers that have received nothing yet get a failure.
func (g *Gateway) End() { g.end() }

// TargetsChanged updates the placer with the current targets of the fleet.
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
	// minReserve and maxReserve limit the retries that a host saves up for a
	// service. With less than one saved, it could never retry.
	minReserve = 1
	maxReserve = 3
	// reserveDivisor divides the reserve of all hosts. Running hosts share one part
	// of it; the rest is left for hosts that restart, which begin with a full
	// reserve.
	reserveDivisor = 2
	// minHosts is the minimum number of hosts among which the reserve is divided,
	// since a host that has just started knows no others.
	minHosts = 8
)

// reserve returns the number of retries that this host may save up for a
// service.
func (g *Gateway) reserve() float64 {
	hosts := minHosts
	if g.HostCount != nil {
		hosts = max(hosts, g.HostCount())
	}
	return min(maxReserve, max(minReserve, g.Config.Retries.Reserve/float64(reserveDivisor*hosts)))
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

// Sample size and decay factor of the latency histograms. go-metrics recommends
// these values to represent the last five minutes.
const (
	histogramSample = 1028
	histogramAlpha  = 0.015
)
