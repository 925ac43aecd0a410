package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// leaseKey is the key of the row that holds the lease.
	leaseKey = "lease/weights"
	// checkInterval is the time between two checks for due swaps. It is not longer than
	// the shortest takeover delay, a quarter of takeoverSpread, so that the former
	// holder of the lease checks before another host takes it.
	checkInterval = 100 * time.Millisecond
	// renewDivisor determines when the holder renews the lease: when less than
	// 1/renewDivisor of the TTL remains.
	renewDivisor = 2
	// orderTimeout limits the calls that send one order, and one run of the Cleaner.
	// The calls of an order start only if the lease is valid for at least this long, so
	// that they end before it expires.
	orderTimeout = 600 * time.Millisecond
	// takeoverSpread is the difference between the longest and the shortest takeover
	// delay. It keeps hosts from taking over the lease at the same time.
	takeoverSpread = 400 * time.Millisecond
	// takeoverStep is the difference between two hosts of a group of many, which learn of a change
	// of the lease row from each other, some 0.3 s later. Later hosts then see that the lease is
	// taken. After maxTakeoverTurn hosts, all others may take it.
	takeoverStep    = 250 * time.Millisecond
	maxTakeoverTurn = 20
)

// TableProvider is the subset of the table service that the leader uses.
type TableProvider interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	CommitVersion(ctx context.Context, tx platform.Transaction) (int64, error)
	// Era returns the era of the table service, see platform.Position.
	Era() int64
}

// TargetClient reads the state of targets and sends them swap orders.
type TargetClient interface {
	// State reads the state of a target.
	State(ctx context.Context, t fleet.Target) (TargetState, error)
	// OrderWeights orders a target to load weights. It returns nil if the target
	// accepts the order or has already carried it out.
	OrderWeights(ctx context.Context, order Order, holder string, fencingToken int64) error
}

// Cleaner frees cached data that belongs to replaced weights.
type Cleaner interface {
	// HasObsoleteParts reports whether there is any such data.
	HasObsoleteParts() bool
	// FreeObsoleteParts frees some of it. Stores must reject its calls once leaseLeft has
	// passed since it started, because another host may then hold the lease.
	FreeObsoleteParts(ctx context.Context, leaseLeft time.Duration)
}

// TargetState is the state that a target reports.
type TargetState struct {
	// Orders is the number of orders accepted since the target started.
	Orders int64
	// Busy is set while the target carries out an order.
	Busy bool
	// Versions are the loaded weight versions, by model.
	Versions map[string]int64
	// Leaving reports that the target is leaving.
	Leaving bool
	// Running and Waiting are the numbers of its requests, as of some hundred milliseconds before.
	Running, Waiting int
}

// Leader swaps targets to the requested weights while this host holds the
// lease. The exported fields are set before Run.
type Leader struct {
	Host    string
	Table   TableProvider
	Fleet   *fleet.View
	Targets TargetClient
	Clock   clock.Clock
	// Steady is a monotonic clock that also runs while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	// Requested contains the versions that operators request.
	Requested *RequestedVersions
	Plan      Plan
	// Rank is in [0, 1). Hosts with a lower rank take over a free lease sooner.
	Rank float64
	// TakeoverTurn returns the number of live hosts that take over a free lease before this one, and
	// false in a group of few hosts, where Rank decides. cleanup is set if the lease is needed only for
	// the Cleaner, so that hosts that know of no obsolete parts don't take it. It may be nil.
	TakeoverTurn func(cleanup bool) (turn int, many bool)
	// OnSwapping is called with the ids of the targets that receive no requests
	// (closed) and of those that receive only short requests (draining) whenever one
	// of the two lists changes.
	OnSwapping func(closed, draining []string)
	// Cleaner may be nil.
	Cleaner Cleaner
	// PathLost reports whether this host reaches no target. It may be nil.
	PathLost func() bool
	// MayRead reports whether the state of a target may be read repeatedly, to learn of the end of its
	// swap. It may be nil.
	MayRead func(target string) bool
	// Metrics counts reads of states. It may be nil.
	Metrics metrics.Registry
	Lease   lease.State

	mu sync.Mutex
	// wantedSince is when this host began to need the lease; zero if it does not.
	wantedSince time.Time
	// onlyCleanup is set if it needs the lease only for the Cleaner.
	onlyCleanup bool
	// freeSince is when the lease became free to this host; zero if it isn't.
	freeSince time.Time
	// published is the record last passed to OnSwapping.
	published lease.Record
	rowErrors platform.RowErrors
}

