package dispatch

import (
	"context"
	"errors"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

const (
	// decideHold is how long the home holds a question of a waiting request.
	decideHold = time.Second
	// jobLease is how long a job lives that its host doesn't name.
	jobLease = 4 * time.Second
	// reasonNotDue says that a second attempt isn't due or not allowed.
	reasonNotDue placement.Reason = "notDue"
	// refusedStopping says that the home stops; the asking host decides itself.
	refusedStopping = "stopping"
	maxChain        = 4096
	maxHomeJobs     = 100_000
)

// homeJob is a request of another host that this one decides for.
type homeJob struct {
	host     string
	job      *admission.Job
	request  placement.Request
	admitted chan struct{}
	tickets  map[int64]*placement.Ticket
	seen     time.Time
}

// DecideFor admits and places a request of another host as the home of its pool.
func (d *Dispatcher) DecideFor(ctx context.Context, ask *wire.DecideRequest) (*wire.DecideResponse, error) {
	if len(ask.Chain) > maxChain || ask.Host == "" || ask.PromptTokens < 0 || ask.AnswerTokens < 0 {
		return nil, errors.New("decide: the question is out of bounds")
	}
	id, held, refusal := d.homeJob(ask)
	if refusal != nil {
		return refusal, nil
	}
	select {
	case <-held.admitted:
	case <-d.Clock.After(decideHold):
		return &wire.DecideResponse{Job: id}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return d.placeFor(id, held, ask), nil
}

// homeJob finds the job of a question, or queues a new one.
func (d *Dispatcher) homeJob(ask *wire.DecideRequest) (int64, *homeJob, *wire.DecideResponse) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if held := d.homeJobs[ask.Job]; held != nil && held.host == ask.Host {
		held.seen = now
		return ask.Job, held, nil
	}
	if d.stopping || ask.Job != 0 || len(d.homeJobs) >= maxHomeJobs {
		return 0, nil, &wire.DecideResponse{Refusal: refusedStopping}
	}
	held := &homeJob{host: ask.Host, request: requestOf(ask), admitted: make(chan struct{}), tickets: map[int64]*placement.Ticket{}, seen: now}
	held.job = &admission.Job{
		Account:  ask.Account,
		Work:     float64(ask.PromptTokens + answerWork*ask.AnswerTokens),
		Long:     ask.Long,
		Deadline: now.Add(time.Duration(ask.WaitMillis) * time.Millisecond),
	}
	if refused := d.queue.Enqueue(now, held.job); refused != nil {
		d.count("admission.refused")
		return 0, nil, &wire.DecideResponse{Refusal: string(refused.Reason), RetryAfterMillis: refused.RetryAfter.Milliseconds()}
	}
	d.hedges.Earn()
	d.count("pool.decided")
	id := d.Incarnation + d.sequence.Add(1)
	d.homeJobs[id] = held
	d.ready[held.job] = held.admitted
	d.admitReady(now)
	return id, held, nil
}

func requestOf(ask *wire.DecideRequest) placement.Request {
	request := placement.Request{
		ID:           ask.RequestId,
		Account:      ask.Account,
		Model:        ask.Model,
		Version:      ask.Version,
		PromptTokens: int(ask.PromptTokens),
		AnswerTokens: int(ask.AnswerTokens),
		Long:         ask.Long,
		MayProbe:     true,
	}
	for _, key := range ask.Chain {
		if len(key) == len(prefix.Key{}) {
			request.Chain = append(request.Chain, prefix.Key(key))
		}
	}
	return request
}

// placeFor places an admitted job of another host.
func (d *Dispatcher) placeFor(id int64, held *homeJob, ask *wire.DecideRequest) *wire.DecideResponse {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &wire.DecideResponse{Job: id, Admitted: true, InShare: held.job.InShare()}
	response.Innocent = ask.DiedOn != "" && d.board.CrashedBySuspect(now, ask.DiedOn)
	if late := held.tickets[ask.LateTicket]; ask.LateTicket != 0 {
		if late == nil || !d.board.HedgeDue(now, late, d.Config.Slowness.HedgeRatio) || !d.hedges.Spend() {
			response.Reason = string(reasonNotDue)
			return response
		}
	}
	held.request.Exclude = ask.Exclude
	held.request.Suspect = ask.Suspect
	held.request.Long = held.request.Long || ask.Long
	var decision placement.Decision
	d.board.Place(now, &held.request, &decision)
	response.Reason = string(decision.Reason)
	if decision.Target == "" {
		return response
	}
	ticket := d.board.Start(now, &held.request, &decision)
	response.Ticket = d.Incarnation + d.sequence.Add(1)
	held.tickets[response.Ticket] = &ticket
	fillDecision(response, &decision, &ticket)
	return response
}

func fillDecision(response *wire.DecideResponse, decision *placement.Decision, ticket *placement.Ticket) {
	chosen := &decision.Chosen
	response.Target = decision.Target
	response.Source = string(decision.Source())
	response.Store = decision.Store
	response.ImportPieces = int32(decision.ImportBlocks)
	response.ReusedTokens = int32(chosen.ReusedTokens)
	response.ImportedTokens = int32(chosen.ImportedTokens)
	response.Wait, response.Import, response.Prefill = chosen.Wait, chosen.Import, chosen.Prefill
	response.Penalty, response.Slowness = chosen.Penalty, chosen.Slowness
	response.ExpectedFirstMicros = ticket.ExpectedFirst.Microseconds()
	response.Candidates = int32(len(decision.Considered))
}

// ObserveFor takes in what became of decisions for another host.
func (d *Dispatcher) ObserveFor(told *wire.ObserveRequest) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range told.Running {
		if held := d.homeJobs[id]; held != nil && held.host == told.Host {
			held.seen = now
		}
	}
	tickets := d.ticketsOf(told.Host)
	for _, o := range told.Observations {
		d.observed(now, tickets[o.Ticket], o)
	}
	for _, name := range told.Unreachable {
		d.board.MarkUnreachable(name)
	}
	for _, name := range told.Leaving {
		d.board.MarkLeaving(now, name)
	}
	for _, end := range told.Ended {
		if held := d.homeJobs[end.Job]; held != nil && held.host == told.Host {
			d.endHomeJob(now, end.Job, held, end.ActualWork)
		}
	}
	d.admitReady(now)
}

