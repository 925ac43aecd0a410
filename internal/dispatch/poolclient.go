package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

const (
	// decideTimeout limits one request for admission by the owner of a pool,
	// which holds it for at most maxDecideWait.
	decideTimeout = maxDecideWait + 500*time.Millisecond
	// observeInterval is the time between two messages to an owner about tokens.
	observeInterval = 50 * time.Millisecond
	// observeTimeout limits one message to an owner.
	observeTimeout = 300 * time.Millisecond
	// observeDelay is how long the report of a first token or of the end of an
	// attempt or job is delayed, so that others are sent with it.
	observeDelay = time.Millisecond
	// equalShareFor is how long a host uses an equal share of the capacity and of
	// the limits of accounts after a pool had no owner that answered.
	equalShareFor = 5 * time.Second
	// poolPrefix is the prefix of the names under which owners of pools are
	// looked up.
	poolPrefix = "pool/"
	// hedgeAskInterval is the time between two requests to an owner, or two searches for
	// a target, about a late first token.
	hedgeAskInterval = 100 * time.Millisecond
)

// errOwnerUnresponsive reports that no host is ready to own a pool or that its
// owner did not answer. The requesting host then decides itself, based on what it
// knows.
var errOwnerUnresponsive = errors.New("the owner of the pool does not answer")

// poolJob is a job that the owner of a pool has admitted for this host.
type poolJob struct {
	url string
	id  int64
	// next is a decision that has not been used yet.
	next *wire.DecideResponse
	// ownerLost is set once the owner did not answer.
	ownerLost bool
}

// admit waits until the request may run. It is admitted by the owner of its
// pool, or by this host's own queue if this host is the owner, no host is ready to
// be the owner, or the owner does not answer.
func (r *run) admit(ctx context.Context) error {
	url, self := r.d.Peers.PoolOwner(poolPrefix + r.poolName)
	if self {
		return r.d.acquire(ctx, r.job)
	}
	err := errOwnerUnresponsive
	if url != "" {
		err = r.admitByOwner(ctx, url)
	}
	if !errors.Is(err, errOwnerUnresponsive) {
		return err
	}
	r.d.useEqualShare()
	return r.d.acquire(ctx, r.job)
}

// useEqualShare gives this host an equal share of the capacity and of the limits
// of accounts for equalShareFor, since it has reported no demand that would give
// it a share.
func (d *Dispatcher) useEqualShare() {
	d.count("pool.fallbacks")
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.equalShareUntil = now.Add(equalShareFor)
	d.shareLimits(now)
}

// admitByOwner waits until the owner of the pool has admitted the request.
func (r *run) admitByOwner(ctx context.Context, url string) error {
	id := int64(0)
	for {
		left := r.job.Deadline.Sub(r.d.Clock.Now())
		if left <= 0 {
			r.d.observer.endJob(url, id, 0)
			return failure.Busy(failure.Overloaded, time.Second, "the request was not admitted before its deadline")
		}
		req := r.decideRequest()
		req.Job = id
		req.WaitMillis = left.Milliseconds()
		answer, err := r.askOwner(ctx, url, req, decideTimeout)
		if err != nil {
			r.d.observer.endJob(url, id, 0)
			return err
		}
		if answer.Refusal != "" {
			retryAfter := time.Duration(answer.RetryAfterMillis) * time.Millisecond
			return refusalError(&admission.Refusal{Reason: admission.RefusalReason(answer.Refusal), RetryAfter: retryAfter})
		}
		id = answer.Job
		if answer.Admitted {
			r.pool = &poolJob{url: url, id: id, next: answer}
			r.inShare = answer.InShare
			r.d.observer.beginJob(url, id)
			return nil
		}
	}
}

// askOwner sends a request to the owner of the pool. An owner that can't decide
// (refusalStopping) is treated as one that does not answer.
func (r *run) askOwner(ctx context.Context, url string, req *wire.DecideRequest, timeout time.Duration) (*wire.DecideResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := r.d.Peers.Decide(callCtx, url, req)
	if ctx.Err() != nil {
		return nil, failure.NotRun(499, failure.DeadlineExceeded, "the request was cancelled or timed out before it was admitted")
	}
	if err != nil || answer.Refusal == refusalStopping {
		return nil, errOwnerUnresponsive
	}
	return answer, nil
}

