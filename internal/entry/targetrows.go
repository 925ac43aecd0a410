package entry

import (
	"context"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// applyTargets applies the complete list of targets when full is set, otherwise
// the changed rows.
func (h *RoutedHost) applyTargets(rows []platform.Row, full bool) {
	now := h.Clock.Now()
	var listed []fleet.Target
	if full {
		h.forgetColdRows(rows)
	}
	for _, row := range rows {
		if row.Removed {
			delete(h.coldRows, row.Key)
			h.logTarget(row, "gone", h.fleet.Remove(now, row.Key))
			continue
		}
		t, err := h.Translator.Target(row)
		if err != nil {
			h.Log.Warn().Str("part", "targets").Str("target", row.Key).Int64("rowVersion", row.Version).Err(err).
				Msg("targets: row rejected, target treated as removed")
			delete(h.coldRows, row.Key)
			h.fleet.Remove(now, row.Key)
			continue
		}
		t.WarmAt = h.warmAt(now, row, &t, full)
		if full {
			listed = append(listed, t)
			continue
		}
		if h.fleet.Put(t) {
			h.logTarget(row, listState(t), true)
		}
	}
	if full {
		for _, id := range h.fleet.Replace(now, listed) {
			h.Log.Info().Str("part", "targets").Str("target", id).Msg("targets: gone")
		}
		h.Log.Info().Str("part", "targets").Int("targets", len(listed)).Msg("targets: list read")
	}
	h.builds.TargetsChanged()
	h.gateway.TargetsChanged()
}

func listState(t fleet.Target) string {
	if t.Leaving {
		return "leaving"
	}
	return "listed"
}

// logTarget logs a change of a target. immediate is false for the removal of a target
// that was not known, or that Expire removes later unless it registers again.
func (h *RoutedHost) logTarget(row platform.Row, state string, immediate bool) {
	t, _ := h.fleet.Find(row.Key)
	h.Log.Info().Str("part", "targets").Str("target", row.Key).Int64("rowVersion", row.Version).
		Str("service", t.Service).Str("address", t.Address).Str("build", t.Build).Any("versions", t.Versions).Int64("started", t.Started).
		Bool("atOnce", immediate).Msg("targets: " + state)
}

// expireInterval is the interval between checks for missing targets that did not
// register again, and between attempts to write the row of this host.
const expireInterval = 200 * time.Millisecond

func (h *RoutedHost) expire(ctx context.Context) error {
	clock.Every(ctx, h.Clock, expireInterval, func(context.Context) {
		gone := h.fleet.Expire(h.Clock.Now())
		for _, id := range gone {
			h.Log.Info().Str("part", "targets").Str("target", id).Msg("targets: dropped, did not register again")
		}
		if len(gone) > 0 {
			h.gateway.TargetsChanged()
		}
	})
	return nil
}
