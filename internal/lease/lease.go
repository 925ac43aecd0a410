// Package lease lets one host at a time act for all, by one row of the table
// service. A holder acts only while its last renewal is young enough; another
// host takes over only when the row has not changed for longer than that.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is what the row of a lease holds.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation tells the lives of one holder apart.
	Incarnation int64 `json:"incarnation"`
	// FencingToken grows with each new holder.
	FencingToken int64 `json:"fence"`
	// Busy names what the holder is working on, Soon what it will be.
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

// State is what one host knows of a lease. Times are of a clock that also
// counts while the host is suspended. It does no I/O; its caller serializes
// access.
type State struct {
	Host        string
	Incarnation int64
	// TTL is how long a holder may act after it began its last renewal.
	TTL time.Duration
	// Margin is the time between the last act of one holder and the first of the
	// next.
	Margin time.Duration

	record  Record
	version int64
	// seen is when this version of the row was first seen.
	seen time.Time
	// until is when this host must stop to act.
	until time.Time
	known bool
}

// Observe takes in the row as it was read or told at a time. An absent row has
// version 0.
func (s *State) Observe(now time.Time, r Record, version int64) {
	if s.known && version <= s.version {
		return
	}
	if version != s.version {
		s.seen = now
	}
	s.known = true
	s.record = r
	s.version = version
	if !s.mine() {
		s.until = time.Time{}
	}
}

// Renewed notes that a write of this host, begun at a time, took effect.
func (s *State) Renewed(begun time.Time, r Record, version int64) {
	s.known = true
	s.record = r
	s.version = version
	s.seen = begun
	s.until = begun.Add(s.TTL)
}

// Unknown notes that a write of this host may or may not have taken effect. The
// row must be read before the next one.
func (s *State) Unknown() { s.known = false }

// Known reports whether the row as last seen may be built on.
func (s *State) Known() bool { return s.known }

// mine reports whether this life of this host wrote the row.
func (s *State) mine() bool {
	return s.record.Holder == s.Host && s.record.Incarnation == s.Incarnation
}

// Holds reports whether this host may act now and for a while.
func (s *State) Holds(now time.Time, while time.Duration) bool {
	return s.mine() && now.Add(while).Before(s.until)
}

// MayTake reports whether this host may write itself into the row: when it is
// absent, its own, or unchanged for so long that its holder has stopped.
func (s *State) MayTake(now time.Time) bool {
	if !s.known {
		return false
	}
	return s.version == 0 || s.record.Holder == s.Host || now.Sub(s.seen) > s.TTL+s.Margin
}

// Next returns the record that this host would write, and the version that the
// row must still have.
func (s *State) Next(busy, soon []string) (r Record, version int64) {
	r = Record{Holder: s.Host, Incarnation: s.Incarnation, FencingToken: s.record.FencingToken, Busy: busy, Pending: soon}
	if !s.mine() {
		r.FencingToken++
	}
	return r, s.version
}

// FencingToken returns the fencing number of the present holder.
func (s *State) FencingToken() int64 { return s.record.FencingToken }

// Record returns what the row holds.
func (s *State) Record() Record { return s.record }

// Holder returns the host that wrote the row last.
func (s *State) Holder() string { return s.record.Holder }
