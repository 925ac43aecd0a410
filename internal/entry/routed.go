package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/operator"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// Translator decodes what the platform and its operators write.
type Translator interface {
	// Config returns nil for a row that holds something else.
	Config(row platform.Row) (*routing.Config, error)
	// Version returns an empty model for a row that holds something else.
	Version(row platform.Row) (model string, version int64, err error)
	// Target returns an error for a row that names no target to use.
	Target(row platform.Row) (fleet.Target, error)
}

// sharedWait is how long one call waits for a change of what the hosts share.
// A stale view of it costs time only, as every write is conditional.
const sharedWait = 10 * time.Second

// RoutedHost is an entry host whose configuration lies in the table service.
// The exported fields are set before Run.
type RoutedHost struct {
	Config config.Routed
	Clock  clock.Clock
	Steady clock.Clock
	Log    *log.Logger
	// OnReady is called once when requests can be served, may be nil.
	OnReady func()

	Codec      platform.Codec
	Transport  http.RoundTripper
	Translator Translator
	// OperatorTable and TargetTable are the tables of operators and targets.
	OperatorTable, TargetTable string
	Targets                    gateway.TargetCaller
	Orders                     rollout.TargetClient
	CacheEvents                gateway.CacheEventCaller
	Freer                      gateway.PartFreer
	// CallerHandler returns the handler of callers' requests.
	CallerHandler func(g *gateway.Gateway, stopping func() bool) http.Handler

	metrics  metrics.Registry
	table    *platform.Client
	fleet    *fleet.View
	gateway  *gateway.Gateway
	leader   *rollout.Leader
	group    *peer.Group
	hosts    *hostRows
	copies   tableCopies
	writer   *ledger.Writer
	stopping atomic.Bool
}