func (r *run) decideRequest() *wire.DecideRequest {
	req := &wire.DecideRequest{
		Host:         r.d.Host,
		RequestId:    r.id,
		Account:      r.request.Account,
		Model:        r.request.Model,
		Version:      r.request.Version,
		PromptTokens: int32(r.request.PromptTokens),
		AnswerTokens: int32(r.request.AnswerTokens),
		Long:         r.request.Long,
		Suspect:      r.request.Suspect,
		Exclude:      r.request.Exclude,
	}
	for _, key := range r.request.Chain {
		req.Chain = append(req.Chain, key[:])
	}
	return req
}

// releaseJob ends the admitted job.
func (r *run) releaseJob() {
	if r.pool != nil {
		r.d.observer.endJob(r.pool.url, r.pool.id, r.actualWork())
		return
	}
	r.d.release(r.job, r.actualWork())
}

// place chooses the target of an attempt. The owner of the pool decides if it
// has admitted the request and answers; otherwise this host decides. There is no
// target if the request has ended while the owner was asked.
func (r *run) place(ctx context.Context, at *attempt) {
	if r.pool != nil && !r.pool.ownerLost {
		answer := r.pool.next
		r.pool.next = nil
		if answer == nil {
			answer = r.askOwnerToPlace(ctx, 0)
		}
		if answer != nil {
			r.applyDecision(at, answer)
			return
		}
		if ctx.Err() != nil {
			return // The request has ended, the owner may be sound.
		}
		r.pool.ownerLost = true
		r.d.useEqualShare()
	}
	now := r.d.Clock.Now()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.placer.Place(now, &r.request, &at.decision)
	if at.decision.Target != "" {
		at.ticket = r.d.placer.Start(now, &r.request, &at.decision)
	}
}

// askOwnerToPlace requests a target from the owner, or a second target if
// lateTicket names a late attempt. It returns nil if the owner does not answer.
// The owner also reports whether another request caused the last crash, which
// then no longer counts against this one.
func (r *run) askOwnerToPlace(ctx context.Context, lateTicket int64) *wire.DecideResponse {
	req := r.decideRequest()
	req.Job = r.pool.id
	req.LateTicket = lateTicket
	req.DiedOn = r.diedOn
	answer, err := r.askOwner(ctx, r.pool.url, req, r.d.Config.Placement.OwnerTimeout.Duration)
	if err != nil {
		return nil
	}
	if answer.Innocent {
		r.d.mu.Lock()
		for _, key := range r.keys.All() {
			r.d.suspects.WithdrawCrash(r.diedOn, key)
		}
		r.d.mu.Unlock()
	}
	r.diedOn = ""
	return answer
}

// applyDecision converts an answer of the owner to a decision and a ticket that
// only the owner's placer knows.
func (r *run) applyDecision(at *attempt, answer *wire.DecideResponse) {
	at.decision = placement.Decision{
		Target: answer.Target,
		Reason: placement.Reason(answer.Reason),
		Chosen: placement.Estimate{
			Target: answer.Target, Wait: answer.Wait, Import: answer.Import, Prefill: answer.Prefill, Penalty: answer.Penalty,
			Slowness: answer.Slowness, Source: placement.Source(answer.Source),
			ReusedTokens: int(answer.ReusedTokens), ImportedTokens: int(answer.ImportedTokens),
		},
		Store:        answer.Store,
		ImportBlocks: min(int(answer.ImportPieces), len(r.request.Chain)),
	}
	at.decision.Considered = []placement.Estimate{at.decision.Chosen}
	at.ticket = placement.Ticket{
		Target:        answer.Target,
		PlacedAt:      r.d.Clock.Now(),
		ExpectedFirst: time.Duration(answer.ExpectedFirstMicros) * time.Microsecond,
	}
	at.owner = r.pool.url
	at.ownerTicket = answer.Ticket
}

// observer collects the outcomes of decisions that other hosts have made, to be
// reported to these hosts.
type observer struct {
	// urgent contains a signal if a first token or the end of an attempt or job
	// must be reported soon.
	urgent chan struct{}

	mu     sync.Mutex
	owners map[string]*ownerReport
}

