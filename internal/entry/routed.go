package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/common/version"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/streambuild"
)

// Translator decodes table rows that the platform and its operators write.
type Translator interface {
	// Config decodes a configuration, and returns nil for any other row.
	Config(row platform.Row) (*routing.Config, error)
	// Version decodes the weight version requested for a model, and returns an empty
	// model for any other row.
	Version(row platform.Row) (model string, version int64, err error)
	// Evacuation decodes the failure domain that is to be evacuated as long as a row exists, and
	// returns an empty string for any other row. It also decodes removed rows.
	Evacuation(row platform.Row) string
	// Target decodes a target, and returns an error for a row without a usable one.
	Target(row platform.Row) (fleet.Target, error)
}

// sharedWait is how long one call waits for a change of the shared table. A stale
// copy of it only costs time, because every write that depends on it is conditional.
const sharedWait = 10 * time.Second

// sharedPause is the pause between two calls for changes of the shared table, so that one
// call returns the rows that many hosts write when they start.
const sharedPause = 150 * time.Millisecond

// leaseName is the name by whose hashes hosts take the lease of swaps in turn.
const leaseName = "lease/weights"

// RoutedHost is an entry host whose configuration is stored in the table service.
// Its exported fields must be set before Run.
type RoutedHost struct {
	Config config.Routed
	Clock  clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	// OnReady is called once, when the host can serve requests. It may be nil.
	OnReady func()

	Codec      platform.Codec
	Transport  http.RoundTripper
	Translator Translator
	// OperatorTable is the name of the table that operators write, and TargetTable
	// that of the list of targets.
	OperatorTable, TargetTable string
	// Targets runs requests, and Orders sends the orders to swap weights.
	Targets gateway.TargetCaller
	Orders  rollout.TargetClient
	// CacheEvents reads the cache events of targets and store hosts, and Freer frees
	// cached prompt parts on store hosts.
	CacheEvents gateway.CacheEventCaller
	Freer       gateway.PartFreer
	// StoreLists reads the lists of parts in store hosts. It may be nil.
	StoreLists gateway.StoreLister
	// HostCaller relays requests to other hosts.
	HostCaller gateway.HostCaller
	// Handlers returns the handlers of callers' requests and of those that other hosts relay,
	// whose paths begin with RelayPrefix. stopping reports whether the host is shutting down.
	Handlers    func(g *gateway.Gateway, stopping func() bool) (callers, relayed http.Handler)
	RelayPrefix string
	// Budgets are the budgets of memory by what they hold. One that is missing sets no limit.
	Budgets map[string]*bounded.Budget
	// RefusalBody returns the body of a refusal of a request that reaches no handler. It may be nil.
	RefusalBody func(err *failure.Error) []byte

	metrics      metrics.Registry
	table        *platform.Client
	fleet        *fleet.View
	gateway      *gateway.Gateway
	requested    *rollout.RequestedVersions
	leader       *rollout.Leader
	recorder     *rollout.Recorder
	builds       *streambuild.Registry
	group        *peer.Group
	hosts        *hostRows
	copies       tableCopies
	ledgerWriter *ledger.Writer
	// readsAlone counts the reads of tables because no read of another host was known.
	readsAlone metrics.Counter
	// tableLostAt is when the list of targets became unavailable to this host, in Unix nanoseconds.
	tableLostAt atomic.Int64
	stopping    atomic.Bool
	// evacuated contains the failure domains that operators evacuate. It is only used by
	// applyOperators.
	evacuated map[string]bool
	// coldRows contains the rows of targets that state that the target is cold. It is only used by
	// applyTargets.
	coldRows map[string]coldRow
}

