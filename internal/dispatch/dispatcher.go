// Package dispatch admits requests, places them on targets and relays the
// answers. It applies the decisions of packages that do no I/O, and guards
// their state with one lock.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/common/wait"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/lengths"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retention"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/store"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// retryReserve is the maximum number of retries saved up, so that the
	// requests of one lost target can be resumed.
	retryReserve = 100
	// hedgeReserve is the maximum number of hedges saved up.
	hedgeReserve = 10
	// finishedBacklog is the maximum number of finished prompts that wait for a
	// retention decision.
	finishedBacklog = 256
)

// TargetCaller sends calls to targets.
type TargetCaller interface {
	Run(ctx context.Context, url string, run *target.RunRequest) (*target.Stream, error)
	Cancel(ctx context.Context, url, requestID string, attempt int) error
	Load(ctx context.Context, url string) (target.LoadReport, error)
	CacheEvents(ctx context.Context, url string, after int64) (target.CacheEvents, error)
	ChangeVersion(ctx context.Context, url string, order target.VersionRequest) error
	Export(ctx context.Context, url string, order target.BlockRequest) (target.BlockResult, error)
	Import(ctx context.Context, url string, order target.BlockRequest) (target.BlockResult, error)
	Call(ctx context.Context, method, url string, header http.Header, body []byte, repeatable bool) (target.ServiceAnswer, error)
}

// StoreCaller sends calls to store hosts.
type StoreCaller interface {
	List(ctx context.Context, url string, after store.Cursor) (store.Listing, error)
	PutCommit(ctx context.Context, url string, commit store.Commit) error
	DeleteCommit(ctx context.Context, url, name string) error
	DeleteBlock(ctx context.Context, url, name string, generation int64) error
}

// RecordProvider provides the records in force.
type RecordProvider interface {
	Current() *record.Set
	// RecentEnough reports whether this host may admit requests based on the
	// records.
	RecentEnough() bool
}

// LedgerWriter records finished requests.
type LedgerWriter interface {
	// Add records one request.
	Add(row ledger.Row)
	// Full reports whether no further request can be recorded.
	Full() bool
}

// Refuser makes all hosts refuse a request that crashes targets.
type Refuser interface {
	// Refuse makes all hosts refuse requests with a fingerprint until the given
	// time.
	Refuse(ctx context.Context, fingerprint, account string, until time.Time) error
}

// PeerProvider provides what the other entry hosts report.
type PeerProvider interface {
	// HostCount returns the number of live entry hosts, this one included.
	HostCount() int
	// Loads returns what peers have placed on targets.
	Loads() map[string]placement.TargetLoad
	// InFlight returns the number of requests that peers have admitted or queued,
	// and whether the reports are fresh.
	InFlight() (requests int, fresh bool)
	// AccountDemand returns the demand of all peers for an account and whether
	// the reports are fresh.
	AccountDemand(account string) (tokensPerSecond float64, inFlight int, fresh bool)
	// PoolOwner returns the URL of the ready host that decides for a pool. If that
	// is this host, it returns "" and true; if no host is ready, "" and false.
	PoolOwner(pool string) (url string, self bool)
	// Decide requests a decision from the owner of a pool.
	Decide(ctx context.Context, url string, request *wire.DecideRequest) (*wire.DecideResponse, error)
	// Observe sends the owner of a pool the outcomes of its decisions.
	Observe(ctx context.Context, url string, request *wire.ObserveRequest) error
	// IsOwner reports whether this host is the owner of a name.
	IsOwner(name string) bool
}

// Dispatcher runs requests. The exported fields must be set before Init is
// called.
type Dispatcher struct {
	Host        string
	Incarnation int64
	Config      config.Config
	Clock       clock.Clock
	Targets     TargetCaller
	Stores      StoreCaller
	Records     RecordProvider
	Peers       PeerProvider
	Ledger      LedgerWriter
	Refuser     Refuser
	Log         *log.Logger
	Metrics     metrics.Registry

	mu     sync.Mutex
	rng    *rand.Rand
	placer *placement.Placer
	queue  *admission.Queue
	// waiters maps each queued job to the channel that is closed when it is
	// admitted.
	waiters   map[*admission.Job]chan struct{}
	retries   retry.Budget
	hedges    retry.Budget
	backoff   retry.Backoff
	suspects  retry.Suspects
	lengths   *lengths.Estimator
	retention *retention.Planner
	// pinned maps the model and account of a routing rule to the version that new
	// requests use.
	pinned map[string]string
	// applied contains the records that the placer was last updated with.
	applied *record.Set

	// remoteJobs contains the jobs of other hosts for which this host decides, by
	// ID.
	remoteJobs map[int64]*remoteJob
	observer   *observer
	// pools maps each model to the name of its pool.
	pools map[string]string
	// equalShareUntil is the time until which this host uses an equal share of the
	// capacity and of the limits of accounts, because a pool had no owner that
	// answered.
	equalShareUntil time.Time

	directory      *store.Directory
	finished       chan finishedPrompt
	lastGeneration atomic.Int64
	sequence       atomic.Int64
	running        sync.WaitGroup
	stopping       bool
	polled         atomic.Bool
}

