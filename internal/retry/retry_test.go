package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// The number of extra attempts never exceeds the share of the requests plus the
// reserve.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Budget{Percent: 10, Reserve: 5}
		requests, extra := 0, 0
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Earn()
				requests++
			} else if b.Spend() {
				extra++
			}
			if float64(extra) > 5+0.1*float64(requests)+0.001 {
				t.Fatalf("got %d extra attempts for %d requests, want at most 5 plus 10%%", extra, requests)
			}
		}
	})
}

// Delays are spread over the full range from 0 to their limit. Otherwise requests
// that failed at the same time would be retried at the same time.
func TestBackoffHasFullJitter(t *testing.T) {
	b := retry.Backoff{Base: 50 * time.Millisecond, Max: time.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	for attempt, limit := range map[int]time.Duration{1: 50 * time.Millisecond, 3: 200 * time.Millisecond, 9: time.Second} {
		low, high := limit, time.Duration(0)
		for range 1000 {
			d := b.Delay(rng, attempt)
			low, high = min(low, d), max(high, d)
		}
		if high > limit || high < limit*9/10 || low > limit/10 {
			t.Errorf("attempt %d: delays from %s to %s, want 0 to %s", attempt, low, high, limit)
		}
	}
}

// A request is refused after one crash more than Attempts, and accepted again
// after the count has expired. Neither a lower count of a peer nor a late report
// after Lift changes the own count, and WithdrawCrash removes one crash only.
// Requests of different accounts have different fingerprints.
func TestSuspects(t *testing.T) {
	s := retry.Suspects{Attempts: 2, TTL: time.Minute}
	now := time.Unix(1000, 0)
	for crash := 1; crash <= 3; crash++ {
		if s.Exhausted(now, "f") {
			t.Fatalf("attempts are exhausted after %d crashes, want 3", crash-1)
		}
		s.RecordCrash(now, "f")
	}
	if !s.Exhausted(now, "f") {
		t.Error("attempts are not exhausted after 3 crashes")
	}
	if s.Exhausted(now.Add(2*time.Minute), "f") {
		t.Error("attempts are still exhausted after the count has expired")
	}
	s.Merge(now, "g", 3, 0)
	s.Merge(now, "g", 1, 0)
	if got := s.CrashCount(now, "g"); got != 3 {
		t.Errorf("got count %d after a peer reported a lower one, want 3", got)
	}
	s.Lift(now, "g")
	s.Merge(now.Add(time.Second), "g", 3, 0)
	if s.CrashCount(now, "g") != 0 {
		t.Error("a report of a peer 1 s after Lift has restored the count")
	}
	s.RecordCrash(now, "h")
	s.RecordCrash(now, "h")
	s.WithdrawCrash("h")
	if got := s.CrashCount(now, "h"); got != 1 {
		t.Errorf("got count %d after one of two crashes was withdrawn, want 1", got)
	}
	if retry.Fingerprint("a", "bc", "d") == retry.Fingerprint("ab", "c", "d") {
		t.Error("requests of two accounts have the same fingerprint")
	}
}

// The count of a suspect expires on all hosts at the same time. It would never
// expire if hosts that exchange their counts renewed them.
func TestSuspectsExpireOnAllHosts(t *testing.T) {
	a := retry.Suspects{Attempts: 2, TTL: time.Minute}
	b := retry.Suspects{Attempts: 2, TTL: time.Minute}
	now := time.Unix(1000, 0)
	a.RecordCrash(now, "f")
	for range 90 {
		now = now.Add(time.Second)
		a.Range(now, func(fingerprint string, crashes int, age time.Duration) { b.Merge(now, fingerprint, crashes, age) })
		b.Range(now, func(fingerprint string, crashes int, age time.Duration) { a.Merge(now, fingerprint, crashes, age) })
	}
	if a.CrashCount(now, "f") != 0 || b.CrashCount(now, "f") != 0 {
		t.Errorf("after 90 s: got counts %d and %d, want 0", a.CrashCount(now, "f"), b.CrashCount(now, "f"))
	}
}