// Run serves until stop ends or a task fails, then shuts down gracefully: running
// requests are completed. The end of force stops waiting for them.
func (h *RoutedHost) Run(stop, force context.Context) error {
	h.build()
	h.copies = h.buildFollowers()
	h.group.Tables = h.copies
	h.Log.Info().Str("part", "entry").Str("host", h.Config.Host).Str("failureDomain", h.Config.FailureDomain).Str("build", version.String()).
		Str("callers", h.Config.Callers.Listen).Str("table", h.Config.Table.URL).Float64("capacity", h.Config.Capacity).Msg("entry: start")
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(stop))
	defer cancelTasks()
	running, ctx := errgroup.WithContext(taskCtx)
	for _, l := range listeners {
		running.Go(l.serve)
	}
	for _, task := range h.tasks() {
		running.Go(func() error { return task(ctx) })
	}
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	h.stop(force, listeners)
	cancelTasks()
	if err := running.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (h *RoutedHost) build() {
	cfg := h.Config
	incarnation := h.Clock.Now().UnixNano()
	h.metrics = metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("process.cpuMicros", h.metrics, processorMicros)
	metrics.NewRegisteredFunctionalGauge("config.keysRequired", h.metrics, h.keysRequired)
	h.readsAlone = metrics.NewRegisteredCounter("table.readsAlone", h.metrics)
	registerBudgets(h.metrics, h.Budgets)
	h.table = &platform.Client{
		HTTP: &http.Client{Transport: h.Transport}, Codec: h.Codec, TableURL: cfg.Table.URL,
		Timeout: cfg.Table.CallTimeout.Duration,
		Reads:   rate.NewLimiter(rate.Limit(cfg.Table.ReadsPerSecond), burst(cfg.Table.ReadsPerSecond)),
		Writes:  rate.NewLimiter(rate.Limit(cfg.Table.WritesPerSecond), burst(cfg.Table.WritesPerSecond)),
		Breaker: &platform.Breaker{Clock: h.Clock, Failures: cfg.Table.BreakerFailures, Pause: cfg.Table.BreakerPause.Duration},
		Steady:  h.Steady, Metrics: h.metrics,
	}
	h.requested = &rollout.RequestedVersions{}
	h.fleet = fleet.NewView()
	h.fleet.LeaveTimeout = cfg.Table.LeaveTimeout.Duration
	h.ledgerWriter = &ledger.Writer{
		Host: cfg.Host, Incarnation: incarnation, Table: h.table, Clock: h.Clock, Log: h.Log,
		FlushEvery: cfg.Ledger.FlushEvery.Duration, CopyEvery: cfg.Ledger.CopyEvery.Duration, BatchRows: cfg.Ledger.BatchRows, BufferRows: cfg.Ledger.BufferRows,
		WritesPerSecond: cfg.Ledger.WritesPerSecond,
	}
	h.gateway = &gateway.Gateway{
		Host: cfg.Host, FailureDomain: cfg.FailureDomain, Config: cfg, Clock: h.Clock, Steady: h.Steady, Targets: h.Targets,
		Fleet: h.fleet, HostCaller: h.HostCaller, Ledger: h.ledgerWriter, Freer: h.Freer, Lister: h.StoreLists, Requested: h.requested, Log: h.Log, Metrics: h.metrics,
	}
	h.gateway.Init()
	h.buildGroup(incarnation)
	h.builds = &streambuild.Registry{
		Table: h.table, Fleet: h.fleet, Clock: h.Clock, Steady: h.Steady, Log: h.Log, Rank: rank(cfg.Host),
		HostCount: h.group.HostCount, HostRank: h.group.HostRank, OnChange: h.gateway.TargetsChanged,
	}
	h.builds.Init()
	h.gateway.Builds = h.builds
	h.leader = &rollout.Leader{
		Host: cfg.Host, Table: h.table, Fleet: h.fleet, Targets: h.gateway.Counted(h.Orders), Clock: h.Clock, Steady: h.Steady, Log: h.Log, Requested: h.requested,
		Plan: rollout.Plan{
			SwapShare: cfg.Rollout.SwapShare, ConcurrentLoads: cfg.Rollout.ConcurrentLoads, Drain: cfg.Rollout.Drain.Duration, TimeLimit: cfg.Rollout.TimeLimit.Duration,
			SettleDelay: cfg.Rollout.SettleDelay.Duration, KeepRuns: cfg.Rollout.KeepRuns, RepeatAfter: cfg.Rollout.RepeatAfter.Duration,
			GroupOf: h.gateway.ShardOf, OpensEarly: h.gateway.OwnerReadsState,
		},
		Rank: rank(cfg.Host), OnSwapping: h.gateway.SetSwapping, Cleaner: h.gateway, PathLost: h.gateway.PathLost,
		MayRead: h.gateway.MayReadState, Metrics: h.metrics,
		Lease: lease.State{Host: cfg.Host, Incarnation: incarnation, TTL: cfg.Rollout.LeaseTTL.Duration, QuietPeriod: cfg.Rollout.QuietPeriod.Duration + cfg.Rollout.QuietMargin.Duration},
	}
	h.gateway.HoldsLease = h.leader.HoldsLease
	h.leader.TakeoverTurn = func(cleanup bool) (turn int, many bool) {
		if cleanup {
			if turn, known := h.gateway.FreeTurn(); known {
				return turn, true
			}
		}
		return h.group.HostRank(leaseName), h.isLargeGroup()
	}
	h.recorder = &rollout.Recorder{
		Table: h.table, Requested: h.requested, Fleet: h.fleet, Clock: h.Clock, Steady: h.Steady, Log: h.Log,
		Rank: rank(cfg.Host), HoldsLease: h.leader.HoldsLease,
	}
}

