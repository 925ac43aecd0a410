// Package peer implements the communication among entry hosts: they exchange
// membership updates and load reports, pass on records and table rows, and hold
// copies of each other's ledger batches.
package peer

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// Limits of a message from a peer. Messages beyond them are rejected.
const (
	maxNameBytes = 256
	maxDemands   = 4096
	maxLoads     = 16384
	maxSuspects  = 256
	maxCrashes   = 64 // of one suspect
	maxUpdates   = 256
	maxLeaving   = 256
	maxLimits    = 256
	// unknownContact is the value of ContactAgeMillis while no contact is known.
	unknownContact = -1
)

// Report describes the state of a host in each exchange.
type Report struct {
	// Revision is the revision of the records in force on the host, and
	// HighestRevision the highest one that the host knows to exist.
	Revision        int64
	HighestRevision int64
	// ContactAge is the time since the host, or a peer according to its reports, last
	// reached the table service. It is only valid if ContactKnown is set.
	ContactAge       time.Duration
	ContactKnown     bool
	RequestsInFlight int
	// Ready reports whether the host takes requests, also of other hosts.
	Ready    bool
	Demands  []AccountDemand
	Loads    []placement.TargetLoad
	Suspects []retry.Suspect
	Tables   []TableVersion
	// Leaving are targets whose answers say that they are leaving.
	Leaving []LeavingTarget
	Limits  []TargetLimit
	// Brittle is what brittle targets have stated about the requests that they can reject.
	Brittle []TargetLimit
}

// TargetLimit is what a process of a target has stated about its limit of calls, or of requests
// that it can reject.
type TargetLimit struct {
	Target string
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
	// Limited reports whether there is a limit. PerSecond is the number of calls per second
	// from all hosts together.
	Limited   bool
	PerSecond float64
	// Age is the time since the target stated it.
	Age time.Duration
}

// LeavingTarget is a process of a target that is leaving. Started is its start time in
// Unix milliseconds, 0 if unknown.
type LeavingTarget struct {
	Target  string
	Started int64
}

// AccountDemand is the demand of a client account on one host.
type AccountDemand struct {
	Account         string
	TokensPerSecond float64
	InFlight        int
}

func (r *Report) encode() *wire.Report {
	encoded := &wire.Report{
		Revision:         r.Revision,
		HighestRevision:  r.HighestRevision,
		ContactAgeMillis: unknownContact,
		RequestsInFlight: int64(r.RequestsInFlight),
		Ready:            r.Ready,
	}
	if r.ContactKnown {
		encoded.ContactAgeMillis = r.ContactAge.Milliseconds()
	}
	for _, d := range r.Demands {
		encoded.Demands = append(encoded.Demands, &wire.AccountDemand{
			Account: d.Account, TokensPerSecond: float32(d.TokensPerSecond), InFlight: int32(d.InFlight),
		})
	}
	encoded.Loads = encodeLoads(r.Loads)
	for i := range r.Suspects {
		encoded.Suspects = append(encoded.Suspects, encodeSuspect(&r.Suspects[i]))
	}
	for _, t := range r.Tables {
		encoded.Tables = append(encoded.Tables, &wire.TableVersion{Table: t.Table, Version: t.Version, Era: t.Era})
	}
	for _, t := range r.Leaving {
		encoded.Leaving = append(encoded.Leaving, &wire.LeavingTarget{Target: t.Target, Started: t.Started})
	}
	encoded.Limits, encoded.Brittle = encodeLimits(r.Limits), encodeLimits(r.Brittle)
	return encoded
}

func encodeLimits(limits []TargetLimit) []*wire.TargetLimit {
	var encoded []*wire.TargetLimit
	for _, l := range limits {
		encoded = append(encoded, &wire.TargetLimit{
			Target: l.Target, Started: l.Started, Limited: l.Limited, PerSecond: l.PerSecond, AgeMillis: l.Age.Milliseconds(),
		})
	}
	return encoded
}

// isTooLong reports whether a report has more entries of a kind than hosts send.
func isTooLong(w *wire.Report) bool {
	return len(w.Demands) > maxDemands || len(w.Loads) > maxLoads || len(w.Suspects) > maxSuspects || len(w.Tables) > maxTables ||
		len(w.Leaving) > maxLeaving || len(w.Limits) > maxLimits || len(w.Brittle) > maxLimits
}

