package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
)

// finalWritePause is the pause between two attempts to write the last rows of the ledger.
const finalWritePause = 100 * time.Millisecond

// writeCopies writes the copies of ledger batches that this host holds for hosts that have gone. It
// tries again until each is written or another peer holds it, or ctx ends. One attempt may outlast ctx
// by callTimeout.
func writeCopies(ctx context.Context, group *peer.Group, clk clock.Clock, logger *log.Logger, callTimeout time.Duration) {
	for {
		attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		err := group.WriteCopies(attempt)
		cancel()
		if err == nil {
			return
		}
		if clock.Sleep(ctx, clk, finalWritePause) != nil {
			logger.Error().Str("part", "ledger").Int64("rows", group.MirroredRows()).Err(err).Msg("ledger: rows held for other hosts not written before shutdown")
			return
		}
	}
}

// flushLedger writes the ledger. While that fails, it tries again until ctx ends, also if a peer has
// copies, as that may be about to end. One attempt may outlast ctx by the time of a call.
func (h *RoutedHost) flushLedger(ctx context.Context) {
	for {
		attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Config.Table.CallTimeout.Duration)
		err := h.ledgerWriter.Flush(attempt)
		cancel()
		if err == nil {
			return
		}
		if clock.Sleep(ctx, h.Clock, finalWritePause) != nil {
			h.Log.Error().Str("part", "ledger").Int("rows", h.ledgerWriter.Buffered()).Err(err).Msg("ledger: rows not written before shutdown, only those copied to a peer can still be written")
			return
		}
	}
}