func (h *RoutedHost) buildGroup(incarnation int64) {
	cfg := h.Config
	url := "http://" + cfg.Peers.Listen
	h.hosts = &hostRows{
		Self:  platform.Host{Name: cfg.Host, URL: url, FailureDomain: cfg.FailureDomain, Kind: "entry", Capacity: cfg.Capacity},
		Table: h.table, Clock: h.Clock, Log: h.Log,
	}
	h.group = &peer.Group{
		Self: membership.Member{
			Name: cfg.Host, URL: url, FailureDomain: cfg.FailureDomain, Incarnation: incarnation, Build: version.String(), Protocol: peer.Protocol,
		},
		Params:   membership.Params{SuspicionTimeout: cfg.Peers.SuspicionTimeout.Duration, ForgetAfter: cfg.Peers.ForgetAfter.Duration},
		Interval: cfg.Peers.Interval.Duration, FanOut: cfg.Peers.FanOut, CollectLoads: true, LoadMaxAge: cfg.Peers.LoadMaxAge.Duration,
		HostList: h.hosts, Clock: h.Clock, Steady: h.Steady, Log: h.Log, HTTP: &http.Client{Transport: h.Transport},
		Local: h.gateway, Ledger: h.table, Ready: func() bool { return h.ready() && !h.gateway.PathLost() },
	}
	h.group.Init()
	h.group.RegisterBuilds(h.metrics)
	h.ledgerWriter.Mirror, h.ledgerWriter.HostCount = h.group, h.group.HostCount
	h.gateway.HostCount, h.gateway.HostRank = h.group.HostCount, h.group.HostRank
	h.gateway.KnownHosts, h.gateway.KnownRank = h.group.KnownHosts, h.group.KnownRank
	h.gateway.CacheRelay, h.group.Caches = h.group, h.gateway
	h.gateway.Hosts = h.group
	h.gateway.ShardRelay, h.group.Shards = h.group, h.gateway
}

// rank maps a host name to a number in [0, 1), evenly distributed over the hosts.
func rank(host string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(host)) // Writing to a hash never fails.
	return float64(hash.Sum32()) / (1 << 32)
}

