package peer

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// Limits of a message about placements. What is beyond them is rejected.
const (
	maxPlaceParts    = 1024
	maxPlaceExcluded = 1024
	maxProgress      = 1024
	maxShardLoads    = 64
	maxShardWaits    = 10
	// maxPlaceMillis limits the times of a request. A ticket is kept for as long as is left.
	maxPlaceMillis = int64(24 * time.Hour / time.Millisecond)
	// maxPlaceHold limits how long a call waits for a decision, in milliseconds, and maxUrgency the
	// urgency plus one of an attempt at its target.
	maxPlaceHold = 1000
	maxUrgency   = 10
)

// ShardPlacer places attempts of other hosts on the targets of shards that this host owns.
type ShardPlacer interface {
	// PlaceFor places an attempt of another host.
	PlaceFor(request *wire.PlaceRequest) *wire.PlaceResponse
	// ProgressFor records the progress of attempts that this host placed for another one. It returns the
	// loads of the shards that this host owns.
	ProgressFor(request *wire.ProgressRequest) *wire.ProgressResponse
}

var (
	// ErrHostGone is the error of a call to a host that is known to be dead or to have left, or is not
	// known.
	ErrHostGone = errors.New("the host is dead or has left")
	// ErrHostSuspect is the error of a call to a host that may be dead. The call isn't made.
	ErrHostSuspect = errors.New("the host is a suspect")
	// ErrUnknownCall is the error of a call that a host of an earlier build doesn't know.
	ErrUnknownCall = errors.New("the host is of a build that doesn't know the call")
)

// ShardOwners returns the names of up to n hosts that are to place requests on the targets of a
// shard, the one that owns it first. Hosts own shards in proportion to the capacities in the host list.
func (g *Group) ShardOwners(shard string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.starting() {
		return g.members.ListedOwnersByCapacity(shard, n)
	}
	return g.members.OwnersByCapacity(shard, n)
}

// Starting reports whether this host has started so recently that it may not have heard of all others.
func (g *Group) Starting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starting()
}

// Place asks a host to place an attempt on the targets of a shard. A host that rejects the request as
// invalid answers that it knows no target, so that it is asked for other requests.
func (g *Group) Place(ctx context.Context, host string, request *wire.PlaceRequest) (*wire.PlaceResponse, error) {
	client, err := g.shardClient(host)
	if err != nil {
		return nil, err
	}
	response, err := client.Place(ctx, request)
	if g.logRejection(host, "Place", err) {
		return &wire.PlaceResponse{Ready: true, Unusable: true}, nil
	}
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Code() == twirp.BadRoute {
		return nil, fmt.Errorf("%w: %w", ErrUnknownCall, err)
	}
	if err != nil {
		g.addRefusedConnection(ctx, host, err)
		return nil, err
	}
	if err := checkPlaceResponse(response); err != nil {
		sender := g.member(host)
		g.logUnusable(&sender, err)
		return nil, err
	}
	return response, nil
}

// addRefusedConnection makes a host a suspect if nothing listens at its address, so that other hosts own its
// shards at once. A call that takes too long says less: the host may be busy.
func (g *Group) addRefusedConnection(ctx context.Context, host string, err error) {
	if ctx.Err() != nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Failed(g.Clock.Now(), host)
}

// ReportProgress reports to a host the progress of attempts that it placed, and returns the loads that
// the host states. Reports that the host rejects as invalid are dropped.
func (g *Group) ReportProgress(ctx context.Context, host string, request *wire.ProgressRequest) (*wire.ProgressResponse, error) {
	client, err := g.shardClient(host)
	if err != nil {
		return nil, err
	}
	response, err := client.Progress(ctx, request)
	if g.logRejection(host, "Progress", err) {
		return &wire.ProgressResponse{}, nil
	}
	if err != nil {
		return nil, err
	}
	g.dropUnusableLoads(host, response)
	return response, nil
}

// dropUnusableLoads removes the loads from a response that can't be used.
func (g *Group) dropUnusableLoads(host string, response *wire.ProgressResponse) {
	var u unusableFields
	u.addMistyped(response, "")
	var usable []*wire.ShardLoad
	for _, l := range first(&u, "ProgressResponse.loads", response.Loads, maxShardLoads) {
		if u.checkLoad(l) {
			usable = append(usable, l)
		}
	}
	response.Loads = usable
	if err := u.err(); err != nil {
		sender := g.member(host)
		g.logUnusable(&sender, err)
	}
}

// checkLoad adds the fields of a load that can't be used, and returns false if there is one.
func (u *unusableFields) checkLoad(l *wire.ShardLoad) bool {
	usable := len(u.addMistyped(l, l.Shard)) == 0
	usable = u.name("ShardLoad.shard", l.Shard) && usable
	usable = u.amount("ShardLoad.wait", l.Shard, float64(l.Wait)) && usable
	l.Waits = first(u, "ShardLoad.waits", l.Waits, maxShardWaits)
	for _, wait := range l.Waits {
		usable = u.amount("ShardLoad.waits", l.Shard, float64(wait)) && usable
	}
	usable = u.amount("ShardLoad.unstored", l.Shard, float64(l.Unstored)) && usable
	return u.amount("ShardLoad.memory", l.Shard, float64(l.Memory)) && usable
}

func (g *Group) shardClient(host string) (wire.Peer, error) {
	g.mu.Lock()
	m, known := g.members.Get(host)
	g.mu.Unlock()
	if !known || m.Status == membership.Dead || m.Status == membership.Left {
		return nil, fmt.Errorf("%w: %s", ErrHostGone, host)
	}
	if m.Status != membership.Alive {
		return nil, fmt.Errorf("%w: %s", ErrHostSuspect, host)
	}
	return wire.NewPeerProtobufClient(m.URL, g.client), nil
}

