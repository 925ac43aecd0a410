package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Sample size and decay factor of the histograms of tables, as in package gateway.
const (
	histogramSample = 1028
	histogramAlpha  = 0.015
)

// rowTimes are the times from a change of a row until now by the clock of the table service.
type rowTimes struct {
	// SinceSeen is the time since the first host received the row, as far as is known.
	SinceSeen time.Duration
	// SinceWritten is at least the time since the row was written.
	SinceWritten time.Duration
}

// rowTimes returns the times of a row, 0 for those that aren't known.
func (h *RoutedHost) rowTimes(row platform.Row) rowTimes {
	era, now, known := h.table.ServiceMillis(h.Steady.Now())
	if !known || era != row.Era {
		return rowTimes{}
	}
	since := func(millis int64) time.Duration {
		if millis <= 0 {
			return 0
		}
		return max(0, time.Duration(now-millis)*time.Millisecond)
	}
	return rowTimes{SinceSeen: since(row.SeenMillis), SinceWritten: since(row.WrittenAfterMillis)}
}

// measureLateness records how long after the first host this one has applied a changed row, as
// table.lateMicros.TABLE.
func (h *RoutedHost) measureLateness(table string) func(platform.Row) {
	sample := metrics.NewExpDecaySample(histogramSample, histogramAlpha)
	histogram := metrics.NewRegisteredHistogram("table.lateMicros."+table, h.metrics, sample)
	return func(row platform.Row) {
		if row.SeenMillis > 0 {
			histogram.Update(h.rowTimes(row).SinceSeen.Microseconds())
		}
	}
}

// measuredRelay counts the reads of rows from peers and measures the time that they take, as
// table.peerReads, table.peerReadsBusy, table.peerReadsFailed and table.peerReadMicros.
type measuredRelay struct {
	platform.TableRelay

	Clock               clock.Clock
	reads, busy, failed metrics.Counter
	micros              metrics.Histogram
}

func newMeasuredRelay(relay platform.TableRelay, c clock.Clock, registry metrics.Registry) *measuredRelay {
	return &measuredRelay{
		TableRelay: relay, Clock: c,
		reads: metrics.NewRegisteredCounter("table.peerReads", registry), busy: metrics.NewRegisteredCounter("table.peerReadsBusy", registry), failed: metrics.NewRegisteredCounter("table.peerReadsFailed", registry),
		micros: metrics.NewRegisteredHistogram("table.peerReadMicros", registry, metrics.NewExpDecaySample(histogramSample, histogramAlpha)),
	}
}

// PeerRows returns a peer's rows later than after.
func (r *measuredRelay) PeerRows(ctx context.Context, table string, after platform.Position) (platform.Page, error) {
	startedAt := r.Clock.Now()
	page, err := r.TableRelay.PeerRows(ctx, table, after)
	r.reads.Inc(1)
	switch {
	case errors.Is(err, platform.ErrPeerBusy):
		r.busy.Inc(1)
	case err != nil:
		r.failed.Inc(1)
	default:
		r.micros.Update(r.Clock.Now().Sub(startedAt).Microseconds())
	}
	return page, err
}