// ApplyRows applies rows of the shared table. If full is set, rows are the
// entire table, so a missing lease row means that no host has taken the lease yet.
func (l *Leader) ApplyRows(rows []platform.Row, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Steady.Now()
	found := false
	for _, row := range rows {
		l.enterEra(now, row.Era)
		if row.Key != leaseKey || row.Removed || row.Era < l.Lease.Era() {
			continue
		}
		found = true
		if !l.Lease.Outdated(row.Version) {
			l.decodeRow(now, row)
		}
	}
	if full && !found && !l.Lease.Outdated(0) {
		l.Lease.Observe(now, lease.Record{}, 0)
	}
}

// decodeRow applies the lease row. The lock must be held.
func (l *Leader) decodeRow(now time.Time, row platform.Row) {
	r, err := lease.Decode(row.Value)
	if err == nil {
		l.observe(now, r, row.Version)
		return
	}
	if l.rowErrors.Due(now, row.Key) {
		l.Log.Error().Str("part", "rollout").Str("key", row.Key).Int64("rowVersion", row.Version).Err(err).
			Msg("rollout: the lease row can't be decoded, the lease is free once the row stays unchanged")
	}
	l.Lease.ObserveUnreadable(now, row.Version)
	if !l.Lease.Holds(now, 0) {
		l.Plan.Forget()
	}
}

// enterEra stops acting on a lease of an earlier era. The lock must be held.
func (l *Leader) enterEra(now time.Time, era int64) {
	before := l.Lease.Era()
	if era <= before {
		return
	}
	l.Lease.EnterEra(now, era)
	l.Plan.Forget()
	l.Log.Warn().Str("part", "rollout").Int64("era", era).Int64("before", before).Int64("fence", l.Lease.FencingToken()).
		Msg("rollout: table service restored from an older copy, leases written before are void")
}

// observe applies the lease row. The lock must be held.
func (l *Leader) observe(now time.Time, r lease.Record, version int64) {
	before := l.Lease.FencingToken()
	l.Lease.Observe(now, r, version)
	if l.Lease.FencingToken() != before {
		l.Log.Info().Str("part", "rollout").Str("holder", r.Holder).Int64("fence", r.FencingToken).
			Int64("rowVersion", version).Msg("rollout: the lease has a new holder")
	}
	if !l.Lease.Holds(now, 0) {
		l.Plan.Forget()
	}
	l.publishSwaps(l.Lease.Record())
}

// publishSwaps calls OnSwapping if the swapping targets have changed. The lock
// must be held.
func (l *Leader) publishSwaps(r lease.Record) {
	if slices.Equal(r.Busy, l.published.Busy) && slices.Equal(r.Pending, l.published.Pending) {
		return
	}
	l.published = r
	l.OnSwapping(r.Busy, r.Pending)
}

// Run checks for due swaps until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { l.readStates(ctx) })
	clock.Every(ctx, l.Clock, checkInterval, l.check)
	return nil
}

// HoldsLease reports whether this host holds the lease.
func (l *Leader) HoldsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Lease.Holds(l.Steady.Now(), 0)
}

func (l *Leader) check(ctx context.Context) {
	obsolete := l.Cleaner != nil && l.Cleaner.HasObsoleteParts()
	l.mu.Lock()
	l.enterEra(l.Steady.Now(), l.Table.Era())
	targets := l.Fleet.Targets()
	requested := l.Requested.All()
	swaps := anyOutdated(targets, requested) || !l.Plan.Idle() || l.rowOutdated()
	now := l.Steady.Now()
	if !swaps && !obsolete {
		l.wantedSince = time.Time{}
		l.mu.Unlock()
		return
	}
	if l.PathLost != nil && l.PathLost() {
		// The lease ends, so that a host that can send orders takes it.
		l.wantedSince = time.Time{}
		l.mu.Unlock()
		return
	}
	if l.wantedSince.IsZero() {
		l.wantedSince = now
	}
	l.onlyCleanup = !swaps
	l.mu.Unlock()
	if !l.ensureLease(ctx, now, targets, requested) {
		return
	}
	l.sendOrders(ctx, targets)
	l.mu.Lock()
	holds := l.Lease.Holds(l.Steady.Now(), orderTimeout)
	l.mu.Unlock()
	if obsolete && holds {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		l.Cleaner.FreeObsoleteParts(ctx, orderTimeout)
	}
}

