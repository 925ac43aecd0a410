package retry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

const (
	// maxSuspects is the maximum number of counts.
	maxSuspects = 4096
	// ignoreReportsFor is the time after Lift during which reports of peers about
	// the request are ignored.
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

// Suspects counts the targets that died while a request ran, by the fingerprint
// of the request. It is not safe for concurrent use.
type Suspects struct {
	// Attempts is the number of attempts that a request gets after its first crash.
	Attempts int
	// TTL is the time after the last crash at which a count expires.
	TTL time.Duration

	counts map[string]suspect
	// lifted maps a fingerprint to the time until which reports of peers about it
	// are ignored.
	lifted map[string]time.Time
}

type suspect struct {
	crashes int
	expires time.Time
}

// RecordCrash counts a target that died while the request ran. It returns the
// number of such targets so far.
func (s *Suspects) RecordCrash(now time.Time, fingerprint string) int {
	crashes := s.CrashCount(now, fingerprint) + 1
	s.set(now, fingerprint, crashes, now)
	return crashes
}

// WithdrawCrash removes the last counted crash, after it was attributed to
// another request.
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

// Merge applies the count of another host if it is higher than the own count. The
// last crash that the other host knows about was age ago. Hosts exchange the age
// with the count, since otherwise they would renew each other's counts forever.
func (s *Suspects) Merge(now time.Time, fingerprint string, crashes int, age time.Duration) {
	if now.Before(s.lifted[fingerprint]) {
		return
	}
	if crashes > s.CrashCount(now, fingerprint) {
		s.set(now, fingerprint, crashes, now.Add(-age))
	}
}

// Lift clears a request whose refusal an operator has deleted. Reports of peers
// about the request are ignored for one minute, since peers may not have applied
// the deletion yet.
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
	s.lifted[fingerprint] = now.Add(ignoreReportsFor)
}

// Clear deletes the count of a request, such as one that was answered completely.
func (s *Suspects) Clear(fingerprint string) { delete(s.counts, fingerprint) }

// CrashCount returns the number of targets that died while the request ran, 0 if
// the count has expired.
func (s *Suspects) CrashCount(now time.Time, fingerprint string) int {
	found, ok := s.counts[fingerprint]
	if !ok || now.After(found.expires) {
		return 0
	}
	return found.crashes
}

// Exhausted reports whether a request has crashed more than Attempts targets and
// must not be attempted again.
func (s *Suspects) Exhausted(now time.Time, fingerprint string) bool {
	return s.CrashCount(now, fingerprint) > s.Attempts
}

// Range calls f for each count that has not expired, with its fingerprint and the
// age of the last crash.
func (s *Suspects) Range(now time.Time, f func(fingerprint string, crashes int, age time.Duration)) {
	for fingerprint, found := range s.counts {
		if !now.After(found.expires) {
			f(fingerprint, found.crashes, s.TTL-found.expires.Sub(now))
		}
	}
}

func (s *Suspects) set(now time.Time, fingerprint string, crashes int, crashedAt time.Time) {
	if s.counts == nil {
		s.counts = map[string]suspect{}
	}
	if len(s.counts) >= maxSuspects {
		s.evict(now)
	}
	s.counts[fingerprint] = suspect{crashes: crashes, expires: crashedAt.Add(s.TTL)}
}

// evict deletes the expired counts, and then arbitrary ones until there is room
// for another count.
func (s *Suspects) evict(now time.Time) {
	for fingerprint, found := range s.counts {
		if now.After(found.expires) {
			delete(s.counts, fingerprint)
		}
	}
	for fingerprint := range s.counts {
		if len(s.counts) < maxSuspects {
			return
		}
		delete(s.counts, fingerprint)
	}
}
