package gateway

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
)

// AgeOfConfig returns the time since the time up to which this host knows of every configuration, and
// false if that isn't known.
func (g *Gateway) AgeOfConfig() (time.Duration, bool) {
	if g.ConfigAge == nil {
		return 0, false
	}
	return g.ConfigAge()
}

// Disallowed returns the refusal of a request that the configuration in force doesn't allow. It is final, unless
// a newer one that this host should know by now may allow the request: the caller may then return, and reach
// a host that is up to date.
func (g *Gateway) Disallowed(refusal *failure.Error) *failure.Error {
	age, known := g.AgeOfConfig()
	if !known || age <= g.Config.Table.ChangeWithin.Duration {
		return refusal
	}
	g.count("requests.refusedOutdated")
	return failure.Busy(failure.CutOff, g.RetryAfter(), "%s, but this host has had no news of configurations for %d ms", refusal.Message, age.Milliseconds())
}