// Init initializes the state for decisions. It must be called once before any
// other method.
func (d *Dispatcher) Init() {
	cfg := d.Config
	d.rng = rand.New(rand.NewPCG(cfg.Placement.Seed, uint64(d.Incarnation)))
	d.placer = placement.NewPlacer(placement.Params{
		PreferredCount:  cfg.Placement.PreferredCount,
		RandomCount:     cfg.Placement.RandomCount,
		BlockTokens:     cfg.Placement.BlockTokens,
		IndexEntries:    cfg.Placement.IndexEntries,
		BytesPerToken:   float64(cfg.Retention.BytesPerToken),
		LongSlotPercent: cfg.Placement.LongSlotPercent,
		WarmUp:          cfg.Placement.WarmUp.Duration,
		SlowRatio:       cfg.Slowness.SlowRatio,
		ProbeEvery:      cfg.Slowness.ProbeEvery.Duration,
		Seed:            d.rng.Uint64(),
	})
	d.queue = admission.NewQueue(admission.Params{
		QueuePerAccount: cfg.Admission.QueuePerAccount,
		ReservePercent:  cfg.Admission.ReservePercent,
		LongPercent:     cfg.Placement.LongSlotPercent,
	})
	d.waiters = map[*admission.Job]chan struct{}{}
	d.retries = retry.Budget{Percent: cfg.Retries.BudgetPercent, Reserve: retryReserve}
	d.hedges = retry.Budget{Percent: cfg.Slowness.HedgePercent, Reserve: hedgeReserve}
	d.backoff = retry.Backoff{Base: cfg.Retries.BaseDelay.Duration, Max: cfg.Retries.MaxDelay.Duration}
	d.suspects = retry.Suspects{Attempts: cfg.Retries.SuspectAttempts, TTL: cfg.Retries.SuspectTTL.Duration, ProbeDelay: d.rng.Float64()}
	d.lengths = lengths.NewEstimator()
	d.retention = retention.NewPlanner(retention.Params{
		BlockTokens:       cfg.Placement.BlockTokens,
		BytesPerToken:     float64(cfg.Retention.BytesPerToken),
		LinkSharePercent:  cfg.Retention.LinkSharePercent,
		MinimumReuseRatio: cfg.Retention.MinimumReuseRatio,
	})
	d.pinned = map[string]string{}
	d.remoteJobs = map[int64]*remoteJob{}
	d.observer = newObserver()
	d.applied = record.NewSet()
	d.directory = &store.Directory{FreshFor: listingFreshFor, ReadLimit: readLimit, FreeGrace: cfg.Retention.FreeGrace.Duration}
	d.finished = make(chan finishedPrompt, finishedBacklog)
}

// Run runs the background tasks until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	every := func(interval time.Duration, task func(context.Context)) {
		tasks.Go(func() {
			task(ctx)
			clock.Every(ctx, d.Clock, interval, task)
		})
	}
	every(d.Config.Placement.LoadPoll.Duration, d.pollLoads)
	every(d.Config.Placement.CacheEventPoll.Duration, d.newCacheEventPoller())
	every(storeListInterval, d.listStores)
	every(storeFreeInterval, d.freeBlocks)
	every(versionCheckInterval, d.loadVersions)
	every(refreshInterval, d.refresh)
	tasks.Go(func() { d.sendObservations(ctx) })
	tasks.Go(func() { d.retainFinished(ctx) })
	tasks.Wait()
	return nil
}

// Stop refuses new requests and waits until all running ones have ended, or
// returns the error of ctx if ctx ends first.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	return wait.Group(ctx, &d.running)
}

// begin counts a request as running, or returns a failure if the host is
// stopping.
func (d *Dispatcher) begin() *failure.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return failure.Busy(failure.Stopping, time.Second, "this host is stopping")
	}
	d.running.Add(1)
	return nil
}

// nextID returns a request ID that is unique across all hosts.
func (d *Dispatcher) nextID() string {
	return d.Host + "-" + strconv.FormatInt(d.Incarnation, 36) + "-" + strconv.FormatInt(d.sequence.Add(1), 36)
}

// returnRetry returns a retry to the budget because no target was found for it.
func (d *Dispatcher) returnRetry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Return()
}

// returnHedge returns a hedge to the budget because no target was found for it.
func (d *Dispatcher) returnHedge() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedges.Return()
}

func (d *Dispatcher) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}
