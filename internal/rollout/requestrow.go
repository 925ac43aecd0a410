package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// requestsKey is the key of the row in which the holder of the lease keeps since when
// versions are requested. The rows of operators don't tell that to a host that starts.
const requestsKey = "weights/requested"

// requestRow is the content of the row.
type requestRow struct {
	// Era is the era of the table service to whose clock the times belong.
	Era int64 `json:"era"`
	// Models contains the requested versions of each model, oldest first.
	Models map[string][]requestedAfter `json:"models"`
}

// requestedAfter is a version and a time after which it was requested, in milliseconds on
// the clock of the table service.
type requestedAfter struct {
	Version int64 `json:"version"`
	After   int64 `json:"after"`
}

// decodeRequestRow reads and checks the row.
func decodeRequestRow(data []byte) (requestRow, error) {
	var r requestRow
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("requested weights: %w", err)
	}
	for model, versions := range r.Models {
		for _, v := range versions {
			if model == "" || v.Version <= 0 || v.After <= 0 {
				return r, errors.New("requested weights: want models, and versions and times above zero")
			}
		}
	}
	return r, nil
}

// includes reports whether r has all versions of other, in the same era.
func (r *requestRow) includes(other *requestRow) bool {
	if r.Era != other.Era {
		return false
	}
	for model, versions := range other.Models {
		for _, v := range versions {
			if !slices.ContainsFunc(r.Models[model], func(have requestedAfter) bool { return have.Version == v.Version }) {
				return false
			}
		}
	}
	return true
}

// versions returns the present version and the earlier ones, oldest first.
func (r RequestedVersion) versions() []EarlierVersion {
	return append(r.Earlier[:len(r.Earlier):len(r.Earlier)], EarlierVersion{r.Version, r.Since})
}

// dueRequestRow returns the row to be written, and false if the present row has all requests
// whose time is known. Nothing is due until the present row is known. The lock must be held.
func (l *Leader) dueRequestRow() (requestRow, bool) {
	row := requestRow{Models: map[string][]requestedAfter{}}
	if !l.requestRowKnown {
		return row, false
	}
	for _, model := range l.Requests.All() {
		for _, v := range model.versions() {
			era, millis, ok := l.Table.ServiceMillis(v.Since)
			if v.Since.IsZero() || !ok || millis <= 0 {
				continue
			}
			row.Era = era
			row.Models[model.Model] = append(row.Models[model.Model], requestedAfter{Version: v.Version, After: millis})
		}
	}
	return row, len(row.Models) > 0 && !l.requestRow.includes(&row)
}

// applyRequestRow adds the versions and times of the row to the known requests. The lock
// must be held.
func (l *Leader) applyRequestRow(row platform.Row) {
	r, err := decodeRequestRow(row.Value)
	if err != nil {
		l.Log.Error().Str("part", "rollout").Str("key", row.Key).Err(err).Msg("rollout: decoding the row of requested weights failed")
		return
	}
	l.requestRow = r
	now := l.Steady.Now()
	for model, versions := range r.Models {
		for _, v := range versions {
			since, ok := l.Table.ServiceTime(r.Era, v.After)
			if !ok {
				continue
			}
			l.Requests.Add(model, v.Version, since)
			l.Log.Info().Str("part", "weights").Str("model", model).Int64("version", v.Version).Int64("rowVersion", row.Version).
				Dur("requestedFor", now.Sub(since)).Msg("weights: time of a request received from the shared table")
		}
	}
}