func anyOutdated(targets []fleet.Target, requested []RequestedVersion) bool {
	for _, t := range targets {
		for _, r := range requested {
			if outdated(t, r) {
				return true
			}
		}
	}
	return false
}

// ensureLease acquires or renews the lease or updates its row if due, and reports
// whether this host may send orders.
func (l *Leader) ensureLease(ctx context.Context, now time.Time, targets []fleet.Target, requested []RequestedVersion) bool {
	l.mu.Lock()
	holds := l.Lease.Holds(now, orderTimeout)
	renew := !l.Lease.Holds(now, l.Lease.TTL/renewDivisor)
	changed := false
	if holds {
		l.Plan.Update(now, targets, requested)
		changed = l.rowOutdated()
	}
	known := l.Lease.Known()
	take := l.mayTake(now)
	l.mu.Unlock()
	switch {
	case !known:
		l.rereadLease(ctx)
		return false
	case holds && !renew && !changed:
		return true
	case holds || take:
		return l.writeLease(ctx)
	default:
		return false
	}
}

// rowOutdated reports whether this host wrote the lease row and the row differs from
// its plan, for example after a failed write. The lock must be held.
func (l *Leader) rowOutdated() bool {
	r := l.Lease.Record()
	if r.Holder != l.Host {
		return false
	}
	closed, draining := l.Plan.Swapping()
	return !slices.Equal(r.Busy, closed) || !slices.Equal(r.Pending, draining)
}

// mayTake reports whether the lease is free and it is this host's turn to take it. The former holder
// doesn't wait, so it is first. The lock must be held.
func (l *Leader) mayTake(now time.Time) bool {
	if !l.Lease.MayTake(now) {
		l.freeSince = time.Time{}
		return false
	}
	if l.freeSince.IsZero() {
		l.freeSince = now
	}
	if l.Lease.Holder() == l.Host {
		return now.After(l.wantedSince)
	}
	if l.TakeoverTurn != nil {
		if turn, many := l.TakeoverTurn(l.onlyCleanup); many {
			// All hosts may have waited for the same lease to expire.
			since := l.wantedSince
			if l.freeSince.After(since) {
				since = l.freeSince
			}
			return now.Sub(since) > checkInterval+time.Duration(min(turn, maxTakeoverTurn))*takeoverStep
		}
	}
	return now.Sub(l.wantedSince) > time.Duration((0.25+l.Rank)*float64(takeoverSpread))
}

// writeLease writes the lease row with this host as holder. The closed targets are
// the busy items of the row, the draining ones its pending items. It reports whether
// the row was written.
func (l *Leader) writeLease(ctx context.Context) bool {
	l.mu.Lock()
	r, version := l.Lease.Next(l.Plan.Swapping())
	before, era := l.Lease.FencingToken(), l.Lease.Era()
	l.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		l.Log.Error().Str("part", "rollout").Err(err).Msg("rollout: encoding the lease row failed")
		return false
	}
	startedAt := l.Steady.Now()
	written, err := l.Table.CommitVersion(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: platform.SharedTable, Key: leaseKey, Version: version}},
		Writes:     []platform.Write{{Table: platform.SharedTable, Key: leaseKey, Value: value}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.Log.Warn().Str("part", "rollout").Int64("rowVersion", version).Err(err).Msg("rollout: writing the lease row failed")
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
			l.Lease.Overtaken()
		case !errors.Is(err, platform.ErrUnavailable):
			l.Lease.RowUnknown()
		}
		return false
	}
	if l.Table.Era() != era {
		// The version on which the write depended may be one that was given out again.
		l.enterEra(l.Steady.Now(), l.Table.Era())
		return false
	}
	l.Lease.Renewed(startedAt, r, written)
	if r.FencingToken != before {
		l.Log.Info().Str("part", "rollout").Int64("fence", r.FencingToken).Int64("rowVersion", written).
			Msg("rollout: this host now holds the lease")
	}
	l.publishSwaps(r)
	return true
}

// rereadLease reads the row if its content is unknown, for example after a failed
// write.
func (l *Leader) rereadLease(ctx context.Context) {
	row, found, err := l.Table.Get(ctx, platform.SharedTable, leaseKey)
	if err != nil {
		l.Log.Warn().Str("part", "rollout").Err(err).Msg("rollout: reading the lease row failed")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(l.Steady.Now(), l.Table.Era())
	switch {
	case !found:
		l.observe(l.Steady.Now(), lease.Record{}, row.Version)
	case row.Era >= l.Lease.Era():
		l.decodeRow(l.Steady.Now(), row)
	}
}
