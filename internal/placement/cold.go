package placement

import "time"

// coldPenaltySeconds is the penalty of a cold target. It is longer than a warm target that is free
// takes to its first token, so that a cold one is used if the warm ones are busy.
const coldPenaltySeconds = 1

// SetCold records that a target is cold until warmAt, and excludes it from new requests until
// allowedAt, when this host may send it the next one. A later call replaces the times.
func (b *Placer) SetCold(target string, warmAt, allowedAt time.Time) {
	if e := b.find(target); e != nil {
		e.warmAt, e.coldUntil = warmAt, allowedAt
		b.anyCold = true
	}
}

// SetWarm records that a target is not cold.
func (b *Placer) SetWarm(target string) {
	if e := b.find(target); e != nil {
		e.warmAt, e.coldUntil = time.Time{}, time.Time{}
	}
	b.anyCold = false
	for _, e := range b.engines {
		b.anyCold = b.anyCold || !e.warmAt.IsZero()
	}
}

// SetEvacuated replaces the failure domains whose targets get no new requests.
func (b *Placer) SetEvacuated(domains map[string]bool) { b.evacuated = domains }

// leastIsCold reports whether the target with the lowest cost that a decision considers is cold.
func (b *Placer) leastIsCold(now time.Time, d *Decision) bool {
	if !b.anyCold || len(d.Considered) == 0 {
		return false
	}
	least := &d.Considered[0]
	for i := range d.Considered {
		if d.Considered[i].Total() < least.Total() {
			least = &d.Considered[i]
		}
	}
	return now.Before(b.engines[least.engineNumber].warmAt)
}