func newObserver() *observer {
	return &observer{urgent: make(chan struct{}, 1), owners: map[string]*ownerReport{}}
}

// sendSoon makes the collected messages be sent after observeDelay.
func (o *observer) sendSoon() {
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}

// ownerReport contains what must be reported to one owner. Jobs are identified by
// the IDs that the owner chose for them, attempts by the owner's tickets.
type ownerReport struct {
	running      map[int64]bool
	observations map[int64]*wire.Observation
	firstTokens  map[int64]time.Time
	ended        []*wire.JobEnd
	unreachable  []string
	leaving      []string
}

// pending returns the report that is being collected for an owner. The lock
// must be held.
func (o *observer) pending(url string) *ownerReport {
	report := o.owners[url]
	if report == nil {
		report = &ownerReport{running: map[int64]bool{}, observations: map[int64]*wire.Observation{}, firstTokens: map[int64]time.Time{}}
		o.owners[url] = report
	}
	return report
}

func (o *observer) beginJob(url string, id int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending(url).running[id] = true
}

func (o *observer) endJob(url string, id int64, actualWork float64) {
	if id == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	report := o.pending(url)
	delete(report.running, id)
	report.ended = append(report.ended, &wire.JobEnd{Job: id, ActualWork: actualWork})
	o.sendSoon()
}

// update changes the observation of an attempt for which an owner has decided.
func (o *observer) update(at *attempt, change func(*wire.Observation)) {
	if at.ownerTicket == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	report := o.pending(at.owner)
	obs := report.observations[at.ownerTicket]
	if obs == nil {
		obs = &wire.Observation{Ticket: at.ownerTicket}
		report.observations[at.ownerTicket] = obs
	}
	change(obs)
	if obs.Ended {
		o.sendSoon()
	}
}

func (o *observer) recordFirstToken(now time.Time, at *attempt) {
	o.update(at, func(obs *wire.Observation) { obs.FirstToken = true })
	if at.ownerTicket != 0 {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.pending(at.owner).firstTokens[at.ownerTicket] = now
		o.sendSoon()
	}
}

func (o *observer) targetUnavailable(at *attempt, leaving bool) {
	if at.ownerTicket == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	report := o.pending(at.owner)
	if leaving {
		report.leaving = append(report.leaving, at.ticket.Target)
		return
	}
	report.unreachable = append(report.unreachable, at.ticket.Target)
}

// takeMessages returns the messages to send and starts collecting new ones. An
// owner without anything to report and without jobs is removed.
func (o *observer) takeMessages(now time.Time, host string) map[string]*wire.ObserveRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := map[string]*wire.ObserveRequest{}
	for url, report := range o.owners {
		message := &wire.ObserveRequest{Host: host, Ended: report.ended, Unreachable: report.unreachable, Leaving: report.leaving}
		for id := range report.running {
			message.Running = append(message.Running, id)
		}
		for ticket, obs := range report.observations {
			if obs.FirstToken {
				obs.FirstTokenAgeMicros = now.Sub(report.firstTokens[ticket]).Microseconds()
			}
			message.Observations = append(message.Observations, obs)
		}
		if len(message.Running)+len(message.Observations)+len(message.Ended) == 0 {
			delete(o.owners, url)
			continue
		}
		messages[url] = message
		report.observations = map[int64]*wire.Observation{}
		report.firstTokens = map[int64]time.Time{}
		report.ended, report.unreachable, report.leaving = nil, nil, nil
	}
	return messages
}

// sendObservations reports what was collected to the owners until ctx ends.
func (d *Dispatcher) sendObservations(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.Clock.After(observeInterval):
		case <-d.observer.urgent:
			_ = clock.Sleep(ctx, d.Clock, observeDelay)
		}
		d.sendToOwners(ctx)
	}
}

// sendToOwners sends what was collected. A lost message only makes the owner's
// decisions less accurate: the owner ends jobs by itself that are no longer
// reported as running.
func (d *Dispatcher) sendToOwners(ctx context.Context) {
	var calls sync.WaitGroup
	for url, message := range d.observer.takeMessages(d.Clock.Now(), d.Host) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, observeTimeout)
			defer cancel()
			if d.Peers.Observe(callCtx, url, message) != nil {
				d.count("pool.untold")
			}
		})
	}
	calls.Wait()
}
