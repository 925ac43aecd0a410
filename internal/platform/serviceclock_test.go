package platform

import (
	"testing"
	"time"
)

// The clocks of a host and the service are compared by the answer that took the shortest
// time, and a time is never converted to a later one. Times of another era are not converted.
func TestServiceClock(t *testing.T) {
	var c serviceClock
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	if _, ok := c.timeAt(0, 100); ok {
		t.Error("a time was converted before any answer")
	}
	// At the beginning, the clock of the service shows 5000.
	c.observe(at(0), 900*time.Millisecond, 0, 5900)
	if got, ok := c.timeAt(0, 5900); !ok || got.After(at(900)) {
		t.Errorf("after a slow answer: got %s, %t for 5900 ms, want no later time than %s", got, ok, at(900))
	}
	c.observe(at(1000), 20*time.Millisecond, 0, 6010)
	c.observe(at(2000), 600*time.Millisecond, 0, 7500)
	got, ok := c.timeAt(0, 5500)
	if want := at(490); !ok || !got.Equal(want) {
		t.Errorf("got %s, %t for 5500 ms, want %s", got, ok, want)
	}
	if era, millis, ok := c.millisAt(got); era != 0 || millis != 5500 || !ok {
		t.Errorf("converted back: got %d ms of era %d, %t; want 5500 ms of era 0", millis, era, ok)
	}
	c.observe(at(3000), 0, 1, 200)
	c.observe(at(4000), 0, 0, 9000) // late
	if _, ok := c.timeAt(0, 5500); ok {
		t.Error("a time of the era before a restore was converted")
	}
	if got, ok := c.timeAt(1, 200); !ok || !got.Equal(at(3000)) {
		t.Errorf("got %s, %t for a time after the restore, want the time of its answer", got, ok)
	}
}

// The clocks of a host and the service may drift apart, so an answer is not used forever.
func TestServiceClockFollowsDrift(t *testing.T) {
	var c serviceClock
	begin := time.Unix(1000, 0)
	c.observe(begin, 0, 0, 10_000)
	const day, drift = 24 * time.Hour, 4 * time.Second
	c.observe(begin.Add(day), 0, 0, 10_000+(day+drift).Milliseconds())
	if at, _ := c.timeAt(0, 10_000+(day+drift).Milliseconds()); !at.Equal(begin.Add(day)) {
		t.Errorf("after a day the service seems to be at %s, want %s", at, begin.Add(day))
	}
}

// A time of the service that is later than the one it showed would let a row count as written later than it was.
func TestEarliestTimeOfServiceIsNeverLate(t *testing.T) {
	var c serviceClock
	begin := time.Unix(1000, 0)
	if _, _, ok := c.earliestMillisAt(begin); ok {
		t.Error("a time was converted before any answer")
	}
	// At the beginning the clock of the service shows 5000. It answers at the end of a call of 200 ms.
	c.observe(begin, 200*time.Millisecond, 3, 5200)
	for _, test := range []struct {
		at    time.Duration
		slack int64
	}{{0, 1}, {-time.Second, 2}, {time.Second, 2}, {time.Hour, 721}} {
		era, got, ok := c.earliestMillisAt(begin.Add(test.at))
		if late := got - 5000 - test.at.Milliseconds(); era != 3 || !ok || late > 0 || late < -test.slack {
			t.Errorf("%s after the call: got %d ms of era %d, %t, which is %d ms late; want at most %d ms early in era 3", test.at, got, era, ok, late, test.slack)
		}
	}
}