// Run serves until stop ends, then stops as planned; hasten cuts that short.
func (h *RoutedHost) Run(stop, hasten context.Context) error {
	h.build()
	h.copies = h.follow()
	h.group.Tables = h.copies
	h.Log.Info().Str("part", "entry").Str("host", h.Config.Host).Str("failureDomain", h.Config.FailureDomain).
		Str("callers", h.Config.Callers.Listen).Str("table", h.Config.Table.URL).Msg("entry: start")
	servers, err := h.listen()
	if err != nil {
		return err
	}
	duties, endDuties := context.WithCancel(context.WithoutCancel(stop))
	defer endDuties()
	group, ctx := errgroup.WithContext(duties)
	for _, s := range servers {
		group.Go(s.serve)
	}
	for _, duty := range h.duties() {
		group.Go(func() error { return duty(ctx) })
	}
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	h.stop(hasten, servers)
	endDuties()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (h *RoutedHost) build() {
	cfg := h.Config
	incarnation := h.Clock.Now().UnixNano()
	h.metrics = metrics.NewRegistry()
	h.table = &platform.Client{
		HTTP: &http.Client{Transport: h.Transport}, Codec: h.Codec, TableURL: cfg.Table.URL,
		Timeout: cfg.Table.CallTimeout.Duration,
		Reads:   rate.NewLimiter(rate.Limit(cfg.Table.ReadsPerSecond), burstOf(cfg.Table.ReadsPerSecond)),
		Writes:  rate.NewLimiter(rate.Limit(cfg.Table.WritesPerSecond), burstOf(cfg.Table.WritesPerSecond)),
		Breaker: &platform.Breaker{Clock: h.Clock, Failures: cfg.Table.BreakerFailures, Pause: cfg.Table.BreakerPause.Duration},
	}
	h.fleet = fleet.NewView()
	h.fleet.LeaveWithin = cfg.Table.LeaveTimeout.Duration
	h.writer = &ledger.Writer{
		Host: cfg.Host, Incarnation: incarnation, Table: h.table, Clock: h.Clock, Log: h.Log,
		FlushEvery: cfg.Ledger.FlushEvery.Duration, BatchRows: cfg.Ledger.BatchRows, BufferRows: cfg.Ledger.BufferRows,
		WritesPerSecond: cfg.Ledger.WritesPerSecond,
	}
	h.gateway = &gateway.Gateway{
		Host: cfg.Host, FailureDomain: cfg.FailureDomain, Config: cfg, Clock: h.Clock, Steady: h.Steady, Targets: h.Targets,
		Fleet: h.fleet, Ledger: h.writer, Freer: h.Freer, Log: h.Log, Metrics: h.metrics,
	}
	h.gateway.Init()
	h.buildGroup(incarnation)
	h.leader = &rollout.Leader{
		Host: cfg.Host, Table: h.table, Fleet: h.fleet, Targets: h.Orders, Clock: h.Clock, Steady: h.Steady, Log: h.Log,
		Plan: rollout.Plan{
			AtOnce: cfg.Rollout.MaxSwapShare, Loads: cfg.Rollout.MaxLoads, Drain: cfg.Rollout.Drain.Duration, Within: cfg.Rollout.TimeLimit.Duration,
			Settle: cfg.Rollout.SettleDelay.Duration, Keep: cfg.Rollout.KeepRuns, Repeat: cfg.Rollout.RepeatAfter.Duration,
		},
		Rank: rank(cfg.Host), OnSwapping: h.gateway.SetSwapping, Cleaner: h.gateway,
		Lease: lease.State{Host: cfg.Host, Incarnation: incarnation, TTL: cfg.Rollout.Lease.Duration, Margin: cfg.Rollout.QuietPeriod.Duration + cfg.Rollout.QuietMargin.Duration},
	}
}

func (h *RoutedHost) buildGroup(incarnation int64) {
	cfg := h.Config
	url := "http://" + cfg.Peers.Listen
	h.hosts = &hostRows{
		Self:  platform.Host{Name: cfg.Host, URL: url, FailureDomain: cfg.FailureDomain, Kind: "entry"},
		Table: h.table, Clock: h.Clock, Log: h.Log,
	}
	h.group = &peer.Group{
		Self:     membership.Member{Name: cfg.Host, URL: url, FailureDomain: cfg.FailureDomain, Incarnation: incarnation},
		Params:   membership.Params{SuspectAfter: cfg.Peers.SuspectAfter.Duration, ForgetAfter: cfg.Peers.ForgetAfter.Duration},
		Interval: cfg.Peers.Interval.Duration, FanOut: cfg.Peers.FanOut, LoadMaxAge: cfg.Peers.LoadMaxAge.Duration,
		HostList: h.hosts, Clock: h.Clock, Log: h.Log, HTTP: &http.Client{Transport: h.Transport},
		Local: h.gateway, Ledger: h.table, Ready: h.ready,
	}
	h.group.Init()
	h.writer.Mirror, h.writer.Hosts = h.group, h.group.Hosts
	h.gateway.Hosts = h.group.Hosts
}

// rank spreads hosts evenly over [0, 1).
func rank(host string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(host)) // Writing to a hash never fails.
	return float64(hash.Sum32()) / (1 << 32)
}

func (h *RoutedHost) follow() tableCopies {
	table := h.Config.Table
	operators := &platform.Follower{Table: h.OperatorTable, Wait: table.ChangeWait.Duration, Apply: h.applyOperators}
	targets := &platform.Follower{
		Table: h.TargetTable, Wait: table.ChangeWait.Duration, Pause: table.TargetPoll.Duration, Apply: h.applyTargets,
		OnUnavailable: h.fleet.TableUnavailable, OnAvailable: func() { h.fleet.TableAvailable(h.Clock.Now()) },
	}
	shared := &platform.Follower{
		Table: platform.SharedTable, Wait: sharedWait,
		Apply: func(rows []platform.Row, whole bool) {
			h.leader.ApplyRows(rows, whole)
			h.hosts.Follow(rows, whole)
		},
	}
	followers := tableCopies{operators, targets, shared}
	for _, f := range followers {
		f.Client, f.Relay, f.Clock, f.Log = h.table, h.group, h.Clock, h.Log
	}
	return followers
}

