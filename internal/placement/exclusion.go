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

// Restriction limits what this host places on a target that must not be overrun.
type Restriction struct {
	// Hosts is the number of hosts that share the room of the target, and Rank the number of
	// those that come before this one.
	Hosts, Rank int
}

const (
	// freeLoad is the share of the room of a restricted target up to which hosts may use more
	// than their parts, and freeParts how many parts they may use then.
	freeLoad  = 0.3
	freeParts = 2
	// dividedRoom is the share of the room that is divided among hosts. The rest is for those
	// that use more than their parts when the others begin to use theirs.
	dividedRoom = 0.85
	// usedMemory is the share of the memory that counts as room.
	usedMemory = 0.95
)

// Restrict limits the requests of this host on a target to its part of the room, so that none has
// to wait there. Nil ends the restriction.
func (b *Placer) Restrict(target string, r *Restriction) {
	if e := b.find(target); e != nil {
		e.restriction = r
	}
}

// hasRoom reports whether a request may be placed on an engine without waiting, as far as that can
// be known if all hosts keep to their parts.
func (e *engine) hasRoom(req *Request) bool {
	r := e.restriction
	if r == nil {
		return true
	}
	slots := float64(e.spec.Slots)
	size, own, all := 1/slots, float64(e.inFlight)/slots, float64(e.load())/slots
	if memory := usedMemory * float64(e.spec.MemoryTokens); memory > 0 {
		tokens := float64(req.PromptTokens + req.AnswerTokens)
		size, own, all = max(size, tokens/memory), max(own, e.heldTokens/memory), max(all, e.totalHeldTokens()/memory)
	}
	size = min(1, size) // The target decides whether it has memory for a larger one.
	const rounding = 1e-9
	// fitting is the number of requests of this size that are divided among the hosts. Each may
	// have one of them if there is room.
	hosts := max(1, r.Hosts)
	fitting := max(int(dividedRoom/size+rounding), min(int(1/size+rounding), hosts))
	part := fitting / hosts
	if r.Rank < fitting%hosts {
		part++
	}
	if own+size <= float64(part)*size+rounding {
		return true
	}
	return all+size <= freeLoad && own+size <= float64(freeParts*max(1, part))*size+rounding
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
