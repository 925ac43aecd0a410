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

// maxTables bounds the tables in a report.
const maxTables = 32

// TableSource gives what this host has read of the tables it follows.
type TableSource interface {
	// NewestVersions returns the version of the newest row of each table.
	NewestVersions() map[string]int64
	// RowsAfter returns the rows that are newer than a version, and false for a
	// table that isn't followed or wasn't read yet.
	RowsAfter(table string, after int64) (platform.Page, bool)
}

// TableVersion is the newest row that a host knows of a table.
type TableVersion struct {
	Table   string
	Version int64
}

// NewestPeerVersion returns the version of the newest row of a table that any
// live peer has told of.
func (g *Group) NewestPeerVersion(table string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, version := g.newestAt(table)
	return version
}

// newestAt returns the live peer that knows the newest row of a table. The lock
// must be held.
func (g *Group) newestAt(table string) (best membership.Member, newest int64) {
	for _, m := range g.table.Members() {
		told, ok := g.reports[m.Name]
		if m.Name == g.Self.Name || !ok || m.Status != membership.Alive {
			continue
		}
		for _, v := range told.report.Tables {
			if v.Table == table && v.Version > newest {
				best, newest = m, v.Version
			}
		}
	}
	return best, newest
}

// PeerRows asks the peer that knows the newest row of a table for the rows
// after a version.
func (g *Group) PeerRows(ctx context.Context, table string, after int64) (platform.Page, error) {
	g.mu.Lock()
	best, _ := g.newestAt(table)
	g.mu.Unlock()
	if best.URL == "" {
		return platform.Page{}, errors.New("no peer has told of the table")
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(best.URL, g.HTTP).Rows(ctx, &wire.RowsRequest{Table: table, After: after})
	if err != nil {
		return platform.Page{}, fmt.Errorf("asking %s for rows: %w", best.Name, err)
	}
	page := platform.Page{Version: response.Version}
	for _, data := range response.Rows {
		var row platform.Row
		if err := json.Unmarshal(data, &row); err != nil {
			return platform.Page{}, fmt.Errorf("decoding a row of %s: %w", best.Name, err)
		}
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

// Rows returns what this host has read of a table.
func (s *server) Rows(_ context.Context, request *wire.RowsRequest) (*wire.RowsResponse, error) {
	if s.group.Tables == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this host follows no tables")
	}
	page, ok := s.group.Tables.RowsAfter(request.Table, request.After)
	if !ok {
		return nil, twirp.NotFoundError("this host has not read the table " + request.Table)
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
