package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// alternative sends a request to another target while that of its present attempt is silent. The
// silent target may only be slow, so it is kept until the other one has begun to answer.
type alternative struct {
	g    *Gateway
	work *work.Work
	keys retry.Keys
	// ctx is that of the request.
	ctx context.Context
	// present is the attempt whose target is silent.
	present *attempt
	// maxRuns and maxAttempts limit the attempts that may run on a target, and all, beside those
	// that were made before.
	maxRuns, maxAttempts int
	// attempts counts those that were made before, with the present one.
	attempts int

	mu      sync.Mutex
	request placement.Request
	// after is the ID of the last event that the caller has received.
	after int64
	// begun is set once the caller has received an event, and unnumbered while the last one has no
	// ID. progressAt is when the present target was last asked or sent an event.
	begun, unnumbered bool
	progressAt        time.Time
	// sent is the attempt at another target, nil if there is none now. accepted is set once it
	// replaces the present one, ended once the present one has ended.
	sent            *sending
	accepted, ended bool
	// tried are the attempts that have failed while the present one goes on.
	tried tries
}

// tries counts attempts.
type tries struct {
	// possibleRuns are those that may have run on a target, and unreached those that reached none.
	attempts, possibleRuns, unreached, relays int
	// exclude are the targets, and relayed the hosts, that are not to be tried again.
	exclude, relayed []string
}

// sending is an attempt that is being sent while another one goes on.
type sending struct {
	at     *attempt
	ctx    context.Context
	cancel context.CancelCauseFunc
	// written is closed when the request has been written, and done when the first event or the
	// whole answer has arrived, or err is set.
	written, done chan struct{}
	reply         Reply
	err           error
}

const (
	// maxOverlap limits how long a stream that has begun is on two targets.
	maxOverlap = 350 * time.Millisecond
	// soundSilence is the longest silence that is expected of a sound target within a stream.
	soundSilence = 1750 * time.Millisecond
	// alternativeCheckInterval is the time between two checks whether another target can be used.
	alternativeCheckInterval = 100 * time.Millisecond
)

var (
	// errAnswering is the cause of the cancellation of an attempt since the target that was silent
	// answers again.
	errAnswering = errors.New("the silent target answers again")
	// errNotNeeded is the cause of the cancellation of an attempt whose request has ended.
	errNotNeeded = errors.New("the request has ended")
)

// newAlternative returns the alternative of the present attempt of a request. ctx is that of the
// request.
func (r *run) newAlternative(ctx context.Context, at *attempt) *alternative {
	a := &alternative{
		g: r.g, work: r.work, keys: r.keys, ctx: ctx, present: at, request: r.request, after: r.lastID, begun: r.begun, unnumbered: r.unnumbered, progressAt: r.g.Clock.Now(),
		maxRuns: r.maxRuns() - r.possibleRuns - 1, maxAttempts: r.g.Config.Retries.MaxAttempts - r.attempts, attempts: r.attempts,
	}
	if r.probe {
		a.maxAttempts = 0
	}
	a.request.Exclude = append(slices.Clone(r.request.Exclude), at.target.ID)
	a.tried.relayed, a.tried.relays = slices.Clone(r.relayed), r.relays
	return a
}

// requireBuild restricts the targets that can be used to those of a build.
func (a *alternative) requireBuild(build string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request.Build = &build
}

// progress records that the present target has sent the next event. It returns false if the event
// must not be used, since another target has taken the request.
func (a *alternative) progress(id int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.accepted {
		return false
	}
	a.begun, a.after, a.progressAt = true, max(a.after, id), a.g.Clock.Now()
	a.unnumbered = id == eventstream.NoID
	if a.sent != nil {
		a.sent.cancel(errAnswering)
	}
	return true
}

// claim ends the alternative if the request can go on with it, and reports whether it can.
func (a *alternative) claim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent == nil || a.sent.ctx.Err() != nil || !a.sent.takes(a.begun) {
		return false
	}
	a.ended = true
	return true
}

// end ends the alternative with the present attempt. It returns the attempt with which the request
// can go on, nil if there is none.
func (a *alternative) end() *sending {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	s := a.sent
	if s != nil && s.ctx.Err() != nil {
		a.settle(s)
		return nil
	}
	a.sent = nil
	return s
}

