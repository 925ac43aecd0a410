package platform

import "time"

const (
	// rowErrorPause is the time between two log lines about a row that can't be decoded.
	rowErrorPause = 10 * time.Minute
	// maxRowErrors limits the rows that are remembered. Further ones aren't logged.
	maxRowErrors = 1024
)

// RowErrors limits the log lines about rows that can't be decoded, which a host of another build may
// write again and again. It is not safe for concurrent use.
type RowErrors struct {
	loggedAt map[string]time.Time
}

// Due reports whether a row is to be logged now.
func (r *RowErrors) Due(now time.Time, key string) bool {
	at, known := r.loggedAt[key]
	if (known && now.Sub(at) < rowErrorPause) || (!known && len(r.loggedAt) >= maxRowErrors) {
		return false
	}
	if r.loggedAt == nil {
		r.loggedAt = map[string]time.Time{}
	}
	r.loggedAt[key] = now
	return true
}
