package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Catchup asks peers for the changes of records after a revision, one peer after the
// other until one answers.
func (g *Group) Catchup(ctx context.Context, since int64) (recordstore.Catchup, error) {
	candidates := g.catchupCandidates(since)
	if len(candidates) == 0 {
		return recordstore.Catchup{}, errors.New("no live peer reports a higher revision")
	}
	var lastErr error
	for _, m := range candidates {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := wire.NewPeerProtobufClient(m.URL, g.client).Catchup(ctx, &wire.CatchupRequest{Since: since})
		cancel()
		if err == nil {
			return decodeCatchup(response)
		}
		lastErr = err
	}
	return recordstore.Catchup{}, fmt.Errorf("asking peers for records: %w", lastErr)
}

// catchupCandidates returns at most maxPeers live peers with a revision above since.
// Those whose revision is the highest that any peer has reported come first.
func (g *Group) catchupCandidates(since int64) []membership.Member {
	const maxPeers = 3
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []membership.Member
	for _, m := range g.members.Members() {
		received, ok := g.reports[m.Name]
		if !ok || m.Status != membership.Alive || received.report.Revision <= since {
			continue
		}
		if received.report.Revision == g.highestRevision {
			candidates = append([]membership.Member{m}, candidates...)
		} else {
			candidates = append(candidates, m)
		}
	}
	return candidates[:min(maxPeers, len(candidates))]
}

func decodeCatchup(response *wire.CatchupResponse) (recordstore.Catchup, error) {
	catchup := recordstore.Catchup{Revision: response.Revision, Full: response.Whole}
	for _, data := range response.Changes {
		var change record.Change
		if err := json.Unmarshal(data, &change); err != nil {
			return catchup, fmt.Errorf("decoding a record change from a peer: %w", err)
		}
		catchup.Changes = append(catchup.Changes, change)
	}
	return catchup, nil
}
