// Package peer implements the communication among entry hosts: they exchange
// membership updates and load reports, pass on records and table rows, and hold
// copies of each other's ledger batches.
package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// Limits of a message from a peer. What is beyond them is left out.
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
	// DemandPartial is set if RequestsInFlight or a demand of the host couldn't be used.
	DemandPartial bool
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
		version := &wire.TableVersion{Table: t.Table, Version: t.Version, Era: t.Era}
		if t.AgeKnown {
			version.AgeMillis = encodeAge(t.Age)
		}
		encoded.Tables = append(encoded.Tables, version)
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

func encodeLoads(loads []placement.TargetLoad) []*wire.TargetLoad {
	encoded := make([]*wire.TargetLoad, 0, len(loads))
	for i := range loads {
		encoded = append(encoded, encodeLoad(&loads[i]))
	}
	return encoded
}

func encodeLoad(l *placement.TargetLoad) *wire.TargetLoad {
	encoded := &wire.TargetLoad{
		Target: l.Target, Requests: int32(l.Requests), PrefillTokens: float32(l.PrefillTokens), Slowness: float32(l.Slowness), HeldTokens: float32(l.HeldTokens),
	}
	encodePace(encoded, &l.Pace)
	return encoded
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
		Build:         m.Build,
		Protocol:      int32(m.Protocol),
	}
}

func encodeMembers(members []membership.Member) []*wire.Member {
	encoded := make([]*wire.Member, len(members))
	for i, m := range members {
		encoded[i] = encodeMember(m)
	}
	return encoded
}