// abandon ends an attempt whose answer is not needed.
func (a *alternative) abandon(s *sending) {
	s.cancel(errNotNeeded)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(s)
}

// ask sends the request to another target, if there is one and the budget allows a retry, and
// waits until that target has taken the request or not. It returns the time until it is called
// again, 0 for never, and whether the present attempt is to be given up.
func (a *alternative) ask() (again time.Duration, taken bool) {
	if left := a.patience(); left > 0 {
		return left, false
	}
	s := a.send()
	if s == nil {
		return alternativeCheckInterval, false
	}
	a.wait(s)
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return 0, false
	}
	if s.ctx.Err() == nil && s.takes(a.begun) {
		a.accepted = true
		a.mu.Unlock()
		return 0, true
	}
	failed := s.ctx.Err() == nil
	a.settle(s)
	a.mu.Unlock()
	if failed {
		a.recordFailure(s)
	}
	return alternativeCheckInterval, false
}

// patience returns how much longer a sound target may be silent.
func (a *alternative) patience() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silenceLeft()
}

// silenceLeft is patience with the lock held. A stream that has begun can't be on two targets until
// one of them answers, so that it is left for another one only after that.
func (a *alternative) silenceLeft() time.Duration {
	if !a.begun {
		return 0
	}
	return soundSilence - a.g.Clock.Now().Sub(a.progressAt)
}

