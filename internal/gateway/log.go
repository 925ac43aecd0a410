package gateway

import (
	"strconv"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// logPlacement logs the choice of a target for an attempt with the given number.
func (g *Gateway) logPlacement(w *work.Work, at *attempt, number int, lastID int64) {
	chosen := &at.decision.Chosen
	g.Log.Info().Str("part", "placement").
		Str("requestId", w.ID).
		Int("attempt", number).
		Str("clientAccount", w.Account).
		Str("route", w.Route.Name).
		Int64("configVersion", w.ConfigVersion).
		Str("service", w.Service).
		Str("version", at.version).
		Dur("outdatedFor", at.outdatedFor).
		Str("target", at.target.ID).
		Str("address", at.target.Address).
		Str("build", at.target.Build).
		Int64("lastEvent", lastID).
		Str("origin", w.Origin).
		Str("reason", string(at.decision.Reason)).
		Str("source", string(chosen.Source)).
		Str("namespace", at.namespace).
		Strs("fetch", at.fetch).
		Strs("save", at.save).
		Int64("fetchEnd", at.fetchEnd).
		Float64("waitSeconds", chosen.Wait).
		Float64("importSeconds", chosen.Import).
		Float64("prefillSeconds", chosen.Prefill).
		Float64("penaltySeconds", chosen.Penalty).
		Int("reusedTokens", chosen.ReusedTokens).
		Int("promptTokens", w.PromptTokens).
		Str("parts", partsText(w.Parts)).
		Int("candidates", len(at.decision.Considered)).
		Str("shard", at.shard).
		Str("owner", at.owner).
		Dur("age", g.Clock.Now().Sub(w.Received)).
		Msg("placement: chosen")
}

// logRelay logs the choice of a host for an attempt with the given number.
func (g *Gateway) logRelay(w *work.Work, at *attempt, number, unreached int, lastID int64) {
	g.Log.Info().Str("part", "placement").
		Str("requestId", w.ID).
		Int("attempt", number).
		Str("route", w.Route.Name).
		Int64("configVersion", w.ConfigVersion).
		Str("service", w.Service).
		Str("host", at.target.ID).
		Str("address", at.target.Address).
		Int64("lastEvent", lastID).
		Int("unreached", unreached).
		Dur("age", g.Clock.Now().Sub(w.Received)).
		Msg("placement: relayed to another host")
}

// partsText lists the parts of a prompt as KEY:TOKENS, separated by commas.
func partsText(parts []work.Part) string {
	var text []byte
	for i, part := range parts {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(append(text, part.Key...), ':')
		text = strconv.AppendInt(text, int64(part.Tokens), 10)
	}
	return string(text)
}

func (r *run) logFailure(at *attempt, err error, crashes int) {
	r.g.Log.Warn().Str("part", "attempt").
		Str("requestId", r.work.ID).
		Int("attempt", r.attempts).
		Str("target", at.target.ID).
		Str("address", at.target.Address).
		Int64("lastEvent", r.lastID).
		Int("crashes", crashes).
		Str("fingerprint", r.work.Fingerprint).
		Strs("partFingerprints", r.keys.Parts).
		Dur("age", r.g.Clock.Now().Sub(r.work.Received)).
		Err(err).
		Msg("attempt: failed")
}

func (r *run) logDone(at *attempt, status int) {
	r.g.Log.Info().Str("part", "request").
		Str("requestId", r.work.ID).
		Str("target", at.target.ID).
		Int("attempts", r.attempts).
		Int("leftSilent", r.leftSilent).
		Int("status", status).
		Int("events", r.events).
		Dur("first", r.firstEvent).
		Dur("longestGap", r.longestGap).
		Dur("took", r.g.Clock.Now().Sub(r.work.Received)).
		Msg("request: done")
}

func (r *run) logEnd(outcome string, final *failure.Error) {
	entry := r.g.Log.Warn().Str("part", "request").
		Str("requestId", r.work.ID).
		Str("clientAccount", r.work.Account).
		Str("route", r.work.Route.Name).
		Int64("configVersion", r.work.ConfigVersion).
		Str("outcome", outcome).
		Int("attempts", r.attempts).
		Int("leftSilent", r.leftSilent).
		Int("events", r.events).
		Dur("took", r.g.Clock.Now().Sub(r.work.Received)).
		Dur("left", r.work.Deadline.Sub(r.g.Clock.Now()).Truncate(time.Millisecond))
	if final != nil {
		entry = entry.Int("status", final.Status).Str("code", string(final.Code)).
			Bool("notRun", final.NotRun).Dur("retryAfter", final.RetryAfter).Str("cause", final.Message)
	}
	entry.Msg("request: " + outcome)
}

// logBlamed logs that requests with a key may be refused from now on. source tells whether
// this host saw the last crash or a peer did. The lock must be held.
func (g *Gateway) logBlamed(key, source string) {
	g.Log.Warn().Str("part", "suspects").Str("fingerprint", key).Int("crashes", g.suspects.CrashCount(g.Clock.Now(), key)).
		Str("source", source).Msg("suspects: a request or prompt part crashes targets")
}