// Place places an attempt of another host.
func (s *server) Place(_ context.Context, request *wire.PlaceRequest) (*wire.PlaceResponse, error) {
	if s.group.Shards == nil {
		return &wire.PlaceResponse{}, nil
	}
	if err := checkPlaceRequest(request); err != nil {
		return nil, twirp.InvalidArgumentError("place", err.Error())
	}
	request.Progress = s.group.usableProgress(request.Host, request.Progress)
	return s.group.Shards.PlaceFor(request), nil
}

// Progress records the progress of attempts that this host placed for another one.
func (s *server) Progress(_ context.Context, request *wire.ProgressRequest) (*wire.ProgressResponse, error) {
	if err := checkProgress(request.Host, request.Progress); err != nil {
		return nil, twirp.InvalidArgumentError("progress", err.Error())
	}
	request.Progress = s.group.usableProgress(request.Host, request.Progress)
	if s.group.Shards == nil {
		return &wire.ProgressResponse{}, nil
	}
	return s.group.Shards.ProgressFor(request), nil
}

func checkPlaceRequest(r *wire.PlaceRequest) error {
	if err := checkProgress(r.Host, r.Progress); err != nil {
		return err
	}
	switch {
	case r.RequestId == "" || r.Service == "" || r.Shard == "" || r.Model == "":
		return fmt.Errorf("want an ID, a service, a shard and a model, got %q, %q, %q and %q", r.RequestId, r.Service, r.Shard, r.Model)
	case len(r.Parts) == 0 || len(r.Parts) > maxPlaceParts:
		return fmt.Errorf("want 1 to %d prompt parts, got %d", maxPlaceParts, len(r.Parts))
	case len(r.Exclude) > maxPlaceExcluded:
		return fmt.Errorf("want at most %d excluded targets, got %d", maxPlaceExcluded, len(r.Exclude))
	}
	return checkPlaceAmounts(r)
}

func checkPlaceAmounts(r *wire.PlaceRequest) error {
	switch {
	case r.PromptTokens < 0 || r.AnswerTokens < 0:
		return fmt.Errorf("want zero or more tokens, got %d and %d", r.PromptTokens, r.AnswerTokens)
	case min(r.GoalMillis, r.AgeMillis) < 0 || max(r.GoalMillis, r.AgeMillis, r.LeftMillis, -r.LeftMillis) > maxPlaceMillis:
		return fmt.Errorf("want times of at most %d ms, got a goal of %d, an age of %d and %d left", maxPlaceMillis, r.GoalMillis, r.AgeMillis, r.LeftMillis)
	case r.HoldMillis < 0 || r.HoldMillis > maxPlaceHold:
		return fmt.Errorf("want to wait for 0 to %d ms, got %d", maxPlaceHold, r.HoldMillis)
	}
	for _, part := range r.Parts {
		if part.Tokens < 0 {
			return fmt.Errorf("want zero or more tokens in part %q, got %d", part.Key, part.Tokens)
		}
	}
	return nil
}

// checkPlaceResponse names the values of a response that can't be used. A response with one is not used.
func checkPlaceResponse(p *wire.PlaceResponse) error {
	var u unusableFields
	u.addMistyped(p, p.Target)
	u.count("PlaceResponse.ticket", p.Target, p.Ticket)
	u.count("PlaceResponse.version_number", p.Target, p.VersionNumber)
	u.count("PlaceResponse.reused_tokens", p.Target, int64(p.ReusedTokens))
	u.millis("PlaceResponse.retry_after_millis", p.Target, p.RetryAfterMillis)
	u.millis("PlaceResponse.expected_first_micros", p.Target, p.ExpectedFirstMicros/microsPerMilli)
	for field, seconds := range map[string]float64{"wait": p.Wait, "import": p.Import, "prefill": p.Prefill, "penalty": p.Penalty} {
		u.amount("PlaceResponse."+field, p.Target, seconds)
	}
	if p.Load != nil {
		u.checkLoad(p.Load)
	}
	if p.Urgency < 0 || p.Urgency > maxUrgency {
		u.add("PlaceResponse.urgency", p.Target, "%d", p.Urgency)
	}
	first(&u, "PlaceResponse.fetch", p.Fetch, maxPlaceParts)
	first(&u, "PlaceResponse.save", p.Save, maxPlaceParts)
	return u.err()
}

const microsPerMilli = 1000

// usableProgress returns the progress without values that can't be used.
func (g *Group) usableProgress(host string, progress []*wire.TicketProgress) []*wire.TicketProgress {
	var u unusableFields
	var usable []*wire.TicketProgress
	for _, p := range progress {
		item := fmt.Sprint(p.Ticket)
		_, known := wire.Outcome_name[int32(p.Outcome)]
		if !known {
			// An outcome of a later build still ends the attempt.
			u.add("TicketProgress.outcome", item, "%d", p.Outcome)
			p.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		}
		if _, ok := u.millis("TicketProgress.first_micros", item, p.FirstMicros/microsPerMilli); !ok {
			p.FirstMicros = 0
		}
		if len(u.addMistyped(p, item)) == 0 {
			usable = append(usable, p)
		}
	}
	if err := u.err(); err != nil {
		sender := g.member(host)
		g.logUnusable(&sender, err)
	}
	return usable
}

func checkProgress(host string, progress []*wire.TicketProgress) error {
	switch {
	case host == "" || len(host) > maxNameBytes:
		return fmt.Errorf("want the name of the host with at most %d bytes, got %d bytes", maxNameBytes, len(host))
	case len(progress) > maxProgress:
		return fmt.Errorf("want the progress of at most %d attempts, got %d", maxProgress, len(progress))
	}
	return nil
}
