package targetlimit_test

import (
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

// If each host is rejected whenever it returns, the target must not have to reject more than it
// states.
func TestPausesKeepRejectionsOfAllHostsWithinLimit(t *testing.T) {
	const seconds = 60
	for _, perSecond := range []float64{0.5, 2, 6, 40} {
		for _, hosts := range []int{1, 4, 9, 65} {
			var b targetlimit.Brittle
			b.Add(targetlimit.Statement{Target: "t", Limited: true, PerSecond: perSecond, At: time.Now()})
			rejected := 0.0
			for host := range hosts {
				pause := b.Pause("t", hosts, float64(host)/float64(hosts))
				if pause <= 0 {
					t.Fatalf("%g a second, %d hosts: no pause", perSecond, hosts)
				}
				rejected += seconds / pause.Seconds()
			}
			const tried = 10.0 // seconds after which a target is tried again at the latest, twice that with the spread
			if most := max(perSecond, float64(hosts)/tried); rejected/seconds > most {
				t.Errorf("%g a second, %d hosts: %g rejections a second, want at most %g", perSecond, hosts, rejected/seconds, most)
			}
		}
	}
	var none targetlimit.Brittle
	if pause := none.Pause("t", 4, 0.5); pause != 0 {
		t.Errorf("pause of %s for a target that isn't brittle, want none", pause)
	}
}
