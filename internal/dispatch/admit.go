package dispatch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// refreshInterval is the interval at which capacity and limits are updated and
// expired jobs are ended.
const refreshInterval = 250 * time.Millisecond

// acquire waits until the job is admitted. If it returns nil, the caller must
// release the job.
func (d *Dispatcher) acquire(ctx context.Context, job *admission.Job) error {
	admitted := make(chan struct{})
	now := d.Clock.Now()
	d.mu.Lock()
	refusal := d.queue.Enqueue(now, job)
	if refusal == nil {
		d.waiters[job] = admitted
		d.admitReady(now)
	}
	d.mu.Unlock()
	if refusal != nil {
		d.count("admission.refused")
		return refusalError(refusal)
	}
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		return d.withdraw(job, failure.NotRun(499, failure.DeadlineExceeded, "the request was cancelled or timed out before it was admitted"))
	case <-d.Clock.After(job.Deadline.Sub(now)):
		d.count("admission.expired")
		return d.withdraw(job, failure.Busy(failure.Overloaded, time.Second, "the request was not admitted before its deadline"))
	}
}

// withdraw removes a job from the queue. A job that was admitted in the
// meantime is released.
func (d *Dispatcher) withdraw(job *admission.Job, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, job)
	if !d.queue.Remove(job) {
		d.queue.Done(job, 0)
		d.admitReady(d.Clock.Now())
	}
	return err
}

// release ends an admitted job and admits the next ones.
func (d *Dispatcher) release(job *admission.Job, actualWork float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Done(job, actualWork)
	d.admitReady(d.Clock.Now())
}

// admitReady wakes the jobs that may run now. The lock must be held.
func (d *Dispatcher) admitReady(now time.Time) {
	for job := d.queue.Next(now); job != nil; job = d.queue.Next(now) {
		close(d.waiters[job])
		delete(d.waiters, job)
	}
}

func refusalError(r *admission.Refusal) error {
	wait := max(r.RetryAfter, time.Second)
	switch r.Reason {
	case admission.RefusedRate, admission.RefusedInFlight:
		return failure.Busy(failure.RateLimited, wait, "the client account is over its limit")
	case admission.RefusedQueueFull, admission.RefusedDeadline:
		return failure.Busy(failure.Overloaded, wait, "too many requests are waiting (%s)", r.Reason)
	default:
		return failure.Busy(failure.Overloaded, wait, "refused: %s", r.Reason)
	}
}

// refresh updates the placer, the capacity and the limits from the records and
// the peers' reports, ends expired jobs and admits the jobs that may run now.
func (d *Dispatcher) refresh(context.Context) {
	set := d.Records.Current()
	loads := d.Peers.Loads()
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if set.Revision != d.applied.Revision {
		d.liftRefusals(now, set)
		d.applyRecords(now, set)
		d.applied = set
	}
	for _, name := range d.targetNames(set) {
		d.placer.SetPeerLoad(now, name, loads[name])
	}
	d.endExpiredJobs(now)
	d.shareLimits(now)
	d.admitReady(now)
}

// shareLimits sets this host's share of the capacity and of each account's
// limits according to the demand that peers report. The lock must be held.
func (d *Dispatcher) shareLimits(now time.Time) {
	hosts := d.Peers.HostCount()
	demands := d.queue.Demands(now)
	own := 0
	byAccount := make(map[string]admission.Demand, len(demands))
	for _, demand := range demands {
		own += demand.InFlight
		byAccount[demand.Account] = demand
	}
	peers, fresh := d.Peers.InFlight()
	fresh = fresh && now.After(d.equalShareUntil)
	share := admission.LimitShare(float64(own), float64(own+peers), hosts, fresh)
	capacity := float64(d.placer.Slots()) * d.Config.Admission.FillFactor * share
	d.queue.SetCapacity(int(math.Ceil(capacity)))
	for name, account := range d.Records.Current().Accounts {
		mine := byAccount[name]
		theirs, inFlight, fresh := d.Peers.AccountDemand(name)
		fresh = fresh && now.After(d.equalShareUntil)
		limits := admission.Limits{}
		if account.Limits.TokensPerSecond > 0 {
			fraction := admission.LimitShare(mine.TokensPerSecond, mine.TokensPerSecond+theirs, hosts, fresh)
			limits.TokensPerSecond = account.Limits.TokensPerSecond * fraction
		}
		if account.Limits.InFlight > 0 {
			fraction := admission.LimitShare(float64(mine.InFlight), float64(mine.InFlight+inFlight), hosts, fresh)
			limits.InFlight = max(1, int(float64(account.Limits.InFlight)*fraction))
		}
		d.queue.SetAccount(name, account.Weight, limits)
	}
}

// PeerLoads returns what this host has placed on targets.
func (d *Dispatcher) PeerLoads() []placement.TargetLoad {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Loads(now, maxReportLoads)
}

// PeerReport returns the report for peers: the number of requests that this host
// has admitted or queued, including those of other hosts, the demand of client
// accounts on it, and the requests during which targets crashed.
func (d *Dispatcher) PeerReport() peer.Report {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	report := peer.Report{RequestsInFlight: d.queue.Running() + d.queue.Waiting()}
	demands := d.queue.Demands(now)
	slices.SortFunc(demands, func(a, b admission.Demand) int { return cmp.Compare(b.TokensPerSecond, a.TokensPerSecond) })
	for _, demand := range demands[:min(maxReportDemands, len(demands))] {
		report.Demands = append(report.Demands, peer.AccountDemand(demand))
	}
	report.Suspects = d.suspects.Report(now, maxReportSuspects)
	return report
}

// Limits of one report, so that its size doesn't grow with the system.
const (
	maxReportSuspects = 64
	maxReportDemands  = 16
	maxReportLoads    = 24
)

// MergeLimits does nothing: targets of this path state no limits.
func (d *Dispatcher) MergeLimits([]peer.TargetLimit) {}

// MergeBrittle does nothing: targets of this path don't say whether they are brittle.
func (d *Dispatcher) MergeBrittle([]peer.TargetLimit) {}

// MergeLeaving applies the leaving targets reported by a peer.
func (d *Dispatcher) MergeLeaving(leaving []peer.LeavingTarget) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range leaving {
		d.placer.MarkLeaving(now, t.Target)
	}
}

// MergeSuspects adds the suspects reported by a peer.
func (d *Dispatcher) MergeSuspects(suspects []retry.Suspect) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range suspects {
		if d.suspects.Merge(now, s) {
			d.logBlamed(now, s.Key, "peer")
		}
	}
}
