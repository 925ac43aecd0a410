package retry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

const (
	// maxRecords is the maximum number of keys with a record.
	maxRecords = 1024
	// maxCrashes is the maximum number of crashes in a record, the latest ones.
	maxCrashes = 16
	// maxWithdrawn is the maximum number of withdrawn crashes in a record.
	maxWithdrawn = 4
	// sameCrashWithin is the time within which two failures of a target are one crash. A
	// target that crashed takes longer to start again.
	sameCrashWithin = 2 * time.Second
	// momentGap is the least time between two moments at which targets crash. A part of
	// prompts is not blamed for targets that crash at the same moment: they may have another
	// cause in common, and a part that is often used is then suspect of each.
	momentGap = 250 * time.Millisecond
	// answeredMoments and answeredSpan are the moments that a part with an earlier answer
	// needs to be blamed, and the least time between the first and the last crash.
	answeredMoments = 5
	answeredSpan    = 2 * time.Second
	// explainingCrashes is the number of crashes from which another part explains the crashes
	// that it shares with a part. certainFactor is the multiple of the usual moments from
	// which a part is blamed all the same.
	explainingCrashes = 2
	certainFactor     = 2
	// reportTolerance is by how much a time reported by a peer must be later than the known
	// one. A time gets later with each message, so hosts would renew it forever.
	reportTolerance = time.Second
	// answerReportTime is how long a record without crashes is kept, so that peers learn of
	// the answer.
	answerReportTime = 10 * time.Second
	// probeAfter is the shortest time after a crash, or a probe, after which one request with
	// a blamed key is let through to find out whether it still crashes targets.
	// probeAnsweredAfter is that of a key that was answered before, and is more likely to be
	// blamed for the crashes of others.
	probeAfter         = 10 * time.Minute
	probeAnsweredAfter = 10 * time.Second
	// ignoreReportsFor is the time after Lift during which reports of peers about
	// the key are ignored.
	ignoreReportsFor = time.Minute
	// fingerprintDigits is the length of a fingerprint in hexadecimal digits.
	fingerprintDigits = 32
)

// Fingerprint returns the same value for all requests with the same client account,
// model and content.
func Fingerprint(account, model, content string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(account), account, len(model), model, content))
	return hex.EncodeToString(sum[:])[:fingerprintDigits]
}

// Keys identify what may have crashed a target that ran a request.
type Keys struct {
	// Request is the fingerprint of the request.
	Request string
	// Parts are the fingerprints of the parts of its prompt that other requests may share, in
	// their order.
	Parts []string
}

// contain reports whether key is among the keys.
func (k *Keys) contain(key string) bool {
	return key == k.Request || slices.Contains(k.Parts, key)
}

// All returns the request and its parts, the last one first.
func (k *Keys) All() []string {
	list := make([]string, 0, len(k.Parts)+1)
	list = append(list, k.Request)
	for _, part := range slices.Backward(k.Parts) {
		list = append(list, part)
	}
	return list
}

// Suspects finds requests and parts of prompts that crash targets. Each request that ran on
// a target when it crashed is suspect with its parts. A key is blamed once enough targets
// have crashed under it since it was last part of an answered request. It is not safe for
// concurrent use.
type Suspects struct {
	// Attempts is the number of targets that a key may crash after the first one before it
	// is blamed.
	Attempts int
	// TTL is the time after the last crash or refusal at which a record expires.
	TTL time.Duration
	// ProbeDelay is in [0, 1) and differs from host to host, so that hosts don't probe at the
	// same time: it is the part of the shortest time by which this host probes later.
	ProbeDelay float64

	records  map[string]*record
	answered answeredParts
	// lifted maps a key to the time until which reports of peers about it are ignored.
	lifted map[string]time.Time
	// nextReported counts the records that were reported in turn.
	nextReported int
}

// RecordCrash records that a target crashed while a request ran on it. It returns the
// highest number of crashes of one of its keys since that was last answered, and the keys
// that are blamed from now on.
func (s *Suspects) RecordCrash(now time.Time, target string, keys Keys) (crashes int, blamed []string) {
	for _, key := range keys.All() {
		r := s.record(now, key)
		r.part = key != keys.Request
		before := s.blamed(now, r)
		if r.part {
			r.addCrash(crash{target, now})
		} else {
			r.insertCrash(crash{target, now}) // Each attempt of a request is a crash of its own.
		}
		r.seenAt = now
		crashes = max(crashes, len(r.crashes))
		if !before && s.blamed(now, r) {
			blamed = append(blamed, key)
		}
	}
	return crashes, blamed
}

// WithdrawCrash removes the last crash of a target from a key, after it was attributed to
// another request. Peers may still report it.
func (s *Suspects) WithdrawCrash(target, key string) {
	r := s.records[key]
	if r == nil {
		return
	}
	for i, c := range slices.Backward(r.crashes) {
		if c.target == target {
			r.crashes = slices.Delete(r.crashes, i, i+1)
			r.withdrawn = append(r.withdrawn, c)
			r.withdrawn = r.withdrawn[max(0, len(r.withdrawn)-maxWithdrawn):]
			return
		}
	}
}

// RecordAnswer records that a target has answered a request without crashing.
func (s *Suspects) RecordAnswer(now time.Time, keys Keys) {
	for _, part := range keys.Parts {
		s.answered.set(part, now)
	}
	for _, key := range keys.All() {
		if r := s.records[key]; r != nil {
			r.crashes, r.answeredAt, r.seenAt = nil, now, now
		}
	}
}

// Verdict says whether a request may be attempted.
type Verdict int

