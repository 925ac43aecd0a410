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
	// decideWithin bounds one question to the home of a pool, which holds it for
	// decideHold at most.
	decideWithin = decideHold + 500*time.Millisecond
	// placeWithin bounds a question that the home answers at once.
	placeWithin = 300 * time.Millisecond
	// observeEvery is the time between two messages to a home about tokens.
	observeEvery = 50 * time.Millisecond
	// observeSoon is how long a first token or an end waits for others to go with
	// it.
	observeSoon = time.Millisecond
	// aloneFor is how long a host decides by itself after a home gave no answer.
	aloneFor = 5 * time.Second
	// poolPrefix begins the names by which homes of pools are found.
	poolPrefix = "pool/"
	// hedgeAskEvery is the time between two questions about a late first token.
	hedgeAskEvery = 100 * time.Millisecond
)

// errHomeSilent says that the home of a pool gave no answer. The asking host
// then decides by its own view.
var errHomeSilent = errors.New("the home of the pool gives no answer")

// poolJob is a job that the home of a pool has admitted for this host.
type poolJob struct {
	url string
	id  int64
	// next is a decision that has not been used yet.
	next *wire.DecideResponse
	// lost is set when the home gave no answer.
	lost bool
}

// admit waits until the request may run: by the home of its pool, or by this
// host's own queue when it is the home or the home gives no answer.
func (r *run) admit(ctx context.Context) error {
	url, self := r.d.Peers.PoolOwner(poolPrefix + r.poolName)
	if self {
		return r.d.acquire(ctx, r.job)
	}
	err := errHomeSilent
	if url != "" {
		err = r.admitAt(ctx, url)
	}
	if !errors.Is(err, errHomeSilent) {
		return err
	}
	r.d.decideAlone()
	return r.d.acquire(ctx, r.job)
}

// decideAlone gives this host an equal part of the capacity for a while, since
// the demand that it has reported was none.
func (d *Dispatcher) decideAlone() {
	d.count("pool.fallbacks")
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aloneUntil = now.Add(aloneFor)
	d.shareLimits(now)
}

