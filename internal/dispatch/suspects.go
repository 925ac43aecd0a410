package dispatch

import (
	"context"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/retry"
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