// decodeReport validates and converts a report.
func decodeReport(w *wire.Report) (Report, error) {
	if w == nil {
		return Report{}, errors.New("peer report: missing from the message")
	}
	if isTooLong(w) {
		return Report{}, errors.New("peer report: more demands, loads, suspects, tables, leaving targets or limits than allowed")
	}
	if w.Revision < 0 || w.HighestRevision < w.Revision || w.RequestsInFlight < 0 {
		return Report{}, fmt.Errorf("peer report: a revision or the number of requests in flight is out of range: revision %d, highest revision %d", w.Revision, w.HighestRevision)
	}
	r := Report{
		Revision:         w.Revision,
		HighestRevision:  w.HighestRevision,
		ContactAge:       time.Duration(w.ContactAgeMillis) * time.Millisecond,
		ContactKnown:     w.ContactAgeMillis >= 0,
		RequestsInFlight: int(w.RequestsInFlight),
		Ready:            w.Ready,
	}
	for _, t := range w.Tables {
		r.Tables = append(r.Tables, TableVersion{Table: t.Table, Position: platform.Position{Era: t.Era, Version: t.Version}})
	}
	for _, t := range w.Leaving {
		if len(t.Target) > maxNameBytes {
			return Report{}, fmt.Errorf("peer report: the name of leaving target %.40q is too long", t.Target)
		}
		r.Leaving = append(r.Leaving, LeavingTarget{Target: t.Target, Started: t.Started})
	}
	loads, err := decodeLoads(w.Loads)
	if len(loads) > 0 {
		r.Loads = loads
	}
	limits, limitErr := decodeLimits(w.Limits)
	brittle, brittleErr := decodeLimits(w.Brittle)
	r.Limits, r.Brittle = limits, brittle
	return r, errors.Join(r.decodeDemands(w.Demands), err, r.decodeSuspects(w.Suspects), limitErr, brittleErr)
}

func decodeLimits(limits []*wire.TargetLimit) ([]TargetLimit, error) {
	var decoded []TargetLimit
	for _, l := range limits {
		if len(l.Target) > maxNameBytes || !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.AgeMillis < 0 { // This also excludes NaN.
			return nil, fmt.Errorf("peer report: limit of target %.40q is out of range or the name is too long", l.Target)
		}
		decoded = append(decoded, TargetLimit{
			Target: l.Target, Started: l.Started, Limited: l.Limited, PerSecond: l.PerSecond, Age: time.Duration(l.AgeMillis) * time.Millisecond,
		})
	}
	return decoded, nil
}

func (r *Report) decodeDemands(demands []*wire.AccountDemand) error {
	for _, d := range demands {
		if len(d.Account) > maxNameBytes || d.TokensPerSecond < 0 || d.InFlight < 0 {
			return fmt.Errorf("peer report: demand of client account %.40q is out of range or the name is too long", d.Account)
		}
		r.Demands = append(r.Demands, AccountDemand{
			Account: d.Account, TokensPerSecond: float64(d.TokensPerSecond), InFlight: int(d.InFlight),
		})
	}
	return nil
}

func encodeLoads(loads []placement.TargetLoad) []*wire.TargetLoad {
	encoded := make([]*wire.TargetLoad, 0, len(loads))
	for _, l := range loads {
		encoded = append(encoded, &wire.TargetLoad{
			Target: l.Target, Requests: int32(l.Requests), PrefillTokens: float32(l.PrefillTokens), Slowness: float32(l.Slowness), HeldTokens: float32(l.HeldTokens),
		})
	}
	return encoded
}

// decodeLoads validates and converts loads.
func decodeLoads(encoded []*wire.TargetLoad) ([]placement.TargetLoad, error) {
	if len(encoded) > maxLoads {
		return nil, fmt.Errorf("loads: want at most %d, got %d", maxLoads, len(encoded))
	}
	loads := make([]placement.TargetLoad, 0, len(encoded))
	for _, l := range encoded {
		if len(l.Target) > maxNameBytes || l.Requests < 0 || l.PrefillTokens < 0 || l.HeldTokens < 0 {
			return nil, fmt.Errorf("load of target %.40q is out of range or the name is too long", l.Target)
		}
		loads = append(loads, placement.TargetLoad{
			Target: l.Target, Requests: int(l.Requests), PrefillTokens: float64(l.PrefillTokens), Slowness: float64(l.Slowness), HeldTokens: float64(l.HeldTokens),
		})
	}
	return loads, nil
}

