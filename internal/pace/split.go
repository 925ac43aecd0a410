package pace

import "math"

// Capacity describes what a target handles well. Seconds is the time of a request without a wait,
// and Limit the number of concurrent requests. Penalty are seconds that count against the target.
type Capacity struct {
	Seconds, Limit, Penalty float64
}

const (
	// fullLoad is the share of the capacity of all targets above which they are loaded in
	// proportion to it.
	fullLoad = 0.95
	// groupFactor is how much longer requests wait than if they arrived alone, since callers send
	// them in small groups.
	groupFactor = 2
	// bisections is the number of halvings of an interval. The result is exact to 1/2^bisections.
	bisections = 24
)

// Split returns the shares of requests that targets should get to keep the mean time of all
// requests short, if rate requests per second arrive. It depends on the sum of the load only, not
// on how the load is split at present: hosts that hear of loads late don't all turn to the target
// that seemed free.
func Split(rate float64, targets []Capacity) []float64 {
	shares := make([]float64, 0, len(targets))
	total := 0.0
	for i := range targets {
		total += targets[i].throughput()
	}
	if rate >= fullLoad*total {
		for i := range targets {
			shares = append(shares, targets[i].throughput()/total)
		}
		return shares
	}
	low, high := math.Inf(1), 0.0
	for i := range targets {
		low = min(low, targets[i].marginal(0))
		high = max(high, targets[i].marginal(fullLoad))
	}
	for range bisections {
		cost := (low + high) / 2
		sum := 0.0
		for i := range targets {
			sum += targets[i].loadAt(cost) * targets[i].throughput()
		}
		if sum < rate {
			low = cost
		} else {
			high = cost
		}
	}
	sum := 0.0
	for i := range targets {
		part := targets[i].loadAt(high) * targets[i].throughput()
		shares = append(shares, part)
		sum += part
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// throughput returns the requests per second at the limit.
func (c *Capacity) throughput() float64 { return c.Limit / c.Seconds }

// marginal returns the seconds by which a further request per second lengthens all requests of a
// second, at a load from 0 to 1. The wait is that of Sakasegawa's approximation for several slots.
func (c *Capacity) marginal(load float64) float64 {
	exponent := math.Sqrt(2*(c.Limit+1)) - 1
	wait := groupFactor * math.Pow(load, exponent) / (1 - load)
	slope := groupFactor * (exponent*math.Pow(load, exponent-1)/(1-load) + math.Pow(load, exponent)/((1-load)*(1-load)))
	if load == 0 {
		slope = 0
	}
	return c.Seconds + c.Penalty + c.Seconds/c.Limit*(wait+load*slope)
}

// loadAt returns the load at which the marginal time reaches cost.
func (c *Capacity) loadAt(cost float64) float64 {
	if c.marginal(0) >= cost {
		return 0
	}
	low, high := 0.0, fullLoad
	if c.marginal(high) <= cost {
		return high
	}
	for range bisections {
		middle := (low + high) / 2
		if c.marginal(middle) < cost {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