// send sends the request to another target, and returns nil if none can be used.
func (a *alternative) send() *sending {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.ctx.Err() != nil || a.silenceLeft() > 0 {
		return nil // The target may have sent an event since the last check.
	}
	at := a.choose()
	if at == nil {
		return nil
	}
	s := &sending{at: at, written: make(chan struct{}), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(a.ctx)
	a.sent = s
	call := a.g.newCall(a.work, at, a.after)
	call.Written = sync.OnceFunc(func() { close(s.written) })
	build := a.request.Build
	a.log(at).Msg("attempt: target is silent, another one is asked")
	number := a.attempts + a.tried.attempts + 1
	if at.byHost {
		a.g.logRelay(a.work, at, number, a.tried.unreached, a.after)
	} else {
		a.g.logPlacement(a.work, at, number, a.after)
	}
	go func() {
		defer close(s.done)
		s.reply, s.err = a.g.send(s.ctx, at, call, build)
		if s.err == nil {
			s.reply, s.err = begin(s.reply, a.work.Route.Kind == Stream)
		}
	}()
	return s
}

// choose chooses another target, or a host if the targets can't be reached from this one. It
// returns nil if there is none or if the budget is spent. The lock must be held.
func (a *alternative) choose() *attempt {
	if a.tried.possibleRuns >= a.maxRuns || a.tried.attempts >= a.maxAttempts || a.suspect() {
		return nil
	}
	if a.unnumbered {
		return nil // No other target can go on with the stream.
	}
	if a.g.PathLost() && a.g.Hosts != nil && !a.work.Relayed {
		host, ok := a.g.pickHost(a.tried.relayed)
		if !ok || a.tried.relays >= maxRelays || !a.spend() {
			return nil
		}
		a.tried.relays++
		a.tried.relayed = append(a.tried.relayed, host.ID)
		return &attempt{target: host, byHost: true}
	}
	if !a.available() || !a.spend() {
		return nil
	}
	at, _ := a.g.choose(&a.request, a.work)
	if at == nil {
		a.g.returnRetries(a.work.Service, 1)
	}
	return at
}

// suspect reports whether the request, or a part of its prompt, has crashed too many targets.
func (a *alternative) suspect() bool {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.suspects.Blamed(a.g.Clock.Now(), a.keys)
}

// available reports whether another target can be used.
func (a *alternative) available() bool {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	at := a.g.chooseTarget(a.g.Clock.Now(), &a.request, a.work)
	return at != nil && at.decision.Target != ""
}

// spend takes a retry from the budget.
func (a *alternative) spend() bool {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	if !a.g.budget(a.work.Service).Spend() {
		return false
	}
	a.g.count("attempts.repeated")
	return true
}

// wait waits until the target has refused the request or has begun to answer. A stream that has
// begun counts as taken if the target doesn't refuse it soon.
func (a *alternative) wait(s *sending) {
	select {
	case <-s.done:
		return
	case <-s.written:
	}
	a.mu.Lock()
	begun := a.begun
	a.mu.Unlock()
	if !begun {
		<-s.done
		return
	}
	select {
	case <-s.done:
	case <-a.g.Clock.After(maxOverlap):
	}
}

// takes reports whether the target hasn't refused the request or failed. begun tells whether the
// caller has received a part of the answer.
func (s *sending) takes(begun bool) bool {
	select {
	case <-s.done:
	default:
		return true
	}
	if s.err != nil {
		return false
	}
	status := s.reply.Head().Status
	return status == http.StatusOK || (!begun && status < http.StatusInternalServerError)
}

// begin waits for the first event of a stream, or for the whole answer.
func begin(reply Reply, stream bool) (Reply, error) {
	b := &begunReply{Reply: reply}
	if stream && reply.Head().Status == http.StatusOK {
		b.first, b.err = reply.Next()
		b.hasFirst = b.err == nil || errors.Is(b.err, io.EOF)
		if !b.hasFirst {
			reply.Close()
			return nil, brokenStream(b.err)
		}
		return b, nil
	}
	if b.body, b.err = reply.Body(); b.err != nil && !errors.Is(b.err, bounded.ErrNoRoom) {
		reply.Close()
		return nil, b.err
	}
	return b, nil
}

// begunReply is a reply whose first event, or whose body as far as there was room, has been read.
type begunReply struct {
	Reply

	first    eventstream.Event
	hasFirst bool
	body     [][]byte
	err      error
}

// Next returns the next event.
func (r *begunReply) Next() (eventstream.Event, error) {
	if r.hasFirst {
		r.hasFirst = false
		return r.first, r.err
	}
	return r.Reply.Next()
}

// Body returns the body as far as it has been read.
func (r *begunReply) Body() ([][]byte, error) { return r.body, r.err }

// settle ends an attempt that is not used, and counts it. The lock must be held.
func (a *alternative) settle(s *sending) {
	a.sent = nil
	given := context.Cause(s.ctx)
	s.cancel(errAnswering)
	<-s.done
	a.g.finishAttempt(s.at)
	if s.reply != nil {
		s.reply.Close()
	}
	a.tried.attempts++
	a.request.Exclude = append(a.request.Exclude, s.at.target.ID)
	a.tried.exclude = append(a.tried.exclude, s.at.target.ID)
	if unsent(s.err) {
		a.g.returnRetries(a.work.Service, 1)
	}
	switch {
	case errors.Is(s.err, errWithdrawn):
	case unsent(s.err) && given == nil:
		a.tried.unreached++
	case unsent(s.err), notTaken(s.err):
	default:
		a.tried.possibleRuns++
	}
	cause := cmp.Or(given, s.err)
	if cause == nil {
		cause = &retryableAnswerError{status: s.reply.Head().Status}
	}
	a.log(s.at).Err(cause).Msg("attempt: other target not used")
}

// unsent reports whether an attempt reached no target.
func unsent(err error) bool {
	var broken *BrokenError
	return errors.Is(err, errWithdrawn) || (errors.As(err, &broken) && !broken.Sent)
}

// notTaken reports whether an attempt was refused without being run.
func notTaken(err error) bool {
	var refused *NotRunError
	var unavailable *HostUnavailableError
	return errors.As(err, &refused) || errors.As(err, &unavailable)
}

// recordFailure records what a failed attempt says about its target or host.
func (a *alternative) recordFailure(s *sending) {
	var refused *NotRunError
	switch {
	case s.at.byHost && (unsent(s.err) || notTaken(s.err)):
		a.g.avoidHost(s.at.target.ID)
	case s.at.byHost, errors.Is(s.err, errWithdrawn):
	case unsent(s.err):
		a.g.avoidUnreachable(s.at)
	default:
		a.g.applyNotice(s.at.target, noticeOf(s.err))
		if errors.As(s.err, &refused) {
			a.g.recordRefusal(s.at, refused)
			return
		}
		a.g.recordFailure(a.ctx, s.at, s.err, a.keys)
	}
}

// log returns a line about another target than the present one.
func (a *alternative) log(at *attempt) *log.Entry {
	return a.g.Log.Warn().Str("part", "attempt").
		Str("requestId", a.work.ID).
		Str("silentTarget", a.present.target.ID).
		Str("target", at.target.ID).
		Str("address", at.target.Address).
		Int64("lastEvent", a.after).
		Dur("age", a.g.Clock.Now().Sub(a.work.Received))
}
