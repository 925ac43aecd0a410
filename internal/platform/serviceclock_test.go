package platform

import (
	"testing"
	"time"
)

// The times of a host are compared with the clock of the service through the answer that took
// the shortest time. Times of another era are not converted.
func TestServiceClock(t *testing.T) {
	var c serviceClock
	begin := time.Unix(1000, 0)
	if _, ok := c.timeAt(0, 100); ok {
		t.Error("a time was converted before any answer")
	}
	c.observe(begin.Add(300*time.Millisecond), 0, 5000) // took 300 ms
	c.observe(begin.Add(1010*time.Millisecond), 0, 6000)
	c.observe(begin.Add(2500*time.Millisecond), 0, 7000)
	at, ok := c.timeAt(0, 5500)
	if want := begin.Add(510 * time.Millisecond); !ok || !at.Equal(want) {
		t.Errorf("got %s, %t for 5500 ms, want %s", at, ok, want)
	}
	if era, millis, ok := c.millisAt(at); era != 0 || millis != 5500 || !ok {
		t.Errorf("converted back: got %d ms of era %d, %t; want 5500 ms of era 0", millis, era, ok)
	}
	c.observe(begin.Add(3*time.Second), 1, 200)
	c.observe(begin.Add(4*time.Second), 0, 9000) // late
	if _, ok := c.timeAt(0, 5500); ok {
		t.Error("a time of the era before a restore was converted")
	}
	if at, ok := c.timeAt(1, 200); !ok || !at.Equal(begin.Add(3*time.Second)) {
		t.Errorf("got %s, %t for a time after the restore, want the time of its answer", at, ok)
	}
}

// The clocks of a host and the service may drift apart, so an answer is not used forever.
func TestServiceClockFollowsDrift(t *testing.T) {
	var c serviceClock
	begin := time.Unix(1000, 0)
	c.observe(begin, 0, 10_000)
	day := 24 * time.Hour
	drift := 4 * time.Second
	c.observe(begin.Add(day), 0, 10_000+(day-drift).Milliseconds())
	if at, _ := c.timeAt(0, 10_000+(day-drift).Milliseconds()); !at.Equal(begin.Add(day)) {
		t.Errorf("after a day the service seems to be at %s, want %s", at, begin.Add(day))
	}
}
