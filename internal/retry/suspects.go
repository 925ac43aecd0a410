package retry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

const (
	// maxRecords is the maximum number of keys with a record.
	maxRecords = 1024
	// maxCrashes is the maximum number of crashes in a record.
	maxCrashes = 16
	// sameCrashWithin is the time within which two failures of a target are one crash. A
	// target that crashed takes longer to start again.
	sameCrashWithin = 2 * time.Second
	// answeredCrashes and answeredSpan are the crashes that a key with an earlier answer
	// needs to be blamed, and the least time between the first and the last of them. Many
	// targets may crash at once for another reason, and a key that is often used is then
	// among the suspects of each.
	answeredCrashes = 5
	answeredSpan    = 2 * time.Second
	// reportTolerance is by how much a time reported by a peer must be later than the known
	// one. Times get later on their way, and would get later forever among hosts that
	// report them to each other.
	reportTolerance = time.Second
	// answerReportTime is how long a record without crashes is kept, so that peers learn of
	// the answer.
	answerReportTime = 10 * time.Second
	// maxRefusalTime is the time after the last crash at which a record expires, even if
	// requests with its key are still refused.
	maxRefusalTime = time.Hour
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
// a target when it crashed is suspect with all its parts. A key is blamed once enough
// targets have crashed under it since it was last part of an answered request. It is not
// safe for concurrent use.
type Suspects struct {
	// Attempts is the number of targets that a key may crash after the first one before it
	// is blamed.
	Attempts int
	// TTL is the time after the last crash or refusal at which a record expires.
	TTL time.Duration

	records  map[string]*record
	answered answeredParts
	// lifted maps a key to the time until which reports of peers about it are ignored.
	lifted map[string]time.Time
}

// record contains what is known of one key.
type record struct {
	// crashes are the crashes since answeredAt, the earliest first.
	crashes []crash
	// answeredAt is when a request with the key was last answered, zero if none is known.
	answeredAt time.Time
	// seenAt is when a request with the key last crashed a target, was answered or was
	// refused.
	seenAt time.Time
}

type crash struct {
	target string
	at     time.Time
}

// same reports whether c and d are the same crash.
func (c crash) same(d crash) bool {
	return c.target == d.target && c.at.Sub(d.at).Abs() < sameCrashWithin
}

// RecordCrash records that a target crashed while a request ran on it. It returns the
// highest number of crashes of one of its keys since that was last answered, and the keys
// that are blamed from now on.
func (s *Suspects) RecordCrash(now time.Time, target string, keys Keys) (crashes int, blamed []string) {
	for _, key := range keys.All() {
		r := s.record(now, key)
		before := s.blamed(r)
		r.addCrash(crash{target, now})
		r.seenAt = now
		crashes = max(crashes, len(r.crashes))
		if !before && s.blamed(r) {
			blamed = append(blamed, key)
		}
	}
	return crashes, blamed
}

// WithdrawCrash removes the crash of a target from a key, after it was attributed to
// another request.
func (s *Suspects) WithdrawCrash(target, key string) {
	if r := s.records[key]; r != nil {
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.target == target })
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

// Refused reports whether a request must not be attempted, and the first of its keys that is
// blamed, in the order of Keys.All. That extends the TTL of the key. Keys that are suspect of the same crashes can't be told apart:
// only requests that have all of them are refused.
func (s *Suspects) Refused(now time.Time, keys Keys) (key string, refused bool) {
	for _, key := range keys.All() {
		r := s.records[key]
		if r == nil || s.expired(now, r) || !s.blamed(r) || s.lacksCompanion(now, r, &keys) {
			continue
		}
		r.seenAt = now
		return key, true
	}
	return "", false
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

// covers reports whether r contains all crashes of other.
func (r *record) covers(other *record) bool {
	for _, c := range other.crashes {
		if !slices.ContainsFunc(r.crashes, c.same) {
			return false
		}
	}
	return true
}

// blamed reports whether enough targets have crashed under a key.
func (s *Suspects) blamed(r *record) bool {
	n := len(r.crashes)
	if n <= s.Attempts {
		return false
	}
	return r.answeredAt.IsZero() || (n >= answeredCrashes && r.crashes[n-1].at.Sub(r.crashes[0].at) >= answeredSpan)
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
	if len(r.crashes) == 0 {
		return now.Sub(r.seenAt) > answerReportTime
	}
	return now.Sub(r.seenAt) > s.TTL || now.Sub(r.crashes[len(r.crashes)-1].at) > maxRefusalTime
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

// addCrash adds a crash after the last answer, unless it is known.
func (r *record) addCrash(c crash) {
	if !c.at.After(r.answeredAt) {
		return
	}
	if i := slices.IndexFunc(r.crashes, c.same); i >= 0 {
		if c.at.Before(r.crashes[i].at) {
			r.crashes[i].at = c.at
		}
		return
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = r.crashes[:min(maxCrashes, len(r.crashes))]
}

// addAnswer applies an answer reported by a peer.
func (r *record) addAnswer(at time.Time) {
	later := slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return !c.at.After(at) })
	if at.Sub(r.answeredAt) > reportTolerance || len(later) < len(r.crashes) {
		r.answeredAt, r.crashes = at, later
	}
}

// Suspect is what one host tells others of a key. Hosts exchange ages, since their clocks
// differ.
type Suspect struct {
	Key string
	// Age is the time since a request with the key last crashed a target, was answered or
	// was refused.
	Age     time.Duration
	Crashes []Crash
	// AnsweredAge is the time since a request with the key was last answered. It is only
	// valid if Answered is set.
	Answered    bool
	AnsweredAge time.Duration
}

// Crash is the crash of a target.
type Crash struct {
	Target string
	Age    time.Duration
}

// Report returns at most limit records for peers, those with several crashes first.
func (s *Suspects) Report(now time.Time, limit int) []Suspect {
	var several, others []Suspect
	for key, r := range s.records {
		switch {
		case s.expired(now, r):
		case len(r.crashes) > 1:
			several = append(several, r.report(now, key))
		case len(others) < limit:
			others = append(others, r.report(now, key))
		}
	}
	slices.SortStableFunc(several, func(a, b Suspect) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	several = append(several, others...)
	return several[:min(limit, len(several))]
}

func (r *record) report(now time.Time, key string) Suspect {
	report := Suspect{Key: key, Age: now.Sub(r.seenAt), Answered: !r.answeredAt.IsZero()}
	if report.Answered {
		report.AnsweredAge = now.Sub(r.answeredAt)
	}
	for _, c := range r.crashes {
		report.Crashes = append(report.Crashes, Crash{Target: c.target, Age: now.Sub(c.at)})
	}
	return report
}

// Merge adds what another host tells of a key to what is known of it. It reports whether the
// key is blamed from now on.
func (s *Suspects) Merge(now time.Time, reported Suspect) (blamed bool) {
	seenAt := now.Add(-reported.Age)
	if now.Before(s.lifted[reported.Key]) || now.Sub(seenAt) > s.TTL {
		return false
	}
	r := s.record(now, reported.Key)
	before := s.blamed(r)
	if r.seenAt.IsZero() || seenAt.Sub(r.seenAt) > reportTolerance {
		r.seenAt = seenAt
	}
	if reported.Answered {
		r.addAnswer(now.Add(-reported.AnsweredAge))
	}
	for _, c := range reported.Crashes {
		r.addCrash(crash{c.Target, now.Add(-c.Age)})
	}
	if len(reported.Crashes) > 0 && len(r.crashes) == 0 {
		r.seenAt = now // The peer does not know of the answer.
	}
	return !before && s.blamed(r)
}
