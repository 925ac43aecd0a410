package capacity_test

import (
	"math"
	"testing"

	"sassafrasplank.example/sassafrasplank/internal/capacity"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

func TestFit(t *testing.T) {
	s := capacity.Slope{Name: "x", Target: 100, Points: []capacity.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}}
	a, b := s.Fit()
	if math.Abs(a-3) > 1e-9 || math.Abs(b-2) > 1e-9 || math.Abs(s.AtTarget()-203) > 1e-9 || !s.Extrapolated() {
		t.Errorf("got %g + %g n, %g at the target; want 3 + 2 n, 203 at an extrapolated target", a, b, s.AtTarget())
	}
}

// BenchmarkSlopes measures all slopes. The command slopes prints them as a table.
func BenchmarkSlopes(b *testing.B) {
	meter := &capacity.Meter{Clock: clock.System{}}
	for range b.N {
		for _, s := range meter.All() {
			b.Log(s.String())
		}
	}
}
