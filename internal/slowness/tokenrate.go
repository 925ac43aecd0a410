package slowness

import "time"

const (
	// rateWindow is the least time over which the tokens of a target are counted.
	rateWindow = 100 * time.Millisecond
	// leastTokens is the number of expected tokens below which a window goes on.
	leastTokens = 4
)

// TokenRate compares the tokens that the running streams of a target deliver
// with those expected of them. The zero value is ready to use.
type TokenRate struct {
	streams  int
	expected float64
	counted  int
	start    time.Time
	changed  time.Time
}

// AddStreams changes the number of running streams by n.
func (t *TokenRate) AddStreams(now time.Time, gap time.Duration, n int) {
	t.advance(now, gap)
	t.streams += n
}

// AddTokens counts n delivered tokens.
func (t *TokenRate) AddTokens(n int) { t.counted += n }

// Window closes the present window once it is long enough. It returns the
// ratio of expected to delivered tokens and whether the window tells anything.
func (t *TokenRate) Window(now time.Time, gap time.Duration) (ratio float64, ok bool) {
	t.advance(now, gap)
	if now.Sub(t.start) < rateWindow || t.expected < leastTokens {
		return 0, false
	}
	expected, counted := t.expected, t.counted
	t.start = now
	t.expected = 0
	t.counted = 0
	return expected / max(1, float64(counted)), true
}

// advance adds what the streams should have delivered since the last change.
func (t *TokenRate) advance(now time.Time, gap time.Duration) {
	if gap > 0 && !t.changed.IsZero() {
		t.expected += float64(t.streams) * float64(now.Sub(t.changed)) / float64(gap)
	}
	if t.start.IsZero() {
		t.start = now
	}
	t.changed = now
}
