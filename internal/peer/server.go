package peer

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// Errors of calls to a host that has no pools or no records, see Group.
var (
	errNoPools   = twirp.NewError(twirp.Unimplemented, "this host does not place requests for pools")
	errNoRecords = twirp.NewError(twirp.Unimplemented, "this host has no records")
)

// server implements the service that other entry hosts call.
type server struct {
	group *Group
}

// Exchange applies a peer's membership updates and report, and returns those of
// this host.
func (s *server) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	g := s.group
	if err := g.receive(callTime{}, request.From, request.Report, request.Updates, false); err != nil {
		return nil, twirp.InvalidArgumentError("exchange", err.Error())
	}
	report := g.exchangedReport()
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.ExchangeResponse{
		From:    encodeMember(g.members.Self()),
		Report:  report.encode(),
		Updates: encodeMembers(g.members.Updates(request.From.Name)),
	}, nil
}

// Members returns all members known to this host.
func (s *server) Members(context.Context, *wire.MembersRequest) (*wire.MembersResponse, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return &wire.MembersResponse{Members: encodeMembers(s.group.members.Members())}, nil
}

// Catchup returns the changes of records after a revision.
func (s *server) Catchup(_ context.Context, request *wire.CatchupRequest) (*wire.CatchupResponse, error) {
	if s.group.Records == nil {
		return nil, errNoRecords
	}
	catchup := s.group.Records.CatchupFor(request.Since)
	response := &wire.CatchupResponse{Revision: catchup.Revision, Whole: catchup.Full}
	for _, change := range catchup.Changes {
		data, err := json.Marshal(change)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		response.Changes = append(response.Changes, data)
	}
	return response, nil
}

// KeepBatch holds a copy of a ledger batch until it is released or writeBatches has
// written it.
func (s *server) KeepBatch(_ context.Context, request *wire.KeepBatchRequest) (*wire.KeepBatchResponse, error) {
	batch := &ledger.Batch{}
	if err := json.Unmarshal(request.Batch, batch); err != nil {
		return nil, twirp.InvalidArgumentError("batch", err.Error())
	}
	if !s.group.batches.add(batch) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "the limit of ledger rows held for other hosts is reached")
	}
	return &wire.KeepBatchResponse{}, nil
}

// ReleaseBatch drops the copy of a ledger batch.
func (s *server) ReleaseBatch(_ context.Context, request *wire.ReleaseBatchRequest) (*wire.ReleaseBatchResponse, error) {
	s.group.batches.remove(request.Key)
	return &wire.ReleaseBatchResponse{}, nil
}

// fetchMembers merges all members known to the peer at url.
func (g *Group) fetchMembers(ctx context.Context, url string) error {
	response, err := wire.NewPeerProtobufClient(url, g.HTTP).Members(ctx, &wire.MembersRequest{})
	if err != nil {
		return err
	}
	members, err := decodeMembers(response.Members, maxMembers)
	g.logUnusable(&membership.Member{Name: url}, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []membership.Member
	for _, m := range members {
		if m.Name != g.Self.Name {
			others = append(others, m)
		}
	}
	g.members.Merge(g.Clock.Now(), others)
	return nil
}

// Decide admits and places a request of another host.
func (s *server) Decide(ctx context.Context, request *wire.DecideRequest) (*wire.DecideResponse, error) {
	if s.group.Pools == nil {
		return nil, errNoPools
	}
	response, err := s.group.Pools.DecideFor(ctx, request)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return response, nil
}

// Observe records the progress and the end of requests that this host placed for
// another one.
func (s *server) Observe(_ context.Context, request *wire.ObserveRequest) (*wire.ObserveResponse, error) {
	if s.group.Pools == nil {
		return nil, errNoPools
	}
	s.group.Pools.ObserveFor(request)
	return &wire.ObserveResponse{}, nil
}
