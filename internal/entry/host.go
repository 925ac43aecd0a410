// Package entry assembles the components of an entry host and runs it from start
// to graceful shutdown.
package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/booking"
	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/version"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/operator"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/store"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	// targetTimeout limits a call to a target or store host that does not run a request.
	targetTimeout = 2 * time.Second
	// maxIdleTargetConnections limits the idle connections to all targets together.
	maxIdleTargetConnections = 256
	// groupLeaveTimeout limits the announcement to peers that this host leaves.
	groupLeaveTimeout = 2 * time.Second
	// idleTimeout limits how long a connection may be idle between two requests.
	idleTimeout = time.Minute
	// defaultMemoryBytes is the memory of a host whose settings state none.
	defaultMemoryBytes = 1 << 30
	// bodyCopies is how often the body of a request is held: as read and as decoded.
	bodyCopies = 3
	// snapshotInterval is the interval between snapshots of the records.
	snapshotInterval = 30 * time.Second
)

// Host is an entry host that is configured by the records of package recordstore.
// Its exported fields must be set before Run.
type Host struct {
	Config config.Config
	Clock  clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	// OnServing is called once with the addresses of the listeners. It may be nil.
	OnServing func(callers, operators net.Addr)
	// OnReady is called once, when the host can serve requests. It may be nil.
	OnReady func(callers net.Addr)

	platform     *platform.Client
	group        *peer.Group
	follower     *recordstore.Follower
	recordWriter *recordstore.Writer
	snapshots    *recordstore.Snapshotter
	ledgerWriter *ledger.Writer
	bookings     *booking.Executor
	dispatcher   *dispatch.Dispatcher
	metrics      metrics.Registry
	budgets      map[string]*bounded.Budget
	stopping     atomic.Bool
	// ended ends when the requests that still run have to be answered, and end ends it.
	ended context.Context
	end   context.CancelFunc
}

// Run serves until stop ends, then shuts down gracefully: running requests are
// completed. The end of force stops waiting for them.
func (h *Host) Run(stop, force context.Context) error {
	sockets, err := h.listen()
	if err != nil {
		return err
	}
	h.build(sockets[2].Addr())
	h.ended, h.end = context.WithCancel(context.Background())
	defer h.end()
	listeners := h.listeners(sockets)
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	defer cancelTasks()
	var running errgroup.Group
	for _, task := range []func(context.Context) error{h.group.Run, h.follower.Run, h.snapshots.Run, h.dispatcher.Run, h.ledgerWriter.Run, h.bookings.Run, h.refreshRateLimits} {
		running.Go(func() error { return task(taskCtx) })
	}
	for _, l := range listeners {
		running.Go(l.serve)
	}
	if h.OnServing != nil {
		h.OnServing(listeners[0].socket.Addr(), listeners[1].socket.Addr())
	}
	if h.OnReady != nil {
		running.Go(func() error { return h.notifyReady(taskCtx, listeners[0].socket.Addr()) })
	}
	h.Log.Info().Str("part", "entry").Str("host", h.Config.Host).Msg("entry: serving callers on " + listeners[0].socket.Addr().String())
	<-stop.Done()
	h.stop(force, listeners)
	cancelTasks()
	return running.Wait()
}

// readyInterval is the interval between readiness checks.
const readyInterval = 20 * time.Millisecond

// notifyReady waits until the host is ready and then calls OnReady.
func (h *Host) notifyReady(ctx context.Context, callers net.Addr) error {
	for ctx.Err() == nil {
		if h.ready() {
			h.OnReady(callers)
			return nil
		}
		_ = clock.Sleep(ctx, h.Clock, readyInterval) // The loop checks ctx.
	}
	return nil
}

// stop shuts the host down in this order: it reports not ready, waits for
// ShutdownDelay, refuses new requests, waits for running ones, ends those that take too long,
// waits for the outcomes of booked calls, writes the counted placements to the ledger, leaves
// the group of peers, closes the listeners and writes the copies of batches of hosts that have gone.
func (h *Host) stop(force context.Context, listeners []*listener) {
	h.Log.Info().Str("part", "entry").Msg("entry: graceful shutdown started")
	h.stopping.Store(true)
	delay, timeout := h.Config.ShutdownDelay.Duration, h.Config.ShutdownTimeout.Duration
	ctx, cancel := context.WithTimeout(force, timeout)
	defer cancel()
	_ = clock.Sleep(ctx, h.Clock, delay) // The steps below observe ctx.
	endCtx, cancelEnd := context.WithTimeout(ctx, timeout-delay-endMarginOf(timeout-delay))
	defer cancelEnd()
	defer context.AfterFunc(endCtx, h.end)()
	if err := h.dispatcher.Stop(ctx); err != nil {
		h.Log.Warn().Str("part", "entry").Err(err).Msg("entry: requests were still running when the graceful shutdown timed out or was forced")
	}
	if err := h.bookings.Drain(ctx); err != nil {
		h.Log.Warn().Str("part", "entry").Err(err).Msg("entry: outcomes of booked calls were still being recorded when the graceful shutdown timed out or was forced")
	}
	h.flushLedger(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(force), groupLeaveTimeout)
	defer cancelLeave()
	h.group.Leave(leaveCtx)
	for _, l := range listeners {
		l.close(ctx)
	}
	writeCopies(ctx, h.group, h.Clock, h.Log, h.Config.Platform.CallTimeout.Duration)
	h.Log.Info().Str("part", "entry").Msg("entry: stopped")
}

