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
	// maxDecideWait is how long the owner holds a request of a job that waits for
	// admission.
	maxDecideWait = time.Second
	// jobLease is how long a job is kept after its host last requested it or
	// reported it as running.
	jobLease = 4 * time.Second
	// reasonNotDue says that a second attempt is not due or not allowed.
	reasonNotDue placement.Reason = "notDue"
	// refusalStopping says that the owner can't decide: it is stopping, does not
	// have the job, or has too many jobs. The requesting host then decides itself.
	refusalStopping = "stopping"
	// maxChainKeys is the maximum number of block keys in one request.
	maxChainKeys = 4096
	// maxRemoteJobs is the maximum number of jobs of other hosts.
	maxRemoteJobs = 100_000
)

// remoteJob is a request of another host for which this host decides.
type remoteJob struct {
	host     string
	job      *admission.Job
	request  placement.Request
	admitted chan struct{}
	tickets  map[int64]*placement.Ticket
	// reportedAt is when the host last requested or reported the job.
	reportedAt time.Time
}

// DecideFor admits and places a request of another host as the owner of its
// pool.
func (d *Dispatcher) DecideFor(ctx context.Context, req *wire.DecideRequest) (*wire.DecideResponse, error) {
	if len(req.Chain) > maxChainKeys || req.Host == "" || req.PromptTokens < 0 || req.AnswerTokens < 0 {
		return nil, errors.New("decide: request has no host, a negative token count or too many keys")
	}
	id, remote, refusal := d.findOrQueueJob(req)
	if refusal != nil {
		return refusal, nil
	}
	select {
	case <-remote.admitted:
	case <-d.Clock.After(maxDecideWait):
		return &wire.DecideResponse{Job: id}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return d.placeFor(id, remote, req), nil
}

// findOrQueueJob returns the job that a request names, or queues a new one.
func (d *Dispatcher) findOrQueueJob(req *wire.DecideRequest) (int64, *remoteJob, *wire.DecideResponse) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if remote := d.remoteJobs[req.Job]; remote != nil && remote.host == req.Host {
		remote.reportedAt = now
		return req.Job, remote, nil
	}
	if d.stopping || req.Job != 0 || len(d.remoteJobs) >= maxRemoteJobs {
		return 0, nil, &wire.DecideResponse{Refusal: refusalStopping}
	}
	remote := &remoteJob{host: req.Host, request: placementRequest(req), admitted: make(chan struct{}), tickets: map[int64]*placement.Ticket{}, reportedAt: now}
	remote.job = &admission.Job{
		Account:  req.Account,
		Work:     float64(req.PromptTokens + answerTokenWork*req.AnswerTokens),
		Long:     req.Long,
		Deadline: now.Add(time.Duration(req.WaitMillis) * time.Millisecond),
	}
	if refusal := d.queue.Enqueue(now, remote.job); refusal != nil {
		d.count("admission.refused")
		return 0, nil, &wire.DecideResponse{Refusal: string(refusal.Reason), RetryAfterMillis: refusal.RetryAfter.Milliseconds()}
	}
	d.hedges.Earn()
	d.count("pool.decided")
	// The incarnation makes IDs differ from those before a restart.
	id := d.Incarnation + d.sequence.Add(1)
	d.remoteJobs[id] = remote
	d.waiters[remote.job] = remote.admitted
	d.admitReady(now)
	return id, remote, nil
}

func placementRequest(req *wire.DecideRequest) placement.Request {
	request := placement.Request{
		ID:           req.RequestId,
		Account:      req.Account,
		Model:        req.Model,
		Version:      req.Version,
		PromptTokens: int(req.PromptTokens),
		AnswerTokens: int(req.AnswerTokens),
		Long:         req.Long,
		MayProbe:     true,
	}
	for _, key := range req.Chain {
		if len(key) == len(prefix.Key{}) {
			request.Chain = append(request.Chain, prefix.Key(key))
		}
	}
	return request
}

