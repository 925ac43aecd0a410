package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"sassafrasplank.example/sassafrasplank/internal/common/stall"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// maxTables limits the tables in a report.
const maxTables = 32

// TableSource provides this host's copies of the tables that it follows.
type TableSource interface {
	// States returns the state of the copy of each table.
	States() map[string]platform.CopyState
	// Confirm records that a complete copy of a table at a position includes every change up to a
	// time on Group.Steady.
	Confirm(table string, p platform.Position, at time.Time)
	// RowsAfter returns the rows later than after, or the complete table if after is of
	// an earlier era. It returns false for a table that is not followed or has not been
	// read yet.
	RowsAfter(table string, after platform.Position) (platform.Page, bool)
}

// TableVersion is the state of a host's copy of a table.
type TableVersion struct {
	Table string
	platform.CopyState
}

// NewestPeerPosition returns the position of the newest row of a table that a live
// peer has reported, or the zero position.
func (g *Group) NewestPeerPosition(table string) platform.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, newest := g.newestPeer(table)
	return newest
}

// confirmTables records what an answer, to a call sent at a time of Steady, states of the copies of its
// host: they included every change up to that time minus their age, or a later one.
func (g *Group) confirmTables(sentAt time.Time, tables []TableVersion) {
	if g.Tables == nil {
		return
	}
	for _, v := range tables {
		if v.AgeKnown {
			g.Tables.Confirm(v.Table, v.Position, sentAt.Add(-v.Age))
		}
	}
}

// encodeAge returns an age in milliseconds. It is rounded up, as a copy must not look more recent than it is.
func encodeAge(age time.Duration) *int64 {
	millis := max(0, (age+time.Millisecond-1)/time.Millisecond)
	return proto.Int64(int64(millis))
}

// peerRow is the position of a row and the peer that reported it.
type peerRow struct {
	peer string
	platform.Position
}

// updateNewestRows applies the positions in a report of a peer. The caller must hold g.mu.
func (g *Group) updateNewestRows(peer string, tables []TableVersion) {
	for _, v := range tables {
		known, ok := g.newestRows[v.Table]
		switch {
		case !ok:
		case v.After(known.Position):
			g.newestRows[v.Table] = peerRow{peer, v.Position}
		case known.peer == peer && v.Position != known.Position:
			// The peer has restarted and knows an older row.
			delete(g.newestRows, v.Table)
		}
	}
}

// newestPeer returns the live peer that reported the newest row of a table, and the
// position of that row. The caller must hold g.mu.
func (g *Group) newestPeer(table string) (best membership.Member, newest platform.Position) {
	if known, ok := g.newestRows[table]; ok {
		if m, listed := g.members.Get(known.peer); listed && m.Status == membership.Alive {
			return m, known.Position
		}
	}
	best, newest = g.findNewestPeer(table)
	if best.Name != "" {
		g.newestRows[table] = peerRow{best.Name, newest}
	}
	return best, newest
}

func (g *Group) findNewestPeer(table string) (best membership.Member, newest platform.Position) {
	for name, received := range g.reports {
		for _, v := range received.report.Tables {
			if v.Table != table || !v.After(newest) {
				continue
			}
			if m, known := g.members.Get(name); known && m.Status == membership.Alive {
				best, newest = m, v.Position
			}
		}
	}
	return best, newest
}

// PeerRows returns the rows of a table that are later than after, read from a peer that reported
// the newest row, see rowSource. It returns platform.ErrPeerBusy if that peer sends rows to others now.
func (g *Group) PeerRows(ctx context.Context, table string, after platform.Position) (platform.Page, error) {
	best, found := g.rowSource(table, after)
	if !found {
		return platform.Page{}, errors.New("no live peer has reported later rows of the table")
	}
	ctx, timer := stall.Context(ctx, exchangeTimeout, exchangeTimeout, longestRows)
	defer timer.Stop()
	sentAt := g.steadyNow()
	response, err := wire.NewPeerProtobufClient(best.URL, g.client).Rows(ctx, &wire.RowsRequest{Table: table, After: after.Version, Era: after.Era, Deflate: true})
	if err != nil {
		g.gaveNoRows(best.Name)
		var refusal twirp.Error
		if errors.As(err, &refusal) && refusal.Code() == twirp.ResourceExhausted {
			err = platform.ErrPeerBusy
		}
		return platform.Page{}, fmt.Errorf("reading rows from peer %s: %w", best.Name, err)
	}
	page := platform.Page{Version: response.Version, Era: response.Era, Whole: response.Whole}
	var unusable unusableFields
	if age, known := unusable.optionalMillis("RowsResponse.age_millis", table, response.AgeMillis); known {
		page.CompleteAt = sentAt.Add(-age)
	}
	g.logUnusable(&best, unusable.err())
	if page.Rows, err = decodeRows(response); err != nil {
		return platform.Page{}, fmt.Errorf("decoding a row from peer %s: %w", best.Name, err)
	}
	return page, nil
}

// relayedRow is a row in a message between hosts. Hosts of earlier builds ignore Raw.
type relayedRow struct {
	platform.Row

	// Raw is the value of a row whose value isn't JSON, or is nested as deeply as a document may
	// be, which Row can't contain when it is encoded. Other writers of a table can leave such rows.
	Raw []byte `json:"raw,omitempty"`
}

// encodeRow encodes a row for a peer. The value may be empty, as in a removed row, or
// any bytes.
func encodeRow(row platform.Row) ([]byte, error) {
	if data, err := json.Marshal(relayedRow{Row: row}); err == nil && json.Valid(data) {
		return data, nil
	}
	relayed := relayedRow{Row: row, Raw: row.Value}
	relayed.Value = nil
	return json.Marshal(relayed)
}

// decodeRow decodes a row from a peer. A value of null is decoded as an empty one.
func decodeRow(data []byte) (platform.Row, error) {
	var relayed relayedRow
	if err := json.Unmarshal(data, &relayed); err != nil {
		return platform.Row{}, err
	}
	if string(relayed.Value) == "null" {
		relayed.Value = relayed.Raw
	}
	return relayed.Row, nil
}

// Rows returns rows of a table from this host's copy.
func (s *server) Rows(ctx context.Context, request *wire.RowsRequest) (*wire.RowsResponse, error) {
	if s.group.Tables == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host follows no tables")
	}
	page, ok := s.group.Tables.RowsAfter(request.Table, platform.Position{Era: request.Era, Version: request.After})
	if !ok {
		return nil, twirp.NotFoundError("this host does not follow, or has not yet read, the table " + request.Table)
	}
	response := &wire.RowsResponse{Version: page.Version, Era: page.Era, Whole: page.Whole}
	if err := s.group.longRows.encode(response, page.Rows, request.Deflate); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if proto.Size(response) > longRowsBytes && !takeLongAnswer(ctx) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "this host sends rows to other hosts now")
	}
	if !page.CompleteAt.IsZero() {
		response.AgeMillis = encodeAge(s.group.steadyNow().Sub(page.CompleteAt))
	}
	return response, nil
}