func (h *RoutedHost) duties() []func(context.Context) error {
	duties := []func(context.Context) error{
		h.writer.Run, h.leader.Run, h.hosts.Run, h.group.Run, h.expire, h.announce,
		func(ctx context.Context) error { h.gateway.FollowPeers(ctx, h.group); return nil },
		func(ctx context.Context) error { h.gateway.WatchCaches(ctx, h.CacheEvents); return nil },
		func(ctx context.Context) error { h.gateway.WatchStores(ctx, h.CacheEvents); return nil },
	}
	for _, f := range h.copies {
		duties = append(duties, f.Run)
	}
	return duties
}

// applyOperators takes in the configuration and the versions of weights.
func (h *RoutedHost) applyOperators(rows []platform.Row, _ bool) {
	for _, row := range rows {
		c, err := h.Translator.Config(row)
		if err != nil {
			h.Log.Error().Str("part", "config").Int64("rowVersion", row.Version).Err(err).Msg("config: not taken in")
		}
		if c != nil && h.gateway.SetRoutes(c) {
			h.Log.Info().Str("part", "config").Int64("version", c.Version).Int64("rowVersion", row.Version).
				Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts)).Msg("config: in force")
		}
		model, version, err := h.Translator.Version(row)
		if err != nil {
			h.Log.Error().Str("part", "weights").Int64("rowVersion", row.Version).Err(err).Msg("weights: not taken in")
		}
		if model != "" && h.gateway.SetVersion(model, version) {
			h.leader.SetRequestedVersion(model, version)
			h.Log.Info().Str("part", "weights").Str("model", model).Int64("version", version).
				Int64("rowVersion", row.Version).Msg("weights: version asked for")
		}
	}
}

// applyTargets takes in the list of targets, or what has changed in it.
func (h *RoutedHost) applyTargets(rows []platform.Row, whole bool) {
	now := h.Clock.Now()
	var listed []fleet.Target
	for _, row := range rows {
		if row.Removed {
			h.logTarget(row, "gone", h.fleet.Remove(now, row.Key))
			continue
		}
		t, err := h.Translator.Target(row)
		if err != nil {
			h.Log.Warn().Str("part", "targets").Str("target", row.Key).Int64("rowVersion", row.Version).Err(err).
				Msg("targets: entry is not used")
			h.fleet.Remove(now, row.Key)
			continue
		}
		if whole {
			listed = append(listed, t)
			continue
		}
		if h.fleet.Put(t) {
			h.logTarget(row, state(t), true)
		}
	}
	if whole {
		for _, id := range h.fleet.Replace(now, listed) {
			h.Log.Info().Str("part", "targets").Str("target", id).Msg("targets: gone")
		}
		h.Log.Info().Str("part", "targets").Int("targets", len(listed)).Msg("targets: list read")
	}
	h.gateway.TargetsChanged()
}

func state(t fleet.Target) string {
	if t.Leaving {
		return "leaving"
	}
	return "listed"
}

func (h *RoutedHost) logTarget(row platform.Row, state string, atOnce bool) {
	t, _ := h.fleet.Find(row.Key)
	h.Log.Info().Str("part", "targets").Str("target", row.Key).Int64("rowVersion", row.Version).
		Str("service", t.Service).Str("address", t.Address).Any("versions", t.Versions).Int64("started", t.Started).
		Bool("atOnce", atOnce).Msg("targets: " + state)
}

// expireEvery is the time between two looks at targets that didn't return.
const expireEvery = 200 * time.Millisecond

func (h *RoutedHost) expire(ctx context.Context) error {
	clock.Every(ctx, h.Clock, expireEvery, func(context.Context) {
		gone := h.fleet.Expire(h.Clock.Now())
		for _, id := range gone {
			h.Log.Info().Str("part", "targets").Str("target", id).Msg("targets: did not return")
		}
		if len(gone) > 0 {
			h.gateway.TargetsChanged()
		}
	})
	return nil
}