// flushLedger writes the counted placements. While the table service is
// unavailable, it retries until every row has a copy on a peer or ctx ends.
func (h *Host) flushLedger(ctx context.Context) {
	for {
		err := h.ledgerWriter.Flush(ctx)
		if err == nil || h.ledgerWriter.Mirrored() {
			return
		}
		if clock.Sleep(ctx, h.Clock, h.Config.Ledger.FlushEvery.Duration) != nil {
			h.Log.Error().Str("part", "ledger").Int("rows", h.ledgerWriter.Buffered()).Err(err).Msg("ledger: rows not written before shutdown, only those copied to a peer can still be written")
			return
		}
	}
}

// refreshRateLimits divides the rate limits of the table service, which apply to all
// entry hosts together, by the number of live hosts.
func (h *Host) refreshRateLimits(ctx context.Context) error {
	clock.Every(ctx, h.Clock, time.Second, func(context.Context) {
		hosts := float64(h.group.HostCount())
		h.platform.Reads.SetLimit(rate.Limit(h.Config.Platform.ReadsPerSecond / hosts))
		h.platform.Writes.SetLimit(rate.Limit(h.Config.Platform.WritesPerSecond / hosts))
	})
	return nil
}

// ready reports whether the balancer may send requests to this host.
func (h *Host) ready() bool {
	return !h.stopping.Load() && h.follower.RecentEnough() && h.dispatcher.TargetsPolled()
}

func (h *Host) build(peerAddress net.Addr) {
	cfg := h.Config
	incarnation := h.Clock.Now().UnixNano()
	h.metrics = metrics.NewRegistry()
	h.budgets = NewBudgets(cmp.Or(cfg.MemoryBytes, defaultMemoryBytes))
	targets := target.NewClient(targetTimeout, maxIdleTargetConnections)
	targets.Room.Parent, targets.Room.Limit = h.budgets[BudgetHeld], min(targets.Room.Limit, h.budgets[BudgetAnswers].Limit)
	h.budgets[BudgetAnswers] = targets.Room
	registerBudgets(h.metrics, h.budgets)
	h.platform = &platform.Client{
		HTTP:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		TableURL:    cfg.Platform.TableURL,
		ObjectURL:   cfg.Platform.ObjectURL,
		HostListURL: cfg.Platform.HostListURL,
		Timeout:     cfg.Platform.CallTimeout.Duration,
		Reads:       rate.NewLimiter(rate.Limit(cfg.Platform.ReadsPerSecond), burst(cfg.Platform.ReadsPerSecond)),
		Writes:      rate.NewLimiter(rate.Limit(cfg.Platform.WritesPerSecond), burst(cfg.Platform.WritesPerSecond)),
		Breaker:     &platform.Breaker{Clock: h.Clock, Failures: cfg.Platform.BreakerFailures, Pause: cfg.Platform.BreakerPause.Duration},
	}
	h.buildGroup(incarnation, peerAddress)
	h.follower = &recordstore.Follower{
		Table: h.platform, Objects: h.platform, Peers: h.group, Clock: h.Clock, Steady: h.Steady, Log: h.Log,
		Poll: cfg.Peers.RevisionPoll.Duration, CutOffAfter: cfg.Peers.CutOffAfter.Duration,
	}
	h.snapshots = &recordstore.Snapshotter{
		Objects: h.platform, Follower: h.follower, Clock: h.Clock, Log: h.Log, Every: snapshotInterval, IsOwner: h.group.IsOwner,
	}
	h.ledgerWriter = &ledger.Writer{
		Host: cfg.Host, Incarnation: incarnation, Table: h.platform, Clock: h.Clock, Log: h.Log,
		FlushEvery: cfg.Ledger.FlushEvery.Duration, BatchRows: cfg.Ledger.BatchRows, BufferRows: cfg.Ledger.BufferRows,
		Mirror: h.group, HostCount: h.group.HostCount, WritesPerSecond: cfg.Ledger.WritesPerSecond,
	}
	h.bookings = &booking.Executor{Host: cfg.Host, Table: h.platform, Clock: h.Clock, Log: h.Log, KeepFor: cfg.Bookings.KeepFor.Duration, IsOwner: h.group.IsOwner}
	h.dispatcher = &dispatch.Dispatcher{
		Host: cfg.Host, Incarnation: incarnation, Config: cfg, Clock: h.Clock, Log: h.Log, Metrics: h.metrics,
		Targets: targets,
		Stores:  &store.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Timeout: targetTimeout},
		Records: h.follower, Peers: h.group, Ledger: h.ledgerWriter,
	}
	h.recordWriter = &recordstore.Writer{Table: h.platform, Follower: h.follower, Clock: h.Clock}
	h.dispatcher.Refuser = &refuser{host: cfg.Host, writer: h.recordWriter}
	_ = h.metrics.Register("ledger.kept", metrics.NewFunctionalGauge(h.group.MirroredRows))
	_ = h.metrics.Register("ledger.buffered", metrics.NewFunctionalGauge(func() int64 { return int64(h.ledgerWriter.Buffered()) }))
	h.dispatcher.Init()
	h.group.Ready = h.ready
	h.group.Local = h.dispatcher
	h.group.Pools = h.dispatcher
	h.group.Watcher = h.dispatcher
	h.group.Records = h.follower
}

