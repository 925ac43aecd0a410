package rollout

import (
	"context"
	"errors"
	"sync"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

// sendOrders sends the due orders concurrently.
func (l *Leader) sendOrders(ctx context.Context, targets []fleet.Target) {
	l.mu.Lock()
	due := l.Plan.Due(l.Steady.Now(), targets)
	fencingToken := l.Lease.FencingToken()
	l.mu.Unlock()
	var sending sync.WaitGroup
	for _, order := range due {
		sending.Go(func() { l.sendOrder(ctx, order, fencingToken) })
	}
	sending.Wait()
}

func (l *Leader) sendOrder(ctx context.Context, order Order, fencingToken int64) {
	l.mu.Lock()
	holds := l.Lease.Holds(l.Steady.Now(), orderTimeout)
	l.mu.Unlock()
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.issueOrder(ctx, &order, fencingToken)
	entry := l.Log.Info()
	if err != nil {
		entry = l.Log.Warn().Err(err)
	}
	entry.Str("part", "rollout").Str("target", order.Target.ID).Str("model", order.Model).
		Int64("version", order.Version).Int64("fence", fencingToken).Int64("after", order.After).
		Msg("rollout: swap order attempted")
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Plan.Accepted(l.Steady.Now(), order.Target.ID)
}

// issueOrder reads the state of the target and sends the order if the lease is still
// valid for half of orderTimeout. If the target is busy or has the version already, it
// sends nothing and returns nil, and the order counts as accepted. The order contains
// the number of orders that the target has accepted, so the target rejects it if it
// accepts another one first.
func (l *Leader) issueOrder(ctx context.Context, order *Order, fencingToken int64) error {
	readAt := l.Steady.Now()
	state, err := l.Targets.State(ctx, order.Target)
	if state.Leaving {
		l.Fleet.MarkLeaving(order.Target.ID, order.Target.Started)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.applyState(readAt, order.Target, &state)
	l.mu.Unlock()
	if state.Busy || state.Versions[order.Model] >= order.Version {
		return nil
	}
	order.After = state.Orders
	l.mu.Lock()
	holds := l.Lease.Holds(l.Steady.Now(), orderTimeout/2)
	l.mu.Unlock()
	if !holds {
		return errLeaseExpired
	}
	return l.Targets.OrderWeights(ctx, *order, l.Host, fencingToken)
}

var errLeaseExpired = errors.New("the lease has expired or expires too soon to send the order")