const (
	// Accepted allows the request.
	Accepted Verdict = iota
	// Probe allows the request although a key is blamed, to find out whether it still crashes
	// targets.
	Probe
	// Refused forbids the request.
	Refused
)

// Check decides whether a request may be attempted, and returns the first of its keys that is
// blamed, in the order of Keys.All. That extends the TTL of the key. Keys that are suspect of
// the same crashes can't be told apart: only requests that have all of them are refused.
func (s *Suspects) Check(now time.Time, keys Keys) (key string, verdict Verdict) {
	for _, candidate := range keys.All() {
		r := s.records[candidate]
		if r == nil || s.expired(now, r) || !s.blamed(now, r) || s.lacksCompanion(now, r, &keys) {
			continue
		}
		r.seenAt = now
		if !s.probeDue(now, r) {
			return candidate, Refused
		}
		key, verdict = candidate, Probe
	}
	if verdict == Probe {
		s.records[key].probedAt = now
	}
	return key, verdict
}

// Blamed reports whether one of the keys is blamed, without letting a probe through.
func (s *Suspects) Blamed(now time.Time, keys Keys) bool {
	return slices.ContainsFunc(keys.All(), func(key string) bool {
		r := s.records[key]
		return r != nil && !s.expired(now, r) && s.blamed(now, r) && !s.lacksCompanion(now, r, &keys)
	})
}

// probeDue reports whether one request with a blamed key may be let through.
func (s *Suspects) probeDue(now time.Time, r *record) bool {
	last := r.crashes[len(r.crashes)-1].at
	if r.probedAt.After(last) {
		last = r.probedAt
	}
	after := probeAfter
	if !r.answeredAt.IsZero() {
		after = probeAnsweredAfter
	}
	return now.Sub(last) > time.Duration((1+s.ProbeDelay)*float64(after))
}

// lacksCompanion reports whether another key is suspect of all crashes of r, and isn't among
// the keys.
func (s *Suspects) lacksCompanion(now time.Time, r *record, keys *Keys) bool {
	for key, other := range s.records {
		if !keys.contain(key) && !s.expired(now, other) && other.covers(r) {
			return true
		}
	}
	return false
}

// blamed reports whether enough targets have crashed under a key. A request runs on one
// target at a time, so each crash under it counts. Of a part, the moments count at which
// targets crashed and which no other part explains.
func (s *Suspects) blamed(now time.Time, r *record) bool {
	if !r.part {
		return len(r.crashes) > s.Attempts
	}
	needed := s.Attempts + 1
	if !r.answeredAt.IsZero() {
		needed = max(needed, answeredMoments)
	}
	all := moments(r.crashes)
	if all < needed {
		return false
	}
	if !r.answeredAt.IsZero() && r.crashes[len(r.crashes)-1].at.Sub(r.crashes[0].at) < answeredSpan {
		return false
	}
	return all >= certainFactor*needed || moments(s.unexplained(now, r)) >= needed
}

// unexplained returns the crashes of r without those that another part explains, which was
// never answered and is suspect of several of them, but not of all.
func (s *Suspects) unexplained(now time.Time, r *record) []crash {
	rest := slices.Clone(r.crashes)
	for _, other := range s.records {
		explains := other.part && other.answeredAt.IsZero() && len(other.crashes) >= explainingCrashes
		if explains && !s.expired(now, other) && !other.covers(r) {
			rest = slices.DeleteFunc(rest, other.contains)
		}
	}
	return rest
}

// CrashCount returns the number of targets that crashed under a key since it was last
// answered, 0 if the record has expired.
func (s *Suspects) CrashCount(now time.Time, key string) int {
	r := s.records[key]
	if r == nil || s.expired(now, r) {
		return 0
	}
	return len(r.crashes)
}

// Lift clears a key whose refusal an operator has deleted, and the keys that are suspect of
// none but the same crashes. Reports of peers about them are ignored for one minute, since
// peers may not have applied the deletion yet.
func (s *Suspects) Lift(now time.Time, key string) {
	if s.lifted == nil {
		s.lifted = map[string]time.Time{}
	}
	for known, until := range s.lifted {
		if now.After(until) {
			delete(s.lifted, known)
		}
	}
	until := now.Add(ignoreReportsFor)
	if r := s.records[key]; r != nil {
		for other, suspect := range s.records {
			if len(suspect.crashes) > 0 && r.covers(suspect) {
				delete(s.records, other)
				s.lifted[other] = until
			}
		}
	}
	delete(s.records, key)
	s.lifted[key] = until
}

// record returns the record of a key, and adds it if there is none.
func (s *Suspects) record(now time.Time, key string) *record {
	r := s.records[key]
	if r != nil && !s.expired(now, r) {
		return r
	}
	if s.records == nil {
		s.records = map[string]*record{}
	}
	if r == nil && len(s.records) >= maxRecords {
		s.evict(now)
	}
	r = &record{answeredAt: s.answered.get(key)}
	s.records[key] = r
	return r
}

func (s *Suspects) expired(now time.Time, r *record) bool {
	if len(r.crashes)+len(r.withdrawn) == 0 {
		return now.Sub(r.seenAt) > answerReportTime
	}
	return now.Sub(r.seenAt) > s.TTL
}

// evict deletes the expired records. If there are none, it deletes the one with the fewest
// crashes.
func (s *Suspects) evict(now time.Time) {
	fewest := ""
	for key, r := range s.records {
		if s.expired(now, r) {
			delete(s.records, key)
			continue
		}
		if fewest == "" || len(r.crashes) < len(s.records[fewest].crashes) {
			fewest = key
		}
	}
	if len(s.records) >= maxRecords {
		delete(s.records, fewest)
	}
}
