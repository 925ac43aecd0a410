package targetlimit

import "time"

// Brittle are the latest statements of targets about the requests that they can reject for want
// of room. PerSecond of such a statement is their number per second, from all hosts together. The
// zero value is ready to use. It is not safe for concurrent use.
type Brittle struct {
	Statements
}

const (
	// minRejectPause is the shortest time for which a host leaves a brittle target that has
	// rejected a request.
	minRejectPause = time.Second
	// rejectShare is the share of the rejections of a target that hosts use up. The rest is for
	// requests that are on their way when the first one is rejected.
	rejectShare = 0.5
)

// Pause returns for how long a host leaves a target that has rejected one of its requests. If all
// hosts do so, they use rejectShare of the rejections together. random is in [0, 1), so that they
// don't return at the same time.
func (b *Brittle) Pause(target string, hosts int, random float64) time.Duration {
	known := b.targets[target]
	if known == nil || !known.Limited {
		return 0
	}
	pause := minRejectPause
	if rate := rejectShare * known.PerSecond / float64(max(1, hosts)); rate*minRejectPause.Seconds() < 1 {
		pause = min(maxRejectPause, time.Duration(float64(time.Second)/max(minPerSecond, rate)))
	}
	return time.Duration((1 + random) * float64(pause))
}

// maxRejectPause limits the pause, so that a target is tried again.
const maxRejectPause = 10 * time.Second