// announce tells once that the host is ready.
func (h *RoutedHost) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if h.gateway.Ready() {
			h.Log.Info().Str("part", "entry").Int64("configVersion", h.gateway.Routes().Version).Msg("entry: ready")
			if h.OnReady != nil {
				h.OnReady()
			}
			return nil
		}
		_ = clock.Sleep(ctx, h.Clock, readyEvery) // The loop looks at ctx.
	}
	return nil
}

func (h *RoutedHost) ready() bool { return !h.stopping.Load() && h.gateway.Ready() }

// headerBytes is the most that is read of any header. What a configuration
// allows callers is checked behind it and lies far below.
const headerBytes = 256 << 10

// The times allowed to callers before a configuration is known, and to peers and
// operators at any time. Both are longer than any pause of theirs.
const (
	firstHeaderTimeout = 10 * time.Second
	firstIdleTimeout   = 75 * time.Second
)

func firstTimes() caller.Timeouts {
	return caller.Timeouts{Header: firstHeaderTimeout, Idle: firstIdleTimeout}
}

// callerTimes returns the limits in force.
func (h *RoutedHost) callerTimes() caller.Timeouts {
	times := firstTimes()
	cfg := h.gateway.Routes()
	if cfg == nil {
		return times
	}
	if cfg.Limits.HeaderTimeout > 0 {
		times.Header = cfg.Limits.HeaderTimeout
	}
	if cfg.Limits.IdleTimeout > 0 {
		times.Idle = cfg.Limits.IdleTimeout
	}
	return times
}

func (h *RoutedHost) listen() ([]*listener, error) {
	callers := h.CallerHandler(h.gateway, h.stopping.Load)
	internal := echo.New()
	internal.HideBanner, internal.HidePort = true, true
	internal.GET("/readyz", operator.Readiness(h.ready))
	internal.GET("/metrics", operator.Metrics(h.metrics))
	var listeners []*listener
	for _, l := range []struct {
		address string
		handler http.Handler
		times   func() caller.Timeouts
	}{
		{h.Config.Callers.Listen, callers, h.callerTimes},
		{h.Config.Readiness.Listen, internal, firstTimes},
		{h.Config.Metrics.Listen, internal, firstTimes},
		{h.Config.Peers.Listen, h.group.Handler(), firstTimes},
	} {
		socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			for _, open := range listeners {
				_ = open.socket.Close()
			}
			return nil, fmt.Errorf("listening on %s: %w", l.address, err)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: firstHeaderTimeout, MaxHeaderBytes: headerBytes}
		bounded := &caller.Listener{Listener: socket, Clock: h.Clock, Timeouts: l.times}
		bounded.ConfigureServer(server)
		listeners = append(listeners, &listener{socket: bounded, server: server})
	}
	return listeners, nil
}

// stop ends in order: first unready, then no new connections, then the running
// requests to their end, at last the ledger.
func (h *RoutedHost) stop(hasten context.Context, listeners []*listener) {
	h.Log.Info().Str("part", "entry").Int("active", h.gateway.Active()).Msg("entry: planned stop begins")
	h.stopping.Store(true)
	delay, within := h.Config.ShutdownTimes()
	ctx, cancel := context.WithTimeout(hasten, within)
	defer cancel()
	_ = clock.Sleep(ctx, h.Clock, delay) // The loop below looks at ctx.
	for _, l := range listeners {
		l.close(ctx)
	}
	h.group.Leave(ctx)
	flush, cancelFlush := context.WithTimeout(context.WithoutCancel(hasten), h.Config.Table.CallTimeout.Duration)
	defer cancelFlush()
	if err := h.writer.Flush(flush); err != nil {
		h.Log.Error().Str("part", "ledger").Int("rows", h.writer.Buffered()).Err(err).Msg("ledger: rows are lost")
	}
	h.Log.Info().Str("part", "entry").Int("active", h.gateway.Active()).Msg("entry: stopped")
}
