package retry

import "time"

// maxAnsweredParts is the number of parts after which the older generation is dropped.
const maxAnsweredParts = 16384

// answeredParts records when parts of prompts were last answered. It holds between one and
// two times maxAnsweredParts of the latest ones.
type answeredParts struct {
	current, previous map[string]time.Time
}

func (a *answeredParts) set(part string, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnsweredParts {
		a.current, a.previous = make(map[string]time.Time), a.current
	}
	a.current[part] = now
}

// get returns the zero time for a part that isn't known.
func (a *answeredParts) get(part string) time.Time {
	if at, ok := a.current[part]; ok {
		return at
	}
	return a.previous[part]
}
