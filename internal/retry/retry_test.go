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
