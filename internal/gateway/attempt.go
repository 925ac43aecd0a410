package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// Stream is the kind of route whose answers are events.
const Stream = routing.Stream

// attempt is one try of a request on one target.
type attempt struct {
	target   fleet.Target
	decision placement.Decision
	ticket   placement.Ticket
	// version names the weights on the board, number is their version.
	version string
	number  int64
	wall    string
	chain   []prefix.Key
	// found are the sources of the prompt's parts.
	found []source
	// fetch and save are the addresses from and to which parts move, empty for
	// those that don't; both are nil when none does.
	fetch, save []string
	// until ends the reading from stores, in milliseconds on the clock of the
	// targets; 0 when none is read from.
	until int64
}

// placementRequest returns what placement needs to know of work.
func (g *Gateway) placementRequest(w *work.Work) placement.Request {
	req := placement.Request{
		ID:            w.ID,
		Account:       w.Account,
		Model:         w.Service,
		Version:       plainVersion,
		PromptTokens:  max(1, w.PromptTokens),
		MayProbe:      w.Route.Repeatable(),
		FailureDomain: g.FailureDomain,
	}
	if len(w.Parts) > 0 {
		req.FailureDomain = ""
		req.AnswerTokens = w.AnswerTokens
		req.MaxMemoryShare = max(leastMemory, g.Config.MemoryShare-g.Config.MemoryStep*float64(w.Priority))
		req.Long = w.AnswerTokens > g.Config.Placement.LongTokens
		req.ChainTokens = make([]int, 0, len(w.Parts))
		tokens := 0
		for _, part := range w.Parts {
			tokens += part.Tokens
			req.ChainTokens = append(req.ChainTokens, tokens)
		}
		req.Affinity = affinity(w)
	}
	return req
}

// leastMemory is the part of a target's memory that requests of any priority may
// take.
const leastMemory = 0.5

// affinity hashes the longest part that the prompt may share with others. The
// last part belongs to the request or its session.
func affinity(w *work.Work) uint64 {
	part := w.Parts[max(0, len(w.Parts)-sharedBehind)]
	sum := sha256.Sum256([]byte(w.Service + "/" + part.Key))
	return max(1, binary.LittleEndian.Uint64(sum[:8]))
}

// sharedBehind is the place of the longest shared part, counted from the end.
const sharedBehind = 2

// wall returns the text that keeps cache apart: by client account where it is
// isolated, and by the weights that made it.
func wall(w *work.Work, version string) string {
	if w.Isolated {
		return "account/" + w.Account + "/" + version
	}
	return "shared/" + version
}

// partKey identifies a part of a prompt behind a wall.
func partKey(wall, part string) prefix.Key {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(wall)) + ":" + wall + part))
	return prefix.Key(sum[:len(prefix.Key{})])
}

// choose places a request, or tells why no target can be used.
func (g *Gateway) choose(req *placement.Request, w *work.Work) (*attempt, string) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var at *attempt
	if w.Model == "" {
		at = g.try(now, req, w, plainVersion, 0)
	} else {
		at = g.chooseWeights(now, req, w)
	}
	if at == nil {
		return nil, "no target holds weights that are still allowed"
	}
	if at.decision.Target == "" {
		return nil, refusal(&at.decision, req)
	}
	t, ok := g.Fleet.Find(at.decision.Target)
	if !ok {
		return nil, "the target has just left"
	}
	at.target = t
	req.Version = at.version
	req.Chain = at.chain
	if at.chain != nil {
		g.move(w, at)
	}
	at.ticket = g.board.Start(now, req, &at.decision)
	return at, ""
}

// refusal tells why a decision names no target, with the figures behind it.
func refusal(d *placement.Decision, req *placement.Request) string {
	switch d.Reason {
	case placement.ReasonNoMemory:
		return fmt.Sprintf("the emptiest one's memory would be %.2f full, at most %.2f is allowed", d.MemoryTaken, req.MaxMemoryShare)
	case placement.ReasonNoLongSlot:
		return "none has room for long answers"
	default:
		return "none is listed, ready and sound"
	}
}

// chooseWeights prefers the newest weights while they answer in time. Otherwise
// the fastest target serves whose weights are still allowed, so that a swap
// doesn't crowd the first targets that have finished it. Where no target can be
// used, it returns the last try.
func (g *Gateway) chooseWeights(now time.Time, req *placement.Request, w *work.Work) *attempt {
	model := g.model(w.Model)
	versions := model.held
	var best, none *attempt
	for _, version := range versions {
		if !g.allowed(now, model, version) {
			break
		}
		at := g.try(now, req, w, versionName(w.Model, version), version)
		if at.decision.Target == "" {
			none = at
			continue
		}
		if best == nil || at.decision.Chosen.Total() < best.decision.Chosen.Total() {
			best = at
		}
		if best.decision.Chosen.Total() < newVersionShare*w.Route.Goal.Seconds() {
			break
		}
	}
	if best == nil {
		return none
	}
	return best
}

