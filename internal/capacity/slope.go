// Package capacity measures how the state, messages and processor time of an entry
// host grow with the size of the system. It produces the figures in
// docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"runtime"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// minMeasureTime is the minimum time for which an operation is repeated.
const minMeasureTime = 50 * time.Millisecond

// Point is the measured value at one size.
type Point struct {
	Size  int
	Value float64
}

// Slope is a series of measurements at increasing sizes, from which the value at a
// target size is computed.
type Slope struct {
	Name string
	Unit string
	// By names what the sizes count.
	By     string
	Points []Point
	// Target is the size at which AtTarget computes the value.
	Target int
}

// Fit returns the least-squares line a + b*size through the points.
func (s *Slope) Fit() (a, b float64) {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		x := float64(p.Size)
		sumX += x
		sumY += p.Value
		sumXX += x * x
		sumXY += x * p.Value
	}
	b = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	a = (sumY - b*sumX) / n
	return a, b
}

// AtTarget returns the fitted value at the target size.
func (s *Slope) AtTarget() float64 {
	a, b := s.Fit()
	return a + b*float64(s.Target)
}

// Extrapolated reports whether the target size is larger than all measured sizes.
func (s *Slope) Extrapolated() bool {
	return s.Target > s.Points[len(s.Points)-1].Size
}

// String formats the slope as a row of a Markdown table. An asterisk marks an
// extrapolated value.
func (s *Slope) String() string {
	a, b := s.Fit()
	measured := ""
	for _, p := range s.Points {
		measured += fmt.Sprintf("%d: %.4g, ", p.Size, p.Value)
	}
	mark := ""
	if s.Extrapolated() {
		mark = " *"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %.4g + %.4g n | %d: %.4g%s |",
		s.Name, s.Unit, s.By, measured[:len(measured)-2], a, b, s.Target, s.AtTarget(), mark)
}

// Meter measures slopes.
type Meter struct {
	Clock clock.Clock
}

// nanos returns the average time of one call of op in nanoseconds.
func (m *Meter) nanos(op func(i int)) float64 {
	start := m.Clock.Now()
	for i := 0; ; {
		const batch = 64
		for range batch {
			op(i)
			i++
		}
		if elapsed := m.Clock.Now().Sub(start); elapsed >= minMeasureTime {
			return float64(elapsed.Nanoseconds()) / float64(i)
		}
	}
}

// heapBytes returns the live heap memory of the value that build returns.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	state := build()
	after := liveHeap()
	runtime.KeepAlive(state)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