func (h *RoutedHost) buildFollowers() tableCopies {
	table := h.Config.Table
	operators := &platform.Follower{Table: h.OperatorTable, Wait: table.ChangeWait.Duration, Apply: h.applyOperators}
	targets := &platform.Follower{
		Table: h.TargetTable, Wait: table.ChangeWait.Duration, Pause: table.TargetPoll.Duration, Apply: h.applyTargets,
		OnUnavailable: h.tableLost, OnAvailable: h.tableFound,
	}
	shared := &platform.Follower{
		Table: platform.SharedTable, Wait: sharedWait, Pause: sharedPause,
		Apply: func(rows []platform.Row, full bool) {
			h.leader.ApplyRows(rows, full)
			h.recorder.ApplyRows(rows, full)
			h.applyHosts(rows, full)
			h.builds.ApplyRows(rows, full)
		},
	}
	h.gateway.ConfigAge = func() (time.Duration, bool) {
		// Without the clock of the service, the end of a call that waited for a change is no news.
		_, _, clockKnown := h.table.ServiceMillis(h.Steady.Now())
		state := operators.State()
		return state.Age, state.AgeKnown && clockKnown
	}
	// A host that reads the configuration from the service also reads the other tables.
	h.group.Contact = operators
	h.group.Readers, h.group.AskReaderAfter = table.Readers, time.Duration(askShare*float64(h.Config.ContactMaxAge()))
	followers := tableCopies{operators, targets, shared}
	startedAt := h.Clock.Now()
	relay := newMeasuredRelay(h.group, h.Clock, h.metrics)
	for _, f := range followers {
		maxAge := h.Config.ContactMaxAge()
		if f == shared {
			maxAge = sharedWait
		}
		f.Client, f.Relay, f.Clock, f.Steady, f.Log = h.table, relay, h.Clock, h.Steady, h.Log
		f.Applied = h.measureLateness(f.Table)
		f.EarliestServiceMillis = h.table.EarliestServiceMillis
		f.NextWait = func() time.Duration { return h.readerWait(f) }
		f.ReadsService = func() bool { return h.readsTables(startedAt) }
		f.ReadDue = func(age, behind time.Duration) bool {
			due := h.isLargeGroup() && h.group.ReadDue(table.Readers, age, behind, maxAge)
			if due {
				h.readsAlone.Inc(1)
			}
			return due
		}
		f.RetryDue = func(failedAt time.Time) bool {
			now := h.Clock.Now()
			return !h.isLargeGroup() || h.group.ReadsTables(table.Readers) || h.heardOfContact() ||
				h.table.LastContact().After(failedAt) || now.Sub(failedAt) >= retryPause
		}
	}
	return followers
}

// retryPause is the time after which a host of a large group that is no reader repeats a failed call to
// the table service, unless it hears from a peer that the service answers. Targets that left during an
// outage are used for up to 2.2 s after a host has found that it is over, which is 3 s at most.
const retryPause = 900 * time.Millisecond

// heardOfContact reports whether a peer has reached the table service lately.
func (h *RoutedHost) heardOfContact() bool {
	age, known := h.group.ContactAge()
	return known && age < h.Config.Table.ContactMaxAge()
}

// tableLost records that the table service has become unavailable to this host.
func (h *RoutedHost) tableLost() {
	h.tableLostAt.Store(h.Clock.Now().UnixNano())
	h.fleet.TableUnavailable()
}

// tableFound records that the table service is available again. A host of a large group may reach it
// later than its peers; the time in which targets may register again began with the first of them.
func (h *RoutedHost) tableFound() {
	since := h.Clock.Now()
	if resumed := h.group.ContactResumed(); h.isLargeGroup() && resumed.UnixNano() > h.tableLostAt.Load() {
		since = resumed
	}
	h.fleet.TableAvailable(since)
}

// readerWait returns how long the next call of a reader waits for a change of a table. The calls of
// several readers end in turns by the clock of the table service, so that one of them has always
// read the table lately.
func (h *RoutedHost) readerWait(f *platform.Follower) time.Duration {
	_, millis, known := h.table.ServiceMillis(h.Steady.Now())
	if !known || !h.isLargeGroup() {
		return f.Wait
	}
	turn := f.Wait * time.Duration(h.group.ReaderRank()) / time.Duration(h.Config.Table.Readers)
	return untilTurn(time.Duration(millis)*time.Millisecond, turn, f.Wait)
}

// minTurnShare is the share of the time between two turns below which a turn is skipped, since a call
// that waited for it ended a little early.
const minTurnShare = 0.1

// untilTurn returns the time from now to the next turn, which come each period, the first one at first.
func untilTurn(now, first, period time.Duration) time.Duration {
	wait := period - (now-first+period)%period
	if wait < time.Duration(minTurnShare*float64(period)) {
		return period
	}
	return wait
}

