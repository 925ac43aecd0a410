package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/lease"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// leaseKey is the row of the lease for weights.
	leaseKey = "lease/weights"
	// lookEvery is the time between two looks at what is due.
	lookEvery = 100 * time.Millisecond
	// renewPart is the part of the lease after which it is renewed: one in this
	// many.
	renewPart = 2
	// orderTimeout bounds one order, so that it ends while the lease holds.
	orderTimeout = 600 * time.Millisecond
	// takeSpread spreads the hosts that would take the lease at the same time.
	takeSpread = 400 * time.Millisecond
)

// TableProvider is the part of the table service that the leader needs.
type TableProvider interface {
	Get(ctx context.Context, table, key string) (platform.Row, bool, error)
	CommitVersion(ctx context.Context, tx platform.Transaction) (int64, error)
}

// TargetClient gives orders to targets.
type TargetClient interface {
	// State asks a target what it holds.
	State(ctx context.Context, t fleet.Target) (TargetState, error)
	// OrderWeights tells a target to load weights once its present work is done.
	// It returns nil when the order is accepted or already carried out.
	OrderWeights(ctx context.Context, order Order, holder string, fence int64) error
}

// Cleaner frees what weights that were replaced have left behind.
type Cleaner interface {
	// HasObsoleteParts reports whether there is anything to free.
	HasObsoleteParts() bool
	// FreeObsoleteParts frees some of it; the lease holds for within.
	FreeObsoleteParts(ctx context.Context, within time.Duration)
}

// TargetState is what a target says of itself.
type TargetState struct {
	// Orders is the number of orders it has accepted since its start.
	Orders int64
	// Busy tells that it carries one out.
	Busy     bool
	Versions map[string]int64
}

// Leader brings targets to the weights asked for while it holds the lease. The
// exported fields are set before Run.
type Leader struct {
	Host    string
	Table   TableProvider
	Fleet   *fleet.View
	Targets TargetClient
	Clock   clock.Clock
	// Steady also counts while the host is suspended.
	Steady clock.Clock
	Log    *log.Logger
	Plan   Plan
	// Rank orders the hosts that want the lease; it is in [0, 1).
	Rank float64
	// OnSwapping is told which targets are out of use, and which get short work
	// only.
	OnSwapping func(closed, draining []string)
	// Cleaner may be nil.
	Cleaner Cleaner
	Lease   lease.State

	mu    sync.Mutex
	named map[string]RequestedVersion
	// wanted is since when this host has wanted the lease.
	wanted time.Time
	told   lease.Record
}

// SetRequestedVersion takes in the version that operators ask for.
func (l *Leader) SetRequestedVersion(model string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named == nil {
		l.named = map[string]RequestedVersion{}
	}
	if l.named[model].Version < version {
		named := l.named[model]
		named.Model = model
		l.named[model] = named.Supersede(version, l.Clock.Now())
	}
}

// ApplyRows takes in rows of the shared table.
func (l *Leader) ApplyRows(rows []platform.Row, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Steady.Now()
	found := false
	for _, row := range rows {
		if row.Key != leaseKey || row.Removed {
			continue
		}
		found = true
		r, err := lease.Decode(row.Value)
		if err != nil {
			l.Log.Error().Str("part", "rollout").Str("key", row.Key).Err(err).Msg("rollout: lease can't be read")
			continue
		}
		l.observe(now, r, row.Version)
	}
	if whole && !found {
		l.Lease.Observe(now, lease.Record{}, 0)
	}
}

// observe takes in the row. The lock must be held.
func (l *Leader) observe(now time.Time, r lease.Record, version int64) {
	before := l.Lease.FencingToken()
	l.Lease.Observe(now, r, version)
	if l.Lease.FencingToken() != before {
		l.Log.Info().Str("part", "rollout").Str("holder", r.Holder).Int64("fence", r.FencingToken).
			Int64("rowVersion", version).Msg("rollout: another host holds the lease")
	}
	if !l.Lease.Holds(now, 0) {
		l.Plan.Forget()
	}
	l.tell(l.Lease.Record())
}

// tell passes the swapping targets on when they have changed. The lock must be
// held.
func (l *Leader) tell(r lease.Record) {
	if slices.Equal(r.Busy, l.told.Busy) && slices.Equal(r.Pending, l.told.Pending) {
		return
	}
	l.told = r
	l.OnSwapping(r.Busy, r.Pending)
}

// Run looks for work until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	clock.Every(ctx, l.Clock, lookEvery, l.look)
	return nil
}

func (l *Leader) look(ctx context.Context) {
	obsolete := l.Cleaner != nil && l.Cleaner.HasObsoleteParts()
	l.mu.Lock()
	targets := l.Fleet.Targets()
	named := l.namedList()
	due := anyBehind(targets, named) || obsolete
	now := l.Steady.Now()
	if !due && l.Plan.Idle() && !l.stale() {
		l.wanted = time.Time{}
		l.mu.Unlock()
		return
	}
	if l.wanted.IsZero() {
		l.wanted = now
	}
	l.mu.Unlock()
	if !l.hold(ctx, now, targets, named) {
		return
	}
	l.orders(ctx, targets)
	if obsolete {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		l.Cleaner.FreeObsoleteParts(ctx, orderTimeout)
	}
}

