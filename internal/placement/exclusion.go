package placement

import "time"

// Avoid excludes a target from new requests until the given time.
func (b *Placer) Avoid(target string, until time.Time) {
	if e := b.find(target); e != nil && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// Quiet excludes a target from new requests until the given time, because the target
// asked for that. Unlike Avoid, it isn't cancelled by Resume.
func (b *Placer) Quiet(target string, until time.Time) {
	if e := b.find(target); e != nil && until.After(e.quietUntil) {
		e.quietUntil = until
	}
}

// Pace excludes a target from new requests until the given time, when its limit allows the
// next one of this host. A later call replaces the time.
func (b *Placer) Pace(target string, until time.Time) {
	if e := b.find(target); e != nil {
		e.pacedUntil = until
	}
}

// QuietUntil returns until when Quiet excludes a target, or the zero time.
func (b *Placer) QuietUntil(target string) time.Time {
	if e := b.find(target); e != nil {
		return e.quietUntil
	}
	return time.Time{}
}

// Drain excludes a target from new long requests until the given time.
func (b *Placer) Drain(target string, until time.Time) {
	if e := b.find(target); e != nil {
		e.drainUntil = until
	}
}

// Resume cancels Avoid.
func (b *Placer) Resume(target string) {
	if e := b.find(target); e != nil {
		e.avoidUntil = time.Time{}
	}
}
