package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

// servicePrefix is the prefix of the name under which the placer knows a plain
// service, as if it were a model.
const servicePrefix = "service:"

// serviceVersion is the version in the placer of targets of plain services, which
// have no weights.
const serviceVersion = "any"

// serviceTimeout limits one call to a plain service, including its retries.
const serviceTimeout = 30 * time.Second

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Account    string
	Service    string
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// CallService sends a call to one target of a plain service. The call is sent
// again if the previous attempt is known not to have run. One that may have run is
// retried only if it is repeatable, within the budget. There are at most maxAttempts
// attempts. Errors are *failure.Error.
func (d *Dispatcher) CallService(ctx context.Context, call *ServiceCall) (target.ServiceAnswer, error) {
	if err := d.begin(); err != nil {
		return target.ServiceAnswer{}, err
	}
	defer d.running.Done()
	if err := d.admissible(); err != nil {
		return target.ServiceAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	d.mu.Lock()
	d.retries.Earn()
	d.mu.Unlock()
	id := d.nextID()
	req := &placement.Request{
		ID:       id,
		Account:  call.Account,
		Model:    servicePrefix + call.Service,
		Version:  serviceVersion,
		MayProbe: call.Repeatable,
	}
	mayHaveRun, budgeted := false, false
	for attempt := 1; ; attempt++ {
		answer, name, err := d.callUntilPlaced(ctx, req, call, attempt)
		if err == nil {
			d.Ledger.Add(ledger.Row{
				RequestID: id, ClientAccount: call.Account, Model: req.Model, Target: name, At: d.Clock.Now(),
			})
			return answer, nil
		}
		if budgeted && errors.Is(err, errNoServiceTarget) {
			d.returnRetry()
		}
		budgeted = !target.NotRun(err)
		mayHaveRun = mayHaveRun || budgeted
		if !d.mayRepeat(ctx, call, err, attempt) {
			return answer, serviceFailure(err, mayHaveRun)
		}
	}
}

// mayRepeat reports whether a failed call may be sent again, and waits before a
// retry that is taken from the budget.
func (d *Dispatcher) mayRepeat(ctx context.Context, call *ServiceCall, err error, attempt int) bool {
	if attempt >= maxAttempts || ctx.Err() != nil || errors.Is(err, errNoServiceTarget) {
		return false
	}
	if target.NotRun(err) {
		return true
	}
	if !call.Repeatable {
		return false
	}
	d.mu.Lock()
	allowed := d.retries.Spend()
	delay := d.backoff.Delay(d.rng, attempt)
	d.mu.Unlock()
	if !allowed {
		return false
	}
	if clock.Sleep(ctx, d.Clock, delay) != nil {
		d.returnRetry()
		return false
	}
	d.count("attempts.retries")
	return true
}

// callUntilPlaced sends a call as soon as a target is available. It waits at most
// serviceTargetWait for one.
func (d *Dispatcher) callUntilPlaced(ctx context.Context, req *placement.Request, call *ServiceCall, attempt int) (target.ServiceAnswer, string, error) {
	until := d.Clock.Now().Add(serviceTargetWait)
	for {
		answer, name, err := d.callOnce(ctx, req, call, attempt)
		if !errors.Is(err, errNoServiceTarget) || !d.Clock.Now().Before(until) {
			return answer, name, err
		}
		if clock.Sleep(ctx, d.Clock, targetRetryPause) != nil {
			return answer, name, err
		}
	}
}

// serviceTargetWait is the maximum time that a call waits for a target of its
// service.
const serviceTargetWait = time.Second

var errNoServiceTarget = errors.New("no target offers the service now")

// callOnce places a call and sends it once.
func (d *Dispatcher) callOnce(ctx context.Context, req *placement.Request, call *ServiceCall, attempt int) (target.ServiceAnswer, string, error) {
	var decision placement.Decision
	now := d.Clock.Now()
	set := d.Records.Current()
	d.mu.Lock()
	d.placer.Place(now, req, &decision)
	spec := set.Targets[decision.Target]
	if spec == nil {
		d.mu.Unlock()
		return target.ServiceAnswer{}, "", &target.BrokenError{Err: errNoServiceTarget}
	}
	ticket := d.placer.Start(now, req, &decision)
	d.mu.Unlock()
	d.logService(req, &decision, call, attempt)
	url := spec.URL + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	answer, err := d.Targets.Call(ctx, call.Method, url, call.Header, call.Body, call.Repeatable)
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.Clock.Now()
	if err == nil {
		d.placer.RecordFirstToken(now, &ticket)
	}
	d.placer.Finish(now, &ticket)
	if err != nil {
		d.placer.MarkUnreachable(decision.Target)
		req.Exclude = append(req.Exclude, decision.Target)
	}
	return answer, decision.Target, err
}

func serviceFailure(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return failure.MaybeRun(failure.MayHaveRun, "%v", err)
	}
	return failure.Busy(failure.NoTarget, time.Second, "%v", err)
}
