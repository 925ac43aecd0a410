package slowness

import "time"

const (
	// minWindow is the minimum time over which the tokens of a target are counted.
	minWindow = 100 * time.Millisecond
	// minWindowTokens is the minimum number of expected tokens in a window.
	minWindowTokens = 4
)

// TokenRate compares the number of tokens that the running streams of a target
// deliver with the expected number. The zero value is ready to use.
type TokenRate struct {
	streams int
	// expected and delivered are the numbers of tokens since start, the start of the
	// current window.
	expected  float64
	delivered int
	start     time.Time
	updatedAt time.Time
}

// AddStreams changes the number of running streams by n. The gap is the expected
// time between two tokens of a stream, and 0 if it is unknown.
func (t *TokenRate) AddStreams(now time.Time, gap time.Duration, n int) {
	t.advance(now, gap)
	t.streams += n
}

// AddTokens adds n delivered tokens.
func (t *TokenRate) AddTokens(n int) { t.delivered += n }

// CloseWindow closes the current window and returns its ratio of expected to
// delivered tokens. If the window is too short for a reliable ratio or has too few
// expected tokens, it stays open and ok is false.
func (t *TokenRate) CloseWindow(now time.Time, gap time.Duration) (ratio float64, ok bool) {
	t.advance(now, gap)
	if now.Sub(t.start) < minWindow || t.expected < minWindowTokens {
		return 0, false
	}
	expected, delivered := t.expected, t.delivered
	t.start = now
	t.expected = 0
	t.delivered = 0
	return expected / max(1, float64(delivered)), true
}

// advance adds the number of tokens that the streams should have delivered since
// the last call.
func (t *TokenRate) advance(now time.Time, gap time.Duration) {
	if gap > 0 && !t.updatedAt.IsZero() {
		t.expected += float64(t.streams) * float64(now.Sub(t.updatedAt)) / float64(gap)
	}
	if t.start.IsZero() {
		t.start = now
	}
	t.updatedAt = now
}
