package platform

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// followPage is the number of rows read in one call of a whole table.
	followPage = 500
	// followRetry is the pause after a call that failed. It bounds how much
	// later than the return of the service a change is heard of.
	followRetry = 250 * time.Millisecond
)

// TableFollower gives the changes of a table.
type TableFollower interface {
	Page(ctx context.Context, s Scan) (Page, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Follower keeps up with one table: it reads the table once, then its feed, and
// reads it again when the history was dropped. Fields are set before Run.
type Follower struct {
	Client TableFollower
	Table  string
	// Wait is how long one call waits for a change. It also bounds how long a
	// connection that has gone silent is believed.
	Wait time.Duration
	// Pause is the time between two calls.
	Pause time.Duration
	Clock clock.Clock
	Log   *log.Logger
	// Apply takes in changed rows, or all rows of the table when whole is set.
	Apply func(rows []Row, whole bool)
	// Lost and Regained are called when the service stops or starts to answer
	// this follower. They may be nil.
	Lost, Regained func()

	after  int64
	loaded bool
	away   bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.Pause
		if err := f.step(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			f.failed(err)
			pause = followRetry
		}
		if pause > 0 {
			_ = clock.Sleep(ctx, f.Clock, pause) // The loop looks at ctx.
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	page, err := f.Client.Feed(ctx, f.Table, f.after, f.Wait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded = false
		f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("after", f.after).
			Msg("follower: history is gone, reading the table again")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.answered()
	if len(page.Rows) > 0 {
		f.Apply(page.Rows, false)
	}
	f.after = max(f.after, page.Version)
	return nil
}

// load reads the whole table. The feed goes on from the version of the first
// page, so that changes between two pages are told again.
func (f *Follower) load(ctx context.Context) error {
	var rows []Row
	var version int64
	scan := Scan{Table: f.Table, Limit: followPage}
	for first := true; ; first = false {
		page, err := f.Client.Page(ctx, scan)
		if err != nil {
			return err
		}
		if first {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		scan.After = page.Rows[len(page.Rows)-1].Key
	}
	f.answered()
	f.Apply(rows, true)
	f.after = version
	f.loaded = true
	return nil
}

func (f *Follower) answered() {
	if !f.away {
		return
	}
	f.away = false
	f.Log.Info().Str("part", "follower").Str("table", f.Table).Int64("after", f.after).
		Msg("follower: table service answers again")
	if f.Regained != nil {
		f.Regained()
	}
}

func (f *Follower) failed(err error) {
	if f.away {
		return
	}
	f.away = true
	f.Log.Warn().Str("part", "follower").Str("table", f.Table).Int64("after", f.after).Err(err).
		Msg("follower: table service gives no answer")
	if f.Lost != nil {
		f.Lost()
	}
}
