package peer

import (
	"errors"
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// maxMillis is the longest time in milliseconds that a time.Duration holds.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

// millis converts a time in milliseconds. It adds the field, and returns false, if it is out of
// range.
func (u *unusableFields) millis(field, item string, value int64) (time.Duration, bool) {
	if value < 0 || value > maxMillis {
		u.add(field, item, "%d ms", value)
		return 0, false
	}
	return time.Duration(value) * time.Millisecond, true
}

// optionalMillis is like millis for a field that hosts of earlier builds don't send. It returns false
// if the field is missing.
func (u *unusableFields) optionalMillis(field, item string, value *int64) (time.Duration, bool) {
	if value == nil {
		return 0, false
	}
	return u.millis(field, item, *value)
}

// name adds the field, and returns false, if a name is too long.
func (u *unusableFields) name(field, name string) bool {
	if len(name) > maxNameBytes {
		u.add(field, name, "%d bytes", len(name))
		return false
	}
	return true
}

// count adds the field, and returns false, if a number is negative.
func (u *unusableFields) count(field, item string, value int64) bool {
	if value < 0 {
		u.add(field, item, "%d", value)
		return false
	}
	return true
}

// amount adds the field, and returns false, if a number is negative, infinite or none.
func (u *unusableFields) amount(field, item string, value float64) bool {
	if !(value >= 0) || math.IsInf(value, 0) { // This also excludes NaN.
		u.add(field, item, "%g", value)
		return false
	}
	return true
}

// first returns the first entries of a list, and adds the field if it has more.
func first[T any](u *unusableFields, field string, list []T, limit int) []T {
	if len(list) > limit {
		u.addLong(field, len(list), limit)
		return list[:limit]
	}
	return list
}

// decodeReport validates and converts a report. The error names the values that are left out.
func decodeReport(w *wire.Report) (Report, error) {
	if w == nil {
		return Report{}, errors.New("peer report: missing from the message")
	}
	var u unusableFields
	mistyped := u.addMistyped(w, "")
	r := Report{Ready: w.Ready, DemandPartial: slices.Contains(mistyped, "requests_in_flight") || slices.Contains(mistyped, "demands")}
	if w.Revision >= 0 && w.HighestRevision >= w.Revision {
		r.Revision, r.HighestRevision = w.Revision, w.HighestRevision
	} else {
		u.add("Report.highest_revision", "", "%d with revision %d", w.HighestRevision, w.Revision)
	}
	// A missing age is a contact just now.
	if w.ContactAgeMillis != unknownContact && !slices.Contains(mistyped, "contact_age_millis") {
		r.ContactAge, r.ContactKnown = u.millis("Report.contact_age_millis", "", w.ContactAgeMillis)
	}
	if u.count("Report.requests_in_flight", "", w.RequestsInFlight) {
		r.RequestsInFlight = int(w.RequestsInFlight)
	} else {
		r.DemandPartial = true
	}
	r.Demands = u.decodeDemands(w.Demands)
	r.DemandPartial = r.DemandPartial || len(r.Demands) < len(w.Demands)
	r.Loads = u.decodeLoads(w.Loads)
	r.Suspects = u.decodeSuspects(w.Suspects)
	for _, t := range first(&u, "Report.tables", w.Tables, maxTables) {
		if len(u.addMistyped(t, t.Table)) == 0 {
			v := TableVersion{Table: t.Table, CopyState: platform.CopyState{Position: platform.Position{Era: t.Era, Version: t.Version}}}
			v.Age, v.AgeKnown = u.optionalMillis("TableVersion.age_millis", t.Table, t.AgeMillis)
			r.Tables = append(r.Tables, v)
		}
	}
	for _, t := range first(&u, "Report.leaving", w.Leaving, maxLeaving) {
		if len(u.addMistyped(t, t.Target)) == 0 && u.name("LeavingTarget.target", t.Target) {
			r.Leaving = append(r.Leaving, LeavingTarget{Target: t.Target, Started: t.Started})
		}
	}
	r.Limits = u.decodeLimits(first(&u, "Report.limits", w.Limits, maxLimits))
	r.Brittle = u.decodeLimits(first(&u, "Report.brittle", w.Brittle, maxLimits))
	return r, u.err()
}

func (u *unusableFields) decodeLimits(limits []*wire.TargetLimit) []TargetLimit {
	var decoded []TargetLimit
	for _, l := range limits {
		age, ok := u.millis("TargetLimit.age_millis", l.Target, l.AgeMillis)
		if ok && len(u.addMistyped(l, l.Target)) == 0 && u.name("TargetLimit.target", l.Target) && u.amount("TargetLimit.per_second", l.Target, l.PerSecond) {
			decoded = append(decoded, TargetLimit{Target: l.Target, Started: l.Started, Limited: l.Limited, PerSecond: l.PerSecond, Age: age})
		}
	}
	return decoded
}

func (u *unusableFields) decodeDemands(demands []*wire.AccountDemand) []AccountDemand {
	var decoded []AccountDemand
	for _, d := range first(u, "Report.demands", demands, maxDemands) {
		if len(u.addMistyped(d, d.Account)) == 0 && u.name("AccountDemand.account", d.Account) &&
			u.amount("AccountDemand.tokens_per_second", d.Account, float64(d.TokensPerSecond)) && u.count("AccountDemand.in_flight", d.Account, int64(d.InFlight)) {
			decoded = append(decoded, AccountDemand{Account: d.Account, TokensPerSecond: float64(d.TokensPerSecond), InFlight: int(d.InFlight)})
		}
	}
	return decoded
}

// decodeLoads validates and converts loads. The error names the values that are left out.
func decodeLoads(encoded []*wire.TargetLoad) ([]placement.TargetLoad, error) {
	var u unusableFields
	loads := u.decodeLoads(encoded)
	return loads, u.err()
}

func (u *unusableFields) decodeLoads(encoded []*wire.TargetLoad) []placement.TargetLoad {
	if len(encoded) == 0 {
		return nil
	}
	encoded = first(u, "Report.loads", encoded, maxLoads)
	loads := make([]placement.TargetLoad, 0, len(encoded))
	for _, l := range encoded {
		if len(u.addMistyped(l, l.Target)) == 0 && u.name("TargetLoad.target", l.Target) && u.count("TargetLoad.requests", l.Target, int64(l.Requests)) &&
			u.amount("TargetLoad.prefill_tokens", l.Target, float64(l.PrefillTokens)) && u.amount("TargetLoad.held_tokens", l.Target, float64(l.HeldTokens)) &&
			u.amount("TargetLoad.slowness", l.Target, float64(l.Slowness)) {
			loads = append(loads, placement.TargetLoad{
				Target: l.Target, Requests: int(l.Requests), PrefillTokens: float64(l.PrefillTokens), Slowness: float64(l.Slowness), HeldTokens: float64(l.HeldTokens),
				Pace: u.decodePace(l),
			})
		}
	}
	return loads
}

func (u *unusableFields) decodeSuspects(suspects []*wire.Suspect) []retry.Suspect {
	var decoded []retry.Suspect
	for _, s := range first(u, "Report.suspects", suspects, maxSuspects) {
		key := s.Fingerprint
		age, ok := u.millis("Suspect.age_millis", key, s.AgeMillis)
		answeredAge, answeredOK := u.millis("Suspect.answered_age_millis", key, s.AnsweredAgeMillis)
		if !ok || !answeredOK || len(u.addMistyped(s, key)) > 0 || !u.name("Suspect.fingerprint", key) || !u.count("Suspect.crashes", key, int64(s.Crashes)) {
			continue
		}
		crashes := u.decodeCrashes(key, s.Targets)
		if len(crashes) == 0 && len(s.Targets) > 0 {
			continue // Without targets, the number of crashes would count.
		}
		decoded = append(decoded, retry.Suspect{
			Key: key, Part: s.Part, Age: age, Count: int(s.Crashes), Answered: s.Answered, AnsweredAge: answeredAge, Crashes: crashes,
		})
	}
	return decoded
}

func (u *unusableFields) decodeCrashes(key string, crashes []*wire.TargetCrash) []retry.Crash {
	var decoded []retry.Crash
	for _, c := range first(u, "Suspect.targets", crashes, maxCrashes) {
		age, ok := u.millis("TargetCrash.age_millis", key, c.AgeMillis)
		if ok && len(u.addMistyped(c, key)) == 0 && u.name("TargetCrash.target", c.Target) {
			decoded = append(decoded, retry.Crash{Target: c.Target, Age: age})
		}
	}
	return decoded
}

// senderName returns the name of the host that sent a message.
func senderName(w *wire.Member) (string, error) {
	if w == nil || w.Name == "" || len(w.Name) > maxNameBytes {
		return "", errors.New("member: the name of the sender is missing or too long")
	}
	return w.Name, nil
}

// decodeMember validates and converts a member. The error names the values that can't be used. It is
// no reason to leave the member out if usable is set.
func (u *unusableFields) decodeMember(w *wire.Member) (m membership.Member, usable bool) {
	if w == nil {
		return m, false
	}
	m = membership.Member{
		Name:          w.Name,
		URL:           w.Url,
		FailureDomain: w.FailureDomain,
		Incarnation:   w.Incarnation,
		Refutation:    w.Refutation,
		Status:        membership.Status(w.Status),
	}
	usable = u.name("Member.name", w.Name)
	if w.Name == "" {
		u.add("Member.name", "", "empty")
		usable = false
	}
	if len(w.Url) > maxNameBytes {
		u.add("Member.url", w.Name, "%d bytes", len(w.Url))
		usable = false
	}
	if m.Status < membership.Alive || m.Status > membership.Left {
		u.add("Member.status", w.Name, "%d", w.Status)
		usable = false
	}
	mistyped := u.addMistyped(w, w.Name)
	ofBuild := func(name string) bool { return name == "build" || name == "protocol" }
	usable = usable && !slices.ContainsFunc(mistyped, func(name string) bool { return !ofBuild(name) })
	// Without a usable build, the member counts as one of a build before these fields.
	if u.name("Member.build", w.Build) && u.count("Member.protocol", w.Name, int64(w.Protocol)) && !slices.ContainsFunc(mistyped, ofBuild) {
		m.Build, m.Protocol = w.Build, int(w.Protocol)
	}
	return m, usable
}

// decodeMembers validates and converts members. The error names the values that are left out.
func decodeMembers(encoded []*wire.Member, limit int) ([]membership.Member, error) {
	var u unusableFields
	encoded = first(&u, "Exchange.updates", encoded, limit)
	members := make([]membership.Member, 0, len(encoded))
	for _, w := range encoded {
		if m, usable := u.decodeMember(w); usable {
			members = append(members, m)
		}
	}
	return members, u.err()
}