func (h *Host) buildGroup(incarnation int64, peerAddress net.Addr) {
	peers := h.Config.Peers
	advertise := peers.Advertise
	if advertise == "" {
		advertise = "http://" + peerAddress.String()
	}
	h.group = &peer.Group{
		Self: membership.Member{
			Name: h.Config.Host, URL: advertise, FailureDomain: h.Config.FailureDomain, Incarnation: incarnation,
			Build: version.String(), Protocol: peer.Protocol,
		},
		Params:   membership.Params{SuspicionTimeout: peers.SuspicionTimeout.Duration, ForgetAfter: peers.ForgetAfter.Duration},
		Interval: peers.Interval.Duration,
		FanOut:   peers.FanOut,
		Seeds:    peers.Seeds,
		HostList: h.platform,
		Clock:    h.Clock,
		Log:      h.Log,
		HTTP:     &http.Client{Transport: &http.Transport{MaxIdleConns: 64, IdleConnTimeout: 10 * time.Second}},
		Ledger:   h.platform,
	}
	h.group.Init()
}

// burst returns the burst size of a rate limit: the calls of one second, but at
// least minBurst, which is enough for the calls of one change of a record.
func burst(perSecond float64) int {
	const minBurst = 8
	return max(minBurst, int(perSecond))
}

// handlers returns the handlers for callers, operators and peers, in the order of
// the sockets of listen.
func (h *Host) handlers() []http.Handler {
	callers := &caller.Server{
		Config: h.Config.Callers, Clock: h.Clock, Records: h.follower, Dispatcher: h.dispatcher,
		Bookings: h.bookings, Stopping: h.stopping.Load, Ended: h.ended,
	}
	operators := &operator.Server{
		Config: h.Config.Operators, Records: h.follower,
		Writer: h.recordWriter,
		Group:  h.group, Ledger: h.platform, Metrics: h.metrics, Ready: h.ready,
	}
	timeout := h.Config.Callers.BodyTimeout.Duration
	return []http.Handler{
		caller.WithBodyBudget(callers.Handler(), h.budgets[BudgetBodies], bodyCopies),
		withBodyLimits(operators.Handler(), h.Clock, h.budgets[BudgetMessages], timeout),
		withBodyLimits(withMessageRoom(h.group.Handler()), h.Clock, h.budgets[BudgetMessages], timeout),
	}
}

// listener is a socket and the HTTP server on it.
type listener struct {
	socket  net.Listener
	server  *http.Server
	drainer *caller.Drainer
}

// listen opens the sockets for callers, operators and peers, in this order.
func (h *Host) listen() ([]net.Listener, error) {
	var sockets []net.Listener
	for _, address := range []string{h.Config.Callers.Listen, h.Config.Operators.Listen, h.Config.Peers.Listen} {
		socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, open := range sockets {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listening on %s: %w", address, err)
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func (h *Host) listeners(sockets []net.Listener) []*listener {
	timeouts := caller.Timeouts{Header: h.Config.Callers.HeaderTimeout.Duration, Idle: idleTimeout}
	connections, exceeded := limitConnections(cmp.Or(h.Config.MemoryBytes, defaultMemoryBytes), openFiles()), countExceeded(h.metrics)
	longHeaders := headerRate(h.budgets[BudgetHeaders])
	most := []int{connections.callers, connections.internal, connections.peers}
	var listeners []*listener
	for i, handler := range h.handlers() {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: timeouts.Header, MaxHeaderBytes: maxHeaderBytes}
		drainer := &caller.Drainer{Listener: sockets[i], Clock: h.Clock}
		bounded := &caller.Listener{Listener: drainer, Clock: h.Clock, Timeouts: func() caller.Timeouts { return timeouts }, Limits: caller.Limits{
			Connections: most[i], HeaderBytes: func() int { return defaultHeaderBytes }, Headers: h.budgets[BudgetHeaders], HeaderRate: longHeaders,
			WriteTimeout: writeTimeout, RefusalBody: caller.RefusalBody, OnExceeded: exceeded,
		}}
		bounded.ConfigureServer(server)
		drainer.ConfigureServer(server)
		listeners = append(listeners, &listener{socket: bounded, server: server, drainer: drainer})
	}
	return listeners
}

func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving on %s: %w", l.socket.Addr(), err)
	}
	return nil
}

// close closes the listener and waits until all connections have ended. When ctx ends, it
// closes those that are left.
func (l *listener) close(ctx context.Context) {
	_ = l.drainer.Drain(ctx) // Close ends what is left.
	_ = l.server.Close()
}