// try asks the board for a target with one version of the weights. Its decision
// may name none.
func (g *Gateway) try(now time.Time, req *placement.Request, w *work.Work, version string, number int64) *attempt {
	at := &attempt{version: version, number: number}
	req.Version = version
	req.Chain, req.FetchSeconds = nil, nil
	if len(w.Parts) > 0 {
		at.wall = wall(w, version)
		at.chain = g.chain(w, at)
		at.found = g.sources(w, at.chain, g.bytesPerToken, g.fetchRate)
		req.Chain = at.chain
		req.FetchSeconds = make([]float64, len(at.found))
		for i := range at.found {
			req.FetchSeconds[i] = at.found[i].seconds
		}
	}
	g.board.Place(now, req, &at.decision)
	return at
}

// move decides which parts are fetched from elsewhere and which are saved. The
// lock must be held.
func (g *Gateway) move(w *work.Work, at *attempt) {
	chosen := &at.decision.Chosen
	if chosen.Source == placement.SourceFetch {
		at.fetch = make([]string, len(w.Parts))
		for i := chosen.FirstBlock; i < chosen.EndBlock; i++ {
			at.fetch[i] = at.found[i].address
			if s := at.found[i].store; s != nil {
				until := s.clock + readLease.Milliseconds()
				if at.until == 0 || until < at.until {
					at.until = until
				}
			}
		}
	}
	at.save = g.saveTo(w, at.chain)
}

func (g *Gateway) chain(w *work.Work, at *attempt) []prefix.Key {
	keys := make([]prefix.Key, 0, len(w.Parts))
	for _, part := range w.Parts {
		keys = append(keys, partKey(at.wall, part.Key))
	}
	return keys
}

// call describes an attempt for the target client.
func (r *run) call(at *attempt) *Call {
	return &Call{
		Work:      r.work,
		Target:    at.target,
		Remaining: r.work.Deadline.Sub(r.g.Clock.Now()),
		Namespace: at.wall,
		Version:   at.number,
		Priority:  r.work.Priority,
		Fetch:     at.fetch,
		FetchEnd:  at.until,
		Save:      at.save,
		After:     r.after,
	}
}

// end takes an attempt off the board.
func (g *Gateway) end(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Finish(g.Clock.Now(), &at.ticket)
}

func (g *Gateway) firstToken(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.RecordFirstToken(g.Clock.Now(), &at.ticket)
}

func (g *Gateway) tokens(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	if cfg := g.routes.Load(); cfg != nil {
		if e := cfg.Services[at.target.Service].Engine; e != nil {
			n = max(1, e.TokensPerEvent)
		}
	}
	g.board.RecordTokens(g.Clock.Now(), &at.ticket, n)
}

func (g *Gateway) outcome(at *attempt, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.RecordOutcome(g.Clock.Now(), at.target.ID, failed)
}

func (g *Gateway) succeeded(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.lostInARow, at.target.ID)
	g.board.RecordOutcome(g.Clock.Now(), at.target.ID, false)
}

// mostAvoid bounds how many times AvoidFor a target is avoided. A dead target is
// off the list by then.
const mostAvoid = 8

// unreachable keeps new work from a target, each time in a row for twice as
// long: one that is dead runs nothing and would else seem to have most room.
func (g *Gateway) unreachable(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	times := min(mostAvoid, max(1, 2*g.lostInARow[at.target.ID]))
	g.lostInARow[at.target.ID] = times
	g.board.RecordOutcome(now, at.target.ID, true)
	g.board.Avoid(at.target.ID, now.Add(time.Duration(times)*g.Config.Retries.AvoidFor.Duration))
}

// misdirected keeps new work from an address that belongs to another target
// now, or whose weights aren't those listed, until the list is newer.
func (g *Gateway) misdirected(at *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Avoid(at.target.ID, g.Clock.Now().Add(g.Config.Retries.AvoidFor.Duration))
}

// failed records a failure of a target, and the suspicion against a request
// under which a target died.
func (g *Gateway) failed(r *run, at *attempt, err error) {
	var broken *BrokenError
	lost := errors.As(err, &broken) && broken.Lost
	now := g.Clock.Now()
	g.mu.Lock()
	g.board.RecordOutcome(now, at.target.ID, true)
	crashes := 0
	if lost {
		crashes = g.suspects.RecordCrash(now, r.work.Fingerprint)
	}
	g.mu.Unlock()
	r.logFailure(at, err, crashes)
}
