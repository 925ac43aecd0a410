package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// Periodic tasks with different intervals, some of which take a while, woke the process for each of them.
func TestPeriodicTasksRunAtCommonTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewCoalesced(clock.System{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var mu sync.Mutex
		calls, times := map[time.Duration]int{}, map[time.Time]bool{}
		var tasks sync.WaitGroup
		for _, interval := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 295 * time.Millisecond, time.Second} {
			tasks.Go(func() {
				time.Sleep(interval / 7) // They begin at different times.
				clock.Every(ctx, c, interval, func(context.Context) {
					mu.Lock()
					calls[interval]++
					times[time.Now()] = true
					mu.Unlock()
					time.Sleep(3 * time.Millisecond)
				})
			})
		}
		tasks.Wait()
		if n := len(times); n > 201 {
			t.Errorf("tasks ran at %d different times in 10 s, want at most 201", n)
		}
		for interval, n := range calls {
			if want := 10 * time.Second / interval; n < int(want)-4 || n > int(want)+1 {
				t.Errorf("interval %s: %d calls in 10 s, want about %d", interval, n, want)
			}
		}
	})
}

// A wait must end near the end of its interval, also on a clock that is far from its start.
func TestTickKeepsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewCoalesced(clock.System{})
		time.Sleep(1000 * time.Hour)
		for _, interval := range []time.Duration{0, time.Millisecond, 49 * time.Millisecond, 50 * time.Millisecond, 70 * time.Millisecond, time.Minute} {
			began := time.Now()
			if err := clock.Tick(t.Context(), c, interval); err != nil {
				t.Fatal(err)
			}
			took := time.Since(began)
			if interval < 50*time.Millisecond {
				if diff := cmp.Diff(interval, took); diff != "" {
					t.Errorf("wait for a short interval (-want +got):\n%s", diff)
				}
			} else if (took - interval).Abs() > 25*time.Millisecond {
				t.Errorf("interval %s: waited %s, want at most 25 ms more or less", interval, took)
			}
		}
	})
}
