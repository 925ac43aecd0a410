package pace

import (
	"math"
	"time"
)

const (
	// averageTime is the time in which a sample loses all but 1/e of its weight. It is the same on
	// all hosts, since they add up each other's sums. With 3 s, hosts took three times as long to
	// notice that a target has become slower.
	averageTime = 1500 * time.Millisecond
	// levels is the number of levels of load for which times are kept. The slots of a target are
	// levelsPerSlots levels if there are more slots than that, otherwise each is one. The levels
	// above are for requests that wait there.
	levels         = 10
	levelsPerSlots = 8
	// minWeight is the weight of the samples of a level below which they are left out of a report.
	minWeight = 0.05
)

// Sums are sums over the samples of one target: what requests took at each level of load. They
// decay, so that recent samples count most. Those of several hosts can be added up.
type Sums struct {
	// Samples, Seconds and Refused are the numbers of samples, the sums of their times, and the
	// numbers of requests that the target refused for want of room, by level.
	Samples, Seconds, Refused []float64
	// Age is the time since the sums were as stated. They have decayed since.
	Age time.Duration
}

// Empty reports whether there are no samples.
func (s *Sums) Empty() bool { return len(s.Samples) == 0 && len(s.Refused) == 0 }

// Clone returns a copy that shares no memory.
func (s *Sums) Clone() Sums {
	return Sums{
		Samples: append([]float64(nil), s.Samples...), Seconds: append([]float64(nil), s.Seconds...),
		Refused: append([]float64(nil), s.Refused...), Age: s.Age,
	}
}

// Add adds other sums. Both decay to the present first, so that the age is 0 afterwards.
func (s *Sums) Add(other *Sums) {
	s.Decay(s.Age)
	s.Age = 0
	factor := decay(other.Age)
	s.Samples = addScaled(s.Samples, other.Samples, factor)
	s.Seconds = addScaled(s.Seconds, other.Seconds, factor)
	s.Refused = addScaled(s.Refused, other.Refused, factor)
}

// Decay reduces the weight of all samples by what it loses in the given time.
func (s *Sums) Decay(d time.Duration) {
	if d <= 0 {
		return
	}
	factor := decay(d)
	for _, list := range [][]float64{s.Samples, s.Seconds, s.Refused} {
		for i := range list {
			list[i] *= factor
		}
	}
}

// add adds a sample between two levels to both of them. A request that waits behind more others
// than the highest level stands for counts with the time that it would have waited there.
func (s *Sums) add(position, seconds float64) {
	if beyond := position / (levels - 1); beyond > 1 {
		seconds /= beyond
	}
	low, share := level(position)
	s.Samples = addAt(s.Samples, low, 1-share)
	s.Seconds = addAt(s.Seconds, low, (1-share)*seconds)
	if share > 0 {
		s.Samples = addAt(s.Samples, low+1, share)
		s.Seconds = addAt(s.Seconds, low+1, share*seconds)
	}
}

func (s *Sums) addRefusal(position float64) {
	low, _ := level(position)
	s.Refused = addAt(s.Refused, low, 1)
}

// trimmed returns a copy without levels of little weight.
func (s *Sums) trimmed() Sums {
	c := s.Clone()
	for i := range c.Samples {
		if c.Samples[i] < minWeight {
			c.Samples[i], c.Seconds[i] = 0, 0
		}
	}
	for i := range c.Refused {
		if c.Refused[i] < minWeight {
			c.Refused[i] = 0
		}
	}
	c.Samples, c.Refused = withoutZeros(c.Samples), withoutZeros(c.Refused)
	c.Seconds = c.Seconds[:len(c.Samples)]
	return c
}

// weight returns the number of samples of all levels.
func (s *Sums) weight() float64 {
	sum := 0.0
	for _, weight := range s.Samples {
		sum += weight
	}
	return sum
}

// level returns the level below a position, and how near it is to the next one, from 0 to 1.
func level(position float64) (low int, share float64) {
	position = max(0, position)
	if position >= levels-1 {
		return levels - 1, 0
	}
	low = int(position)
	return low, position - float64(low)
}

func decay(d time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / averageTime.Seconds())
}

// at returns an element of a list, which may be shorter.
func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func addAt(list []float64, i int, value float64) []float64 {
	for len(list) <= i {
		list = append(list, 0)
	}
	list[i] += value
	return list
}

func addScaled(to, from []float64, factor float64) []float64 {
	for i, value := range from[:min(len(from), levels)] {
		to = addAt(to, i, factor*value)
	}
	return to
}

// withoutZeros returns a list without the zeros at its end.
func withoutZeros(list []float64) []float64 {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}
