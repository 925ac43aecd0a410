package retry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

const (
	// suspectsKept bounds the fingerprints remembered.
	suspectsKept = 4096
	// liftedFor is how long peers' reports on a lifted request are ignored.
	liftedFor = time.Minute
	// fingerprintDigits is the length of a fingerprint.
	fingerprintDigits = 32
)

// Fingerprint identifies the content of a request within its client account.
func Fingerprint(account, model, content string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(account), account, len(model), model, content))
	return hex.EncodeToString(sum[:])[:fingerprintDigits]
}

// Suspects counts for each request how many targets died while it ran. It
// isn't safe for concurrent use.
type Suspects struct {
	// Attempts is how many times a suspect is tried again.
	Attempts int
	// ExpireAfter is how long a count is remembered.
	ExpireAfter time.Duration

	counts map[string]suspect
	// lifted holds until when reports of peers on a fingerprint are ignored.
	lifted map[string]time.Time
}

type suspect struct {
	crashes int
	until   time.Time
}

// RecordCrash counts a target that died while the request ran and returns the
// number of such targets so far.
func (s *Suspects) RecordCrash(now time.Time, fingerprint string) int {
	crashes := s.CrashCount(now, fingerprint) + 1
	s.set(now, fingerprint, crashes, now)
	return crashes
}

// WithdrawCrash takes back the last crash counted, since another request is to blame.
func (s *Suspects) WithdrawCrash(fingerprint string) {
	found, ok := s.counts[fingerprint]
	if !ok {
		return
	}
	found.crashes--
	s.counts[fingerprint] = found
	if found.crashes <= 0 {
		s.Clear(fingerprint)
	}
}

// Merge takes in the count of another host, whose last crash was age ago. The
// age goes with the count, so that hosts don't remind each other for ever.
func (s *Suspects) Merge(now time.Time, fingerprint string, crashes int, age time.Duration) {
	if now.Before(s.lifted[fingerprint]) {
		return
	}
	if crashes > s.CrashCount(now, fingerprint) {
		s.set(now, fingerprint, crashes, now.Add(-age))
	}
}

// Lift forgets a request because an operator said so. Peers that haven't heard
// of it yet are not believed for a while.
func (s *Suspects) Lift(now time.Time, fingerprint string) {
	s.Clear(fingerprint)
	if s.lifted == nil {
		s.lifted = map[string]time.Time{}
	}
	for known, until := range s.lifted {
		if now.After(until) {
			delete(s.lifted, known)
		}
	}
	s.lifted[fingerprint] = now.Add(liftedFor)
}

// Clear forgets a request that has run whole.
func (s *Suspects) Clear(fingerprint string) { delete(s.counts, fingerprint) }

// CrashCount returns how many targets died while the request ran.
func (s *Suspects) CrashCount(now time.Time, fingerprint string) int {
	found, ok := s.counts[fingerprint]
	if !ok || now.After(found.until) {
		return 0
	}
	return found.crashes
}

// Exhausted reports whether a request has used up its attempts.
func (s *Suspects) Exhausted(now time.Time, fingerprint string) bool {
	return s.CrashCount(now, fingerprint) > s.Attempts
}

// Range calls f for each fingerprint, its count and the age of its last crash.
func (s *Suspects) Range(now time.Time, f func(fingerprint string, crashes int, age time.Duration)) {
	for fingerprint, found := range s.counts {
		if !now.After(found.until) {
			f(fingerprint, found.crashes, s.ExpireAfter-found.until.Sub(now))
		}
	}
}

func (s *Suspects) set(now time.Time, fingerprint string, crashes int, crashedAt time.Time) {
	if s.counts == nil {
		s.counts = map[string]suspect{}
	}
	if len(s.counts) >= suspectsKept {
		s.dropExpired(now)
	}
	s.counts[fingerprint] = suspect{crashes: crashes, until: crashedAt.Add(s.ExpireAfter)}
}

// dropExpired makes room: first the expired counts, then any one.
func (s *Suspects) dropExpired(now time.Time) {
	for fingerprint, found := range s.counts {
		if now.After(found.until) {
			delete(s.counts, fingerprint)
		}
	}
	for fingerprint := range s.counts {
		if len(s.counts) < suspectsKept {
			return
		}
		delete(s.counts, fingerprint)
	}
}