// askShare is the share of the time for which a read of any host is recent, after which a host that
// has heard of none asks a reader.
const askShare = 0.5

// isLargeGroup reports whether few hosts read the tables for the others.
func (h *RoutedHost) isLargeGroup() bool { return h.group.HostCount() > h.Config.Table.ReadAlone }

// joinTime is the time from the start of a host in which it learns which listed hosts are alive. Until
// then it follows the tables through them, as if many were.
const joinTime = time.Second

// readsTables reports whether this host, which was started at a time, reads the changes of tables
// from the table service.
func (h *RoutedHost) readsTables(startedAt time.Time) bool {
	table := h.Config.Table
	if h.isLargeGroup() {
		return h.group.ReadsTables(table.Readers)
	}
	if h.Clock.Now().Sub(startedAt) >= joinTime {
		return true
	}
	listed, known := h.hosts.count()
	return known && listed <= table.ReadAlone
}

func (h *RoutedHost) tasks() []func(context.Context) error {
	tasks := []func(context.Context) error{
		h.ledgerWriter.Run, h.leader.Run, h.recorder.Run, h.builds.Run, h.hosts.Run, h.group.Run, h.expire, h.notifyReady,
		func(ctx context.Context) error { h.gateway.FollowPeers(ctx, h.group); return nil },
		func(ctx context.Context) error { h.gateway.WatchCaches(ctx, h.CacheEvents); return nil },
		func(ctx context.Context) error { h.gateway.WatchStores(ctx, h.CacheEvents); return nil },
		func(ctx context.Context) error { h.gateway.FollowCaches(ctx); return nil },
		func(ctx context.Context) error { h.gateway.WatchPath(ctx); return nil },
		func(ctx context.Context) error { h.gateway.ReportProgress(ctx); return nil },
		func(ctx context.Context) error { h.gateway.WatchLoads(ctx, h.Orders); return nil },
	}
	for _, f := range h.copies {
		tasks = append(tasks, f.Run)
	}
	return tasks
}

// applyHosts applies rows of entry hosts. They are announced to the group at once, so that a host that
// starts soon polls its part of the caches, and follows the tables through many others.
func (h *RoutedHost) applyHosts(rows []platform.Row, full bool) {
	h.hosts.ApplyRows(rows, full)
	if full || hasHosts(rows) {
		hosts, _ := h.hosts.Hosts(context.Background()) // It returns no error.
		h.group.HostsListed(hosts)
	}
}

// applyOperators applies the configuration, the requested weight versions and the evacuation of
// failure domains. That comes first, so that a host which starts sends nothing to them.
func (h *RoutedHost) applyOperators(rows []platform.Row, full bool) {
	h.applyEvacuations(rows, full)
	for _, row := range rows {
		c, err := h.Translator.Config(row)
		if err != nil {
			h.Log.Error().Str("part", "config").Int64("rowVersion", row.Version).Err(err).Msg("config: row rejected, the previous configuration stays in force")
		}
		if c != nil && h.setRoutes(c) {
			times := h.rowTimes(row)
			h.Log.Info().Str("part", "config").Int64("version", c.Version).Int64("rowVersion", row.Version).
				Dur("sinceSeen", times.SinceSeen).Dur("sinceWritten", times.SinceWritten).Int("bytes", len(row.Value)).
				Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts)).
				Bool("keysRequired", c.NeedsKeys()).Str("sharedCache", c.Cache("")).Msg("config: in force")
		}
		model, version, err := h.Translator.Version(row)
		if err != nil {
			h.Log.Error().Str("part", "weights").Int64("rowVersion", row.Version).Err(err).Msg("weights: row rejected, the previous version stays in force")
		}
		if model != "" {
			h.requestVersion(model, version, row, full)
		}
	}
}