// admitAt waits until the home of the pool has admitted the request.
func (r *run) admitAt(ctx context.Context, url string) error {
	id := int64(0)
	for {
		left := r.job.Deadline.Sub(r.d.Clock.Now())
		if left <= 0 {
			r.d.observer.endJob(url, id, 0)
			return failure.Busy(failure.Overloaded, time.Second, "not admitted within its deadline")
		}
		ask := r.question()
		ask.Job = id
		ask.WaitMillis = left.Milliseconds()
		answer, err := r.ask(ctx, url, ask, decideWithin)
		if err != nil {
			r.d.observer.endJob(url, id, 0)
			return err
		}
		if answer.Refusal != "" {
			retryAfter := time.Duration(answer.RetryAfterMillis) * time.Millisecond
			return refused(&admission.Refusal{Reason: admission.RefusalReason(answer.Refusal), RetryAfter: retryAfter})
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

// ask puts a question to the home of the pool. A home that stops counts as one
// that gives no answer.
func (r *run) ask(ctx context.Context, url string, ask *wire.DecideRequest, within time.Duration) (*wire.DecideResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	answer, err := r.d.Peers.Decide(callCtx, url, ask)
	if ctx.Err() != nil {
		return nil, failure.NotRun(499, failure.DeadlineExceeded, "the caller went away")
	}
	if err != nil || answer.Refusal == refusedStopping {
		return nil, errHomeSilent
	}
	return answer, nil
}

func (r *run) question() *wire.DecideRequest {
	ask := &wire.DecideRequest{
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
		ask.Chain = append(ask.Chain, key[:])
	}
	return ask
}

// leave ends the admitted job.
func (r *run) leave() {
	if r.pool != nil {
		r.d.observer.endJob(r.pool.url, r.pool.id, r.actualWork())
		return
	}
	r.d.release(r.job, r.actualWork())
}

// place chooses the target of an attempt: by the home of the pool if it has
// admitted the request and answers, else by this host's own view.
func (r *run) place(ctx context.Context, at *attempt) {
	if r.pool != nil && !r.pool.lost {
		answer := r.pool.next
		r.pool.next = nil
		if answer == nil {
			answer = r.askPlace(ctx, 0)
		}
		if answer != nil {
			r.takeAnswer(at, answer)
			return
		}
		r.pool.lost = true
		r.d.decideAlone()
	}
	now := r.d.Clock.Now()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.board.Place(now, &r.request, &at.decision)
	if at.decision.Target != "" {
		at.ticket = r.d.board.Start(now, &r.request, &at.decision)
	}
}

// askPlace asks the home for a target, or for one beside a late attempt. It
// returns nil when the home gives no answer.
func (r *run) askPlace(ctx context.Context, lateTicket int64) *wire.DecideResponse {
	ask := r.question()
	ask.Job = r.pool.id
	ask.LateTicket = lateTicket
	ask.DiedOn = r.diedOn
	answer, err := r.ask(ctx, r.pool.url, ask, placeWithin)
	if err != nil {
		return nil
	}
	if answer.Innocent {
		r.d.mu.Lock()
		r.d.suspects.WithdrawCrash(r.fingerprint)
		r.d.mu.Unlock()
	}
	r.diedOn = ""
	return answer
}

// takeAnswer turns an answer of the home into a decision and a ticket that only
// the home's board knows.
func (r *run) takeAnswer(at *attempt, answer *wire.DecideResponse) {
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
	at.home = r.pool.url
	at.homeTicket = answer.Ticket
}

// observer gathers what became of the decisions of other hosts and tells them.
type observer struct {
	// urgent holds a sign when a first token or an end is to be told soon.
	urgent chan struct{}

	mu    sync.Mutex
	homes map[string]*homeNews
}

func newObserver() *observer {
	return &observer{urgent: make(chan struct{}, 1), homes: map[string]*homeNews{}}
}

// hurry makes the next message go soon.
func (o *observer) hurry() {
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}

// homeNews is what one home is to be told.
type homeNews struct {
	running      map[int64]bool
	observations map[int64]*wire.Observation
	firstTokens  map[int64]time.Time
	ended        []*wire.JobEnd
	unreachable  []string
	leaving      []string
}

// news returns what is gathered for a home. The lock must be held.
func (o *observer) news(url string) *homeNews {
	n := o.homes[url]
	if n == nil {
		n = &homeNews{running: map[int64]bool{}, observations: map[int64]*wire.Observation{}, firstTokens: map[int64]time.Time{}}
		o.homes[url] = n
	}
	return n
}

func (o *observer) beginJob(url string, id int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.news(url).running[id] = true
}

func (o *observer) endJob(url string, id int64, actualWork float64) {
	if id == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.news(url)
	delete(n.running, id)
	n.ended = append(n.ended, &wire.JobEnd{Job: id, ActualWork: actualWork})
	o.hurry()
}

// note changes the observation of an attempt that a home decided.
func (o *observer) note(at *attempt, change func(*wire.Observation)) {
	if at.homeTicket == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.news(at.home)
	known := n.observations[at.homeTicket]
	if known == nil {
		known = &wire.Observation{Ticket: at.homeTicket}
		n.observations[at.homeTicket] = known
	}
	change(known)
	if known.Ended {
		o.hurry()
	}
}

func (o *observer) firstToken(now time.Time, at *attempt) {
	o.note(at, func(known *wire.Observation) { known.FirstToken = true })
	if at.homeTicket != 0 {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.news(at.home).firstTokens[at.homeTicket] = now
		o.hurry()
	}
}

func (o *observer) targetGone(at *attempt, leaving bool) {
	if at.homeTicket == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.news(at.home)
	if leaving {
		n.leaving = append(n.leaving, at.ticket.Target)
		return
	}
	n.unreachable = append(n.unreachable, at.ticket.Target)
}

// take returns the messages to send and starts to gather anew. Homes without
// news and without jobs are forgotten.
func (o *observer) take(now time.Time, host string) map[string]*wire.ObserveRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := map[string]*wire.ObserveRequest{}
	for url, n := range o.homes {
		message := &wire.ObserveRequest{Host: host, Ended: n.ended, Unreachable: n.unreachable, Leaving: n.leaving}
		for id := range n.running {
			message.Running = append(message.Running, id)
		}
		for ticket, known := range n.observations {
			if known.FirstToken {
				known.FirstTokenAgeMicros = now.Sub(n.firstTokens[ticket]).Microseconds()
			}
			message.Observations = append(message.Observations, known)
		}
		if len(message.Running)+len(message.Observations)+len(message.Ended) == 0 {
			delete(o.homes, url)
			continue
		}
		messages[url] = message
		n.observations = map[int64]*wire.Observation{}
		n.firstTokens = map[int64]time.Time{}
		n.ended, n.unreachable, n.leaving = nil, nil, nil
	}
	return messages
}

// watchObserver tells homes what was gathered until ctx ends.
func (d *Dispatcher) watchObserver(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.Clock.After(observeEvery):
		case <-d.observer.urgent:
			_ = clock.Sleep(ctx, d.Clock, observeSoon)
		}
		d.tellHomes(ctx)
	}
}

// tellHomes sends what was gathered. A message that is lost costs the home
// quality only: it ends jobs that aren't named any more by itself.
func (d *Dispatcher) tellHomes(ctx context.Context) {
	var calls sync.WaitGroup
	for url, message := range d.observer.take(d.Clock.Now(), d.Host) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, placeWithin)
			defer cancel()
			if d.Peers.Observe(callCtx, url, message) != nil {
				d.count("pool.untold")
			}
		})
	}
	calls.Wait()
}
