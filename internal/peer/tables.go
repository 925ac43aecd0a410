package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// maxTables limits the tables in a report.
const maxTables = 32

// TableSource provides this host's copies of the tables that it follows.
type TableSource interface {
	// NewestVersions returns the highest row version of each table.
	NewestVersions() map[string]int64
	// RowsAfter returns the rows whose version is above after. It returns false for
	// a table that is not followed or has not been read yet.
	RowsAfter(table string, after int64) (platform.Page, bool)
}

// TableVersion is the highest row version that a host knows of a table.
type TableVersion struct {
	Table   string
	Version int64
}

// NewestPeerVersion returns the highest row version of a table that a live peer
// has reported, or 0.
func (g *Group) NewestPeerVersion(table string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, version := g.newestPeer(table)
	return version
}

// newestPeer returns the live peer that reported the highest row version of a
// table, and that version. The caller must hold g.mu.
func (g *Group) newestPeer(table string) (best membership.Member, newest int64) {
	for _, m := range g.members.Members() {
		received, ok := g.reports[m.Name]
		if m.Name == g.Self.Name || !ok || m.Status != membership.Alive {
			continue
		}
		for _, v := range received.report.Tables {
			if v.Table == table && v.Version > newest {
				best, newest = m, v.Version
			}
		}
	}
	return best, newest
}

// PeerRows returns the rows of a table whose version is above after, read from the
// peer that reported the highest version.
func (g *Group) PeerRows(ctx context.Context, table string, after int64) (platform.Page, error) {
	g.mu.Lock()
	best, _ := g.newestPeer(table)
	g.mu.Unlock()
	if best.URL == "" {
		return platform.Page{}, errors.New("no live peer has reported a version of the table")
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(best.URL, g.HTTP).Rows(ctx, &wire.RowsRequest{Table: table, After: after})
	if err != nil {
		return platform.Page{}, fmt.Errorf("reading rows from peer %s: %w", best.Name, err)
	}
	page := platform.Page{Version: response.Version}
	for _, data := range response.Rows {
		var row platform.Row
		if err := json.Unmarshal(data, &row); err != nil {
			return platform.Page{}, fmt.Errorf("decoding a row from peer %s: %w", best.Name, err)
		}
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

// Rows returns rows of a table from this host's copy.
func (s *server) Rows(_ context.Context, request *wire.RowsRequest) (*wire.RowsResponse, error) {
	if s.group.Tables == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host follows no tables")
	}
	page, ok := s.group.Tables.RowsAfter(request.Table, request.After)
	if !ok {
		return nil, twirp.NotFoundError("this host does not follow, or has not yet read, the table " + request.Table)
	}
	response := &wire.RowsResponse{Version: page.Version}
	for _, row := range page.Rows {
		data, err := json.Marshal(row)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		response.Rows = append(response.Rows, data)
	}
	return response, nil
}