// placeFor places an admitted job of another host.
func (d *Dispatcher) placeFor(id int64, remote *remoteJob, req *wire.DecideRequest) *wire.DecideResponse {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &wire.DecideResponse{Job: id, Admitted: true, InShare: remote.job.InShare()}
	response.Innocent = req.DiedOn != "" && d.placer.CrashedBySuspect(now, req.DiedOn)
	if late := remote.tickets[req.LateTicket]; req.LateTicket != 0 {
		if late == nil || !d.placer.HedgeDue(now, late, d.Config.Slowness.HedgeRatio) || !d.hedges.Spend() {
			response.Reason = string(reasonNotDue)
			return response
		}
	}
	remote.request.Exclude = req.Exclude
	remote.request.Suspect = req.Suspect
	remote.request.Long = remote.request.Long || req.Long
	var decision placement.Decision
	d.placer.Place(now, &remote.request, &decision)
	response.Reason = string(decision.Reason)
	if decision.Target == "" {
		if req.LateTicket != 0 {
			d.hedges.Return()
		}
		return response
	}
	ticket := d.placer.Start(now, &remote.request, &decision)
	response.Ticket = d.Incarnation + d.sequence.Add(1)
	remote.tickets[response.Ticket] = &ticket
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

// ObserveFor applies the outcomes of this host's decisions that another host
// reports.
func (d *Dispatcher) ObserveFor(report *wire.ObserveRequest) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range report.Running {
		if remote := d.remoteJobs[id]; remote != nil && remote.host == report.Host {
			remote.reportedAt = now
		}
	}
	tickets := d.ticketsOf(report.Host)
	for _, o := range report.Observations {
		d.applyObservation(now, tickets[o.Ticket], o)
	}
	for _, name := range report.Unreachable {
		d.placer.MarkUnreachable(name)
	}
	for _, name := range report.Leaving {
		d.placer.MarkLeaving(now, name)
	}
	for _, end := range report.Ended {
		if remote := d.remoteJobs[end.Job]; remote != nil && remote.host == report.Host {
			d.endRemoteJob(now, end.Job, remote, end.ActualWork)
		}
	}
	d.admitReady(now)
}

// jobTicket is a ticket and the job that it belongs to.
type jobTicket struct {
	job    *remoteJob
	ticket *placement.Ticket
}

// ticketsOf returns the tickets of one host. The lock must be held.
func (d *Dispatcher) ticketsOf(host string) map[int64]jobTicket {
	tickets := map[int64]jobTicket{}
	for _, remote := range d.remoteJobs {
		if remote.host != host {
			continue
		}
		for id, ticket := range remote.tickets {
			tickets[id] = jobTicket{job: remote, ticket: ticket}
		}
	}
	return tickets
}

// applyObservation applies one observation of another host. The lock must be
// held.
func (d *Dispatcher) applyObservation(now time.Time, t jobTicket, o *wire.Observation) {
	if t.ticket == nil {
		return
	}
	if o.FirstToken {
		age := time.Duration(o.FirstTokenAgeMicros) * time.Microsecond
		d.placer.RecordFirstToken(now.Add(-age), t.ticket)
	}
	if o.Tokens > 0 {
		d.placer.RecordTokens(now, t.ticket, int(o.Tokens))
	}
	if o.Long {
		d.placer.MarkLong(t.ticket)
		d.queue.MarkLong(t.job.job)
	}
	if o.Ended {
		d.placer.Finish(now, t.ticket)
		delete(t.job.tickets, o.Ticket)
	}
}

// endRemoteJob ends a job of another host and its tickets. The lock must be
// held.
func (d *Dispatcher) endRemoteJob(now time.Time, id int64, remote *remoteJob, actualWork float64) {
	for _, ticket := range remote.tickets {
		d.placer.Finish(now, ticket)
	}
	delete(d.remoteJobs, id)
	delete(d.waiters, remote.job)
	if !d.queue.Remove(remote.job) {
		d.queue.Done(remote.job, actualWork)
	}
}

// endExpiredJobs ends the jobs that their hosts no longer report as running.
// The lock must be held.
func (d *Dispatcher) endExpiredJobs(now time.Time) {
	for id, remote := range d.remoteJobs {
		if now.Sub(remote.reportedAt) > jobLease {
			d.count("pool.lapsed")
			d.endRemoteJob(now, id, remote, remote.job.Work)
		}
	}
}
