// Package lease implements a lease on one row of the table service, so that one
// host at a time acts for all hosts. A holder acts only within the TTL of its last
// renewal. Another host takes over only after the row has been unchanged for
// longer than the TTL plus the quiet period.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is the content of the lease row.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation distinguishes the processes of one holder.
	Incarnation int64 `json:"incarnation"`
	// FencingToken increases with each new holder.
	FencingToken int64 `json:"fence"`
	// Busy contains the ids of the items that the holder works on now, Pending those
	// of the items that follow.
	Busy    []string `json:"busy,omitempty"`
	Pending []string `json:"soon,omitempty"`
}

// Decode reads and checks a Record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("lease: %w", err)
	}
	if r.Holder == "" {
		return r, fmt.Errorf("lease: no holder")
	}
	return r, nil
}

// State is the lease as one host sees it. Its times come from a monotonic clock
// that also runs while the host is suspended. It does no I/O and is not safe for
// concurrent use.
type State struct {
	Host        string
	Incarnation int64
	// TTL is how long a holder may act after the start of its last renewal.
	TTL time.Duration
	// QuietPeriod is the minimum time between the last action of one holder and the
	// first of the next.
	QuietPeriod time.Duration

	record  Record
	version int64
	// seenAt is when this host first saw this version of the row or, if the version is
	// its own confirmed write, when it sent the write.
	seenAt time.Time
	// validUntil is when this host must stop acting as the holder.
	validUntil time.Time
	known      bool
	// overtaken is set while the row is unknown, but newer than version.
	overtaken bool
	// era is the era of the table service to which version belongs. restoredAt is when
	// this host learned of it, zero while no era is known.
	era        int64
	restoredAt time.Time
}

// Era returns the era of the table service that this host knows of.
func (s *State) Era() int64 { return s.era }

// EnterEra records that the table service was restored from an older copy. What the
// lost row granted is no longer known: this host stops acting as the holder, and no host
// may take the lease before a holder of the earlier era has stopped.
func (s *State) EnterEra(now time.Time, era int64) {
	if era <= s.era {
		return
	}
	// This also holds for the first era that a host sees, since it may have started just
	// after the restore.
	s.era, s.restoredAt = era, now
	s.version, s.known, s.overtaken = 0, false, false
	s.validUntil = time.Time{}
}

// Observe applies the row as read or received at now. An absent row has
// version 0.
func (s *State) Observe(now time.Time, r Record, version int64) {
	if s.known && version <= s.version {
		return
	}
	if version != s.version {
		s.seenAt = now
	}
	s.known, s.overtaken = true, false
	r.FencingToken = max(r.FencingToken, s.record.FencingToken)
	s.record = r
	s.version = version
	if !s.ownsRow() {
		s.validUntil = time.Time{}
	}
}

// ObserveUnreadable applies a row that can't be decoded, which a host of another build may hold. Its
// holder has the usual time to renew it. Its fencing token is taken to be the highest possible: each
// new token takes a write, so that it is at most the version of the row above the first one of the
// era. What is known of the busy and pending items stays.
func (s *State) ObserveUnreadable(now time.Time, version int64) {
	s.Observe(now, Record{FencingToken: s.era<<eraShift + version, Busy: s.record.Busy, Pending: s.record.Pending}, version)
}

// Renewed records that a write of this host, sent at startedAt, took effect.
func (s *State) Renewed(startedAt time.Time, r Record, version int64) {
	s.known, s.overtaken = true, false
	s.record = r
	s.version = version
	s.seenAt = startedAt
	s.validUntil = startedAt.Add(s.TTL)
}

// RowUnknown records that the content of the row is unknown, for example after a
// write that may or may not have taken effect. The row must be read before the next
// write.
func (s *State) RowUnknown() { s.known = false }

// Overtaken records that a write of this host failed since another host had written the row before. The row must
// be read before the next write.
func (s *State) Overtaken() { s.known, s.overtaken = false, true }

// Outdated reports whether a version of the row, 0 if it is absent, is older than one that is known to exist. A peer
// may deliver such a version late.
func (s *State) Outdated(version int64) bool { return s.overtaken && version <= s.version }

// Known reports whether the content of the row is known.
func (s *State) Known() bool { return s.known }

// ownsRow reports whether this incarnation of this host wrote the row.
func (s *State) ownsRow() bool {
	return s.record.Holder == s.Host && s.record.Incarnation == s.Incarnation
}

// Holds reports whether this host holds the lease for at least the remaining
// duration.
func (s *State) Holds(now time.Time, remaining time.Duration) bool {
	return s.ownsRow() && now.Add(remaining).Before(s.validUntil)
}

// MayTake reports whether this host may write itself into the row. It may if the
// row is absent, if it names this host, or if it has been unchanged for so long
// that its holder no longer acts. It may not while the content of the row is unknown.
func (s *State) MayTake(now time.Time) bool {
	if !s.known || (!s.restoredAt.IsZero() && now.Sub(s.restoredAt) <= s.TTL+s.QuietPeriod) {
		return false
	}
	return s.version == 0 || s.record.Holder == s.Host || now.Sub(s.seenAt) > s.TTL+s.QuietPeriod
}

// Next returns the record that this host would write, and the row version on
// which the write depends.
func (s *State) Next(busy, pending []string) (r Record, version int64) {
	r = Record{Holder: s.Host, Incarnation: s.Incarnation, FencingToken: s.record.FencingToken, Busy: busy, Pending: pending}
	if !s.ownsRow() || s.validUntil.IsZero() {
		r.FencingToken++
	}
	// The token of a later era is higher, also on hosts that know no earlier one.
	r.FencingToken = max(r.FencingToken, s.era<<eraShift)
	return r, s.version
}

// eraShift separates the fencing tokens of different eras.
const eraShift = 32

// FencingToken returns the fencing token of the present holder.
func (s *State) FencingToken() int64 { return s.record.FencingToken }

// Record returns the content of the row.
func (s *State) Record() Record { return s.record }

// Holder returns the host that last wrote the row.
func (s *State) Holder() string { return s.record.Holder }