func encodeSuspect(s *retry.Suspect) *wire.Suspect {
	encoded := &wire.Suspect{
		Fingerprint: s.Key, Crashes: int32(s.Count), AgeMillis: s.Age.Milliseconds(), Part: s.Part,
		Answered: s.Answered, AnsweredAgeMillis: s.AnsweredAge.Milliseconds(),
	}
	for _, c := range s.Crashes {
		encoded.Targets = append(encoded.Targets, &wire.TargetCrash{Target: c.Target, AgeMillis: c.Age.Milliseconds()})
	}
	return encoded
}

// decodeSuspects validates and converts suspects.
func (r *Report) decodeSuspects(suspects []*wire.Suspect) error {
	for _, s := range suspects {
		if len(s.Fingerprint) > maxNameBytes || s.Crashes < 0 || s.AgeMillis < 0 || s.AnsweredAgeMillis < 0 || len(s.Targets) > maxCrashes {
			return fmt.Errorf("peer report: suspect %.40q is out of range or its fingerprint is too long", s.Fingerprint)
		}
		decoded := retry.Suspect{Key: s.Fingerprint, Part: s.Part, Age: time.Duration(s.AgeMillis) * time.Millisecond, Count: int(s.Crashes), Answered: s.Answered, AnsweredAge: time.Duration(s.AnsweredAgeMillis) * time.Millisecond}
		for _, c := range s.Targets {
			if len(c.Target) > maxNameBytes || c.AgeMillis < 0 {
				return fmt.Errorf("peer report: a crash of suspect %.40q is out of range or the name of its target is too long", s.Fingerprint)
			}
			decoded.Crashes = append(decoded.Crashes, retry.Crash{Target: c.Target, Age: time.Duration(c.AgeMillis) * time.Millisecond})
		}
		r.Suspects = append(r.Suspects, decoded)
	}
	return nil
}

// MessageBytes returns the encoded size of one exchange message in bytes.
func MessageBytes(from membership.Member, report *Report, updates []membership.Member) int {
	message := &wire.ExchangeRequest{From: encodeMember(from), Report: report.encode(), Updates: encodeMembers(updates)}
	return proto.Size(message)
}

func encodeMember(m membership.Member) *wire.Member {
	return &wire.Member{
		Name:          m.Name,
		Url:           m.URL,
		FailureDomain: m.FailureDomain,
		Incarnation:   m.Incarnation,
		Refutation:    m.Refutation,
		Status:        wire.Status(m.Status),
	}
}

func encodeMembers(members []membership.Member) []*wire.Member {
	encoded := make([]*wire.Member, len(members))
	for i, m := range members {
		encoded[i] = encodeMember(m)
	}
	return encoded
}

// decodeMember validates and converts a member.
func decodeMember(w *wire.Member) (membership.Member, error) {
	if w == nil || w.Name == "" || len(w.Name) > maxNameBytes || len(w.Url) > maxNameBytes {
		return membership.Member{}, errors.New("member: the name is missing, or the name or URL is too long")
	}
	status := membership.Status(w.Status)
	if status < membership.Alive || status > membership.Left {
		return membership.Member{}, fmt.Errorf("member %s: unknown status %d", w.Name, w.Status)
	}
	return membership.Member{
		Name:          w.Name,
		URL:           w.Url,
		FailureDomain: w.FailureDomain,
		Incarnation:   w.Incarnation,
		Refutation:    w.Refutation,
		Status:        status,
	}, nil
}

func decodeMembers(encoded []*wire.Member, limit int) ([]membership.Member, error) {
	if len(encoded) > limit {
		return nil, fmt.Errorf("members: want at most %d, got %d", limit, len(encoded))
	}
	members := make([]membership.Member, 0, len(encoded))
	for _, w := range encoded {
		m, err := decodeMember(w)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}
