package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

const (
	// longRowsBytes is the size above which an answer with rows is long.
	longRowsBytes = 16 << 10
	// maxLongRows is the number of long answers that a host sends at the same time. All hosts want a new row
	// at the same moment; with more answers on one link, none would arrive before its caller gives up.
	maxLongRows = 2
	// longestRows limits the time in which rows arrive from a peer. Meanwhile this host may read the table service.
	longestRows = 4 * time.Second
	// avoidRowsFor is how long no rows are read from a peer that gave none, if another one has them.
	avoidRowsFor = 500 * time.Millisecond
)

// longRows counts the long answers that a host is sending, and keeps its deflated rows.
type longRows struct {
	mu   sync.Mutex
	sent int
	// deflated are the latest long rows as sent to other hosts.
	deflated map[rowKey]deflatedRow
}

// longAnswer is the long answer that a call may need, until the call ends.
type longAnswer struct {
	rows  *longRows
	taken bool
}

type longAnswerKey struct{}

// handler returns a handler like next that gives back what a call has taken once its answer has been written.
func (l *longRows) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &longAnswer{rows: l}
		defer answer.release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), longAnswerKey{}, answer)))
	})
}

// takeLongAnswer reports whether this host may send a long answer to the call of ctx now.
func takeLongAnswer(ctx context.Context) bool {
	answer, ok := ctx.Value(longAnswerKey{}).(*longAnswer)
	if !ok || answer.taken {
		return true
	}
	answer.rows.mu.Lock()
	defer answer.rows.mu.Unlock()
	if answer.rows.sent >= maxLongRows {
		return false
	}
	answer.rows.sent++
	answer.taken = true
	return true
}

func (a *longAnswer) release() {
	if !a.taken {
		return
	}
	a.rows.mu.Lock()
	defer a.rows.mu.Unlock()
	a.rows.sent--
}

// rowSource returns the live peer from which rows of a table later than after are read, and false if no peer has
// reported any: one of those with the newest row, at random, so that hosts don't all ask the same one. Peers
// that gave no rows lately come last.
func (g *Group) rowSource(table string, after platform.Position) (membership.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best membership.Member
	var newest platform.Position
	now, sources, bestAvoided := g.Clock.Now(), 0, true
	for name, received := range g.reports {
		for _, v := range received.report.Tables {
			if v.Table != table || !v.After(after) {
				continue
			}
			m, known := g.members.Get(name)
			if !known || m.Status != membership.Alive {
				continue
			}
			avoided := now.Before(g.avoidRows[name])
			switch {
			case sources == 0, bestAvoided && !avoided, bestAvoided == avoided && v.After(newest):
				best, newest, bestAvoided, sources = m, v.Position, avoided, 1
			case bestAvoided == avoided && v.Position == newest:
				if sources++; g.rng.IntN(sources) == 0 {
					best = m
				}
			}
		}
	}
	return best, sources > 0
}

// gaveNoRows records that no rows are read from a peer for a while, if another one has them.
func (g *Group) gaveNoRows(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for other, until := range g.avoidRows {
		if !now.Before(until) {
			delete(g.avoidRows, other)
		}
	}
	g.avoidRows[name] = now.Add(avoidRowsFor)
}