// homeTicket is a ticket with the job that it belongs to.
type homeTicket struct {
	job    *homeJob
	ticket *placement.Ticket
}

// ticketsOf lists the tickets of one host. The lock must be held.
func (d *Dispatcher) ticketsOf(host string) map[int64]homeTicket {
	tickets := map[int64]homeTicket{}
	for _, held := range d.homeJobs {
		if held.host != host {
			continue
		}
		for id, ticket := range held.tickets {
			tickets[id] = homeTicket{job: held, ticket: ticket}
		}
	}
	return tickets
}

func (d *Dispatcher) observed(now time.Time, t homeTicket, o *wire.Observation) {
	if t.ticket == nil {
		return
	}
	if o.FirstToken {
		age := time.Duration(o.FirstTokenAgeMicros) * time.Microsecond
		d.board.RecordFirstToken(now.Add(-age), t.ticket)
	}
	if o.Tokens > 0 {
		d.board.RecordTokens(now, t.ticket, int(o.Tokens))
	}
	if o.Long {
		d.board.MarkLong(t.ticket)
		d.queue.MarkLong(t.job.job)
	}
	if o.Ended {
		d.board.Finish(now, t.ticket)
		delete(t.job.tickets, o.Ticket)
	}
}

// endHomeJob ends a job of another host and its tickets. The lock must be held.
func (d *Dispatcher) endHomeJob(now time.Time, id int64, held *homeJob, actualWork float64) {
	for _, ticket := range held.tickets {
		d.board.Finish(now, ticket)
	}
	delete(d.homeJobs, id)
	delete(d.ready, held.job)
	if !d.queue.Remove(held.job) {
		d.queue.Done(held.job, actualWork)
	}
}

// endLapsedJobs ends the jobs whose host no longer names them. The lock must be
// held.
func (d *Dispatcher) endLapsedJobs(now time.Time) {
	for id, held := range d.homeJobs {
		if now.Sub(held.seen) > jobLease {
			d.count("pool.lapsed")
			d.endHomeJob(now, id, held, held.job.Work)
		}
	}
}