// setRoutes applies a configuration if its version is newer than that of the current one, and
// reports whether it did.
func (h *RoutedHost) setRoutes(c *routing.Config) bool {
	earlier := h.gateway.Routes()
	if earlier != nil && earlier.Version >= c.Version {
		return false
	}
	if earlier != nil && earlier.NeedsKeys() && !c.NeedsKeys() {
		h.Log.Warn().Str("part", "config").Int64("version", c.Version).Int64("earlierVersion", earlier.Version).
			Msg("config: there is no list of client accounts any more; requests to private routes need no key")
	}
	// Streams that began by the earlier configuration are resumed from now on.
	h.builds.SetLongestTimeout(c.LongestResumableTimeout())
	h.builds.SetRelated(c.RelatedServices(earlier))
	return h.gateway.SetRoutes(c)
}

// keysRequired returns 1 if requests to private routes need a key, 0 if they don't, and -1 while the
// host has no configuration.
func (h *RoutedHost) keysRequired() int64 {
	switch cfg := h.gateway.Routes(); {
	case cfg == nil:
		return -1
	case cfg.NeedsKeys():
		return 1
	default:
		return 0
	}
}

// requestVersion records a requested weight version. tableRead tells whether the row was
// found on reading the complete table. The time of the request is then unknown, unless this
// host has followed the table before or finds it in the shared table.
func (h *RoutedHost) requestVersion(model string, version int64, row platform.Row, tableRead bool) {
	since, known := h.table.ServiceTime(row.Era, row.WrittenAfterMillis)
	if !h.requested.Add(model, version, since) {
		return
	}
	entry := h.Log.Info().Str("part", "weights").Str("model", model).Int64("version", version).Int64("rowVersion", row.Version).Bool("tableRead", tableRead)
	if known {
		entry = entry.Dur("requestedFor", h.Steady.Now().Sub(since))
	}
	entry.Msg("weights: new version requested")
}

// notifyReady waits until the host is ready, logs that and calls OnReady.
func (h *RoutedHost) notifyReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if h.gateway.Ready() {
			h.Log.Info().Str("part", "entry").Int64("configVersion", h.gateway.Routes().Version).Msg("entry: ready")
			if h.OnReady != nil {
				h.OnReady()
			}
			return nil
		}
		_ = clock.Sleep(ctx, h.Clock, readyInterval) // The loop checks ctx.
	}
	return nil
}

func (h *RoutedHost) ready() bool { return !h.stopping.Load() && h.gateway.Ready() }

const (
	// endMargin is the time before the end of a graceful shutdown at which the requests that still
	// run are ended, so that their callers are answered, and endMarginDivisor limits it to a part
	// of the time that they have.
	endMargin        = 200 * time.Millisecond
	endMarginDivisor = 4
)

// endMarginOf returns the margin for requests that have the given time to end.
func endMarginOf(left time.Duration) time.Duration { return min(endMargin, left/endMarginDivisor) }

// stop shuts the host down in this order: it reports not ready, waits for the
// shutdown delay, refuses new requests, closes the listeners, waits for running requests
// and ends those that take too long, leaves the group of peers and writes the ledger and the
// copies of batches of hosts that have gone.
func (h *RoutedHost) stop(force context.Context, listeners []*listener) {
	h.Log.Info().Str("part", "entry").Int("active", h.gateway.Active()).Msg("entry: graceful shutdown started")
	h.stopping.Store(true)
	delay, timeout := h.Config.ShutdownTimes()
	ctx, cancel := context.WithTimeout(force, timeout)
	defer cancel()
	_ = clock.Sleep(ctx, h.Clock, delay) // The loop below observes ctx.
	h.gateway.Stop()
	left := timeout - delay
	endCtx, cancelEnd := context.WithTimeout(ctx, left-endMarginOf(left))
	defer cancelEnd()
	context.AfterFunc(endCtx, h.gateway.End)
	// A peer that doesn't answer must not take the time of the last write.
	var leaving sync.WaitGroup
	leaving.Go(func() { h.group.Leave(ctx) })
	for _, l := range listeners {
		l.close(ctx)
	}
	leaving.Wait()
	var copies sync.WaitGroup
	copies.Go(func() { writeCopies(ctx, h.group, h.Clock, h.Log, h.Config.Table.CallTimeout.Duration) })
	h.flushLedger(ctx)
	copies.Wait()
	h.Log.Info().Str("part", "entry").Int("active", h.gateway.Active()).Msg("entry: stopped")
}
