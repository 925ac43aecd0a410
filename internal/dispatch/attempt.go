package dispatch

import (
	"context"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

// cancelTimeout limits the call that cancels an attempt on its target.
const cancelTimeout = 2 * time.Second

// excludeFor is how long targets that were already tried are excluded while no
// other target is usable.
const excludeFor = time.Second

// attempt is one try of a request on one target.
type attempt struct {
	number   int
	url      string
	ticket   placement.Ticket
	decision placement.Decision
	// tokens is the number of tokens that the attempt has delivered.
	tokens int
	// owner and ownerTicket identify the decision at the pool owner if another
	// host made it.
	owner       string
	ownerTicket int64
	cancel      context.CancelFunc
}

// attemptEvent is what an attempt reports to its run.
type attemptEvent struct {
	attempt int
	event   target.RunEvent
	err     error
}

// launch starts an attempt on the best target. If no target is usable, it
// retries for a limited time.
func (r *run) launch(ctx context.Context) error {
	begin := r.d.Clock.Now()
	until := begin.Add(r.d.Config.Admission.QueueWait.Duration)
	for {
		if key, refused := r.refusedKey(); refused {
			return r.fail(failure.CrashesTargets, crashesTargetsFormat, key)
		}
		started, reason := r.start(ctx, "place")
		if started {
			return nil
		}
		now := r.d.Clock.Now()
		if now.Sub(begin) > excludeFor {
			// Targets that were tried before are better than none.
			r.request.Exclude = nil
		}
		if !now.Before(until) {
			return r.fail(failure.NoTarget, "no target can run model %s version %s (%s)", r.request.Model, r.request.Version, reason)
		}
		if clock.Sleep(ctx, r.d.Clock, targetRetryPause) != nil {
			return r.fail(failure.DeadlineExceeded, "the request was cancelled or timed out before its answer was complete: %v", ctx.Err())
		}
	}
}

// start places the request and begins an attempt. It reports whether a target
// was found, and the reason of the decision. The action appears in the log.
func (r *run) start(ctx context.Context, action string) (bool, placement.Reason) {
	set := r.d.Records.Current()
	at := &attempt{}
	r.place(ctx, at)
	spec := set.Targets[at.decision.Target]
	if spec == nil {
		r.endTicket(at)
		return false, at.decision.Reason
	}
	r.attempts++
	at.number = r.attempts
	at.url = spec.URL
	r.active[at.number] = at
	r.d.count("attempts.started")
	r.d.logPlacement(r, at, action)
	ctx, at.cancel = context.WithCancel(ctx)
	run := r.runRequest(at)
	go r.d.streamAttempt(ctx, at, run, r.request.Chain, r.events)
	return true, at.decision.Reason
}

// endTicket ends the ticket of an attempt, at the pool owner and on this host.
func (r *run) endTicket(at *attempt) {
	r.d.observer.update(at, func(obs *wire.Observation) { obs.Ended = true })
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.placer.Finish(r.d.Clock.Now(), &at.ticket)
}

func (r *run) runRequest(at *attempt) *target.RunRequest {
	keys := make([]string, len(r.request.Chain))
	for i, key := range r.request.Chain {
		keys[i] = key.String()
	}
	return &target.RunRequest{
		RequestID:       r.id,
		Attempt:         at.number,
		ClientAccount:   r.request.Account,
		Model:           r.request.Model,
		Version:         r.request.Version,
		Prompt:          r.generation.Prompt,
		PromptTokens:    r.request.PromptTokens,
		BlockKeys:       keys,
		BlockTokens:     r.d.Config.Placement.BlockTokens,
		MaxTokens:       r.generation.MaxTokens,
		Priority:        r.priority(),
		DeliveredTokens: r.tokens,
		Delivered:       r.text.String(),
	}
}

func (r *run) priority() int {
	switch {
	case r.request.Long:
		return priorityLong
	case r.inShare || r.job.InShare():
		return priorityInShare
	default:
		return priorityOverShare
	}
}

// streamAttempt runs an attempt and forwards its events, up to the last one or
// until ctx ends.
func (d *Dispatcher) streamAttempt(ctx context.Context, at *attempt, run *target.RunRequest, chain chainKeys, events chan<- attemptEvent) {
	if at.decision.Source() == placement.SourceStore {
		d.importPrefix(ctx, at, run, chain)
	}
	stream, err := d.Targets.Run(ctx, at.url, run)
	if err != nil {
		send(ctx, events, attemptEvent{attempt: at.number, err: err})
		return
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if !send(ctx, events, attemptEvent{attempt: at.number, event: event, err: err}) || err != nil {
			return
		}
		if event.FinishReason != "" {
			return
		}
	}
}

func send(ctx context.Context, events chan<- attemptEvent, event attemptEvent) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// endAttempt removes an attempt from the run and ends its ticket.
func (r *run) endAttempt(at *attempt) {
	delete(r.active, at.number)
	r.endTicket(at)
}

// cancelAttempt ends an attempt that is no longer needed, also on its target.
func (r *run) cancelAttempt(at *attempt) {
	r.endAttempt(at)
	at.cancel()
	r.mayHaveRun = true
	r.d.running.Add(1)
	go func() {
		defer r.d.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.d.Targets.Cancel(ctx, at.url, r.id, at.number)
	}()
}

// closeAttempts ends all remaining attempts. If the answer is complete, only the
// winner remains, and its target has finished.
func (r *run) closeAttempts() {
	for _, at := range r.active {
		if !r.done {
			r.cancelAttempt(at)
			continue
		}
		r.endAttempt(at)
		at.cancel()
	}
}