func (l *Leader) namedList() []RequestedVersion {
	list := make([]RequestedVersion, 0, len(l.named))
	for _, n := range l.named {
		list = append(list, n)
	}
	return list
}

func anyBehind(targets []fleet.Target, named []RequestedVersion) bool {
	for _, t := range targets {
		for _, n := range named {
			if behind(t, n) {
				return true
			}
		}
	}
	return false
}

// hold takes or renews the lease where that is due, and reports whether this
// host may give orders.
func (l *Leader) hold(ctx context.Context, now time.Time, targets []fleet.Target, named []RequestedVersion) bool {
	l.mu.Lock()
	holds := l.Lease.Holds(now, orderTimeout)
	renew := !l.Lease.Holds(now, l.Lease.TTL/renewPart)
	changed := false
	if holds {
		l.Plan.Update(l.Clock.Now(), targets, named)
		changed = l.stale()
	}
	known := l.Lease.Known()
	take := l.Lease.MayTake(now) && now.Sub(l.wanted) > l.patience()
	l.mu.Unlock()
	switch {
	case !known:
		l.reread(ctx)
		return false
	case holds && !renew && !changed:
		return true
	case holds || take:
		return l.write(ctx)
	default:
		return false
	}
}

// stale reports whether this host's row says something else than its plan, as
// it does after a write that failed. The lock must be held.
func (l *Leader) stale() bool {
	r := l.Lease.Record()
	if r.Holder != l.Host {
		return false
	}
	closed, draining := l.Plan.Swapping()
	return !slices.Equal(r.Busy, closed) || !slices.Equal(r.Pending, draining)
}

// patience lets the former holder go first. The lock must be held.
func (l *Leader) patience() time.Duration {
	if l.Lease.Holder() == l.Host {
		return 0
	}
	return time.Duration((0.25 + l.Rank) * float64(takeSpread))
}

// write writes this host into the lease, with the targets that are swapping.
func (l *Leader) write(ctx context.Context) bool {
	l.mu.Lock()
	r, version := l.Lease.Next(l.Plan.Swapping())
	before := l.Lease.FencingToken()
	l.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		l.Log.Error().Str("part", "rollout").Err(err).Msg("rollout: encoding the lease")
		return false
	}
	begun := l.Steady.Now()
	written, err := l.Table.CommitVersion(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: platform.SharedTable, Key: leaseKey, Version: version}},
		Writes:     []platform.Write{{Table: platform.SharedTable, Key: leaseKey, Value: value}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.Log.Warn().Str("part", "rollout").Int64("rowVersion", version).Err(err).Msg("rollout: lease not written")
		if !errors.Is(err, platform.ErrUnavailable) {
			l.Lease.Unknown()
		}
		return false
	}
	l.Lease.Renewed(begun, r, written)
	if r.FencingToken != before {
		l.Log.Info().Str("part", "rollout").Int64("fence", r.FencingToken).Int64("rowVersion", written).
			Msg("rollout: this host holds the lease")
	}
	l.tell(r)
	return true
}

// reread finds out what became of a write whose answer was lost.
func (l *Leader) reread(ctx context.Context) {
	row, found, err := l.Table.Get(ctx, platform.SharedTable, leaseKey)
	if err != nil {
		l.Log.Warn().Str("part", "rollout").Err(err).Msg("rollout: lease can't be read")
		return
	}
	var r lease.Record
	if found {
		if r, err = lease.Decode(row.Value); err != nil {
			l.Log.Error().Str("part", "rollout").Err(err).Msg("rollout: lease can't be read")
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(l.Steady.Now(), r, row.Version)
}

// orders sends what is due, each target on its own goroutine.
func (l *Leader) orders(ctx context.Context, targets []fleet.Target) {
	l.mu.Lock()
	due := l.Plan.Due(l.Clock.Now(), targets)
	fence := l.Lease.FencingToken()
	l.mu.Unlock()
	var sending sync.WaitGroup
	for _, order := range due {
		sending.Go(func() { l.send(ctx, order, fence) })
	}
	sending.Wait()
}

func (l *Leader) send(ctx context.Context, order Order, fence int64) {
	l.mu.Lock()
	holds := l.Lease.Holds(l.Steady.Now(), orderTimeout)
	l.mu.Unlock()
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.order(ctx, &order, fence)
	entry := l.Log.Info()
	if err != nil {
		entry = l.Log.Warn().Err(err)
	}
	entry.Str("part", "rollout").Str("target", order.Target.ID).Str("model", order.Model).
		Int64("version", order.Version).Int64("fence", fence).Int64("after", order.After).
		Msg("rollout: order sent")
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Plan.Accepted(l.Clock.Now(), order.Target.ID)
}

// order asks the target for its state, so that the order is void once another
// one was accepted, and sends it while the lease still holds.
func (l *Leader) order(ctx context.Context, order *Order, fence int64) error {
	state, err := l.Targets.State(ctx, order.Target)
	if err != nil {
		return err
	}
	if state.Busy || state.Versions[order.Model] >= order.Version {
		return nil
	}
	order.After = state.Orders
	l.mu.Lock()
	holds := l.Lease.Holds(l.Steady.Now(), orderTimeout/2)
	l.mu.Unlock()
	if !holds {
		return errLapsed
	}
	return l.Targets.OrderWeights(ctx, *order, l.Host, fence)
}

var errLapsed = errors.New("the lease lapsed before the order")
