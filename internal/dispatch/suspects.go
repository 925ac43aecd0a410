package dispatch

import (
	"context"
	"errors"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// answeringTokens is the number of tokens after which a target is known not to crash on
	// the prompt.
	answeringTokens = 2
	// suspectBlocks is the number of blocks of a prompt that are suspect of a crash. Prefixes
	// that different prompts share, such as instructions, are at the beginning.
	suspectBlocks = 8
	// crashCheckTimeout limits the check whether a target has crashed.
	crashCheckTimeout = 250 * time.Millisecond
	// crashesTargetsFormat is the text of the failure of a refused request, for the key by
	// which it is refused.
	crashesTargetsFormat = "targets crashed while they ran this request or others with a prefix of its prompt; fingerprint %s"
)

// suspectKeys returns the keys by which a request is suspect when its target crashes.
// Prefixes are the same for all client accounts and weights.
func (d *Dispatcher) suspectKeys(g *GenerationRequest) retry.Keys {
	keys := retry.Keys{Request: retry.Fingerprint(g.Account, g.Model, g.Prompt)}
	blockTokens := d.Config.Placement.BlockTokens
	prompt := g.Prompt[:min(len(g.Prompt), suspectBlocks*blockTokens*prefix.BytesPerToken)]
	for _, key := range prefix.Chain(nil, prefix.Seed("", g.Model, ""), prompt, blockTokens) {
		keys.Parts = append(keys.Parts, key.String())
	}
	return keys
}

// refused returns the key by which a request is refused, because of a record of refusals or
// what this host knows. The lock must be held.
func (d *Dispatcher) refused(set *record.Set, r *run) (key string, refused bool) {
	for _, key := range r.keys.All() {
		if set.Refused(key, r.startedAt) {
			return key, true
		}
	}
	return r.checkSuspects(r.startedAt)
}

// checkSuspects returns the blamed key by which the request must not be attempted. The lock
// must be held.
func (r *run) checkSuspects(now time.Time) (key string, refused bool) {
	if r.probe {
		return "", false
	}
	key, verdict := r.d.suspects.Check(now, r.keys)
	r.probe = verdict == retry.Probe
	return key, verdict == retry.Refused
}

// hasCrashed reports whether the target of a failed attempt doesn't answer a poll.
func (r *run) hasCrashed(ctx context.Context, at *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	_, err := r.d.Targets.Load(ctx, at.url)
	return err != nil
}

// logBlamed logs that requests with a key may be refused from now on. source tells whether
// this host saw the last crash or a peer did. The lock must be held.
func (d *Dispatcher) logBlamed(now time.Time, key, source string) {
	d.Log.Warn().Str("part", "suspects").Str("fingerprint", key).Int("crashes", d.suspects.CrashCount(now, key)).
		Str("source", source).Msg("suspects: a request or prefix crashes targets")
}

// mayBeCrash reports whether an attempt may have failed since its target crashed.
func mayBeCrash(err error) bool {
	var refusal *target.RefusalError
	return !errors.As(err, &refusal) && !target.NotRun(err) && !endedLocally(err)
}

// countCrash counts the crash of a target against the request. It does not if the
// request had received tokens from the target, and the crash is attributed to a
// suspect that had received none. The parts of the prompt are suspect if crashed is set. The
// lock must be held.
func (r *run) countCrash(at *attempt, crashed bool) {
	now := r.d.Clock.Now()
	if at.tokens > 0 && r.d.placer.CrashedBySuspect(now, at.ticket.Target) {
		return
	}
	keys := r.keys
	if !crashed {
		keys.Parts = nil
	}
	_, blamed := r.d.suspects.RecordCrash(now, at.ticket.Target, keys)
	for _, key := range blamed {
		r.d.logBlamed(now, key, "crash")
	}
	r.request.Suspect = true
	r.diedOn = ""
	if at.tokens > 0 {
		r.diedOn = at.ticket.Target
	}
}

// refusedKey returns the blamed key by which the request must not be attempted again.
func (r *run) refusedKey() (key string, refused bool) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.checkSuspects(r.d.Clock.Now())
}

// refuseTimeout limits the write that makes all hosts refuse a request.
const refuseTimeout = 30 * time.Second

// refuseOnAllHosts makes all hosts refuse requests with a key. Peers also receive the
// suspect in reports, so a failed write is not fatal.
func (r *run) refuseOnAllHosts(key string) {
	d := r.d
	until := d.Clock.Now().Add(d.Config.Retries.SuspectTTL.Duration).UTC()
	d.Log.Warn().Str("part", "suspects").Str("requestId", r.id).Str("clientAccount", r.request.Account).
		Str("fingerprint", key).Time("until", until).Msg("suspects: refusing the request on all hosts")
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), refuseTimeout)
		defer cancel()
		if err := d.Refuser.Refuse(ctx, key, r.request.Account, until); err != nil {
			d.Log.Warn().Str("part", "suspects").Str("fingerprint", key).Err(err).Msg("suspects: writing the refusal failed")
		}
	}()
}
