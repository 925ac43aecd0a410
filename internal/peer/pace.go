package peer

import (
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// maxPaceLevels limits the levels of load in the sums of a target.
const maxPaceLevels = 32

func encodePace(to *wire.TargetLoad, sums *pace.Sums) {
	if sums.Empty() {
		return
	}
	to.PaceSamples, to.PaceSeconds, to.PaceRefused = singles(sums.Samples), singles(sums.Seconds), singles(sums.Refused)
	to.PaceAgeMillis = sums.Age.Milliseconds()
}

// decodePace validates and converts the sums of a load. They are left out, without the rest of the
// load, if they can't be used.
func (u *unusableFields) decodePace(l *wire.TargetLoad) pace.Sums {
	age, ok := u.millis("TargetLoad.pace_age_millis", l.Target, l.PaceAgeMillis)
	if !ok {
		return pace.Sums{}
	}
	if len(l.PaceSeconds) != len(l.PaceSamples) {
		u.add("TargetLoad.pace_seconds", l.Target, "%d values for %d levels", len(l.PaceSeconds), len(l.PaceSamples))
		return pace.Sums{}
	}
	sums := pace.Sums{Age: age}
	var usable [3]bool
	sums.Samples, usable[0] = u.doubles("TargetLoad.pace_samples", l.Target, l.PaceSamples)
	sums.Seconds, usable[1] = u.doubles("TargetLoad.pace_seconds", l.Target, l.PaceSeconds)
	sums.Refused, usable[2] = u.doubles("TargetLoad.pace_refused", l.Target, l.PaceRefused)
	if slices.Contains(usable[:], false) {
		return pace.Sums{}
	}
	return sums
}

func singles(values []float64) []float32 {
	if len(values) == 0 {
		return nil
	}
	list := make([]float32, len(values))
	for i, value := range values {
		list[i] = float32(value)
	}
	return list
}

// doubles converts amounts. It adds the field, and returns false, if one can't be used or there are
// too many.
func (u *unusableFields) doubles(field, item string, values []float32) ([]float64, bool) {
	if len(values) > maxPaceLevels {
		u.addLong(field, len(values), maxPaceLevels)
		return nil, false
	}
	if len(values) == 0 {
		return nil, true
	}
	list := make([]float64, len(values))
	for i, value := range values {
		if list[i] = float64(value); !u.amount(field, item, list[i]) {
			return nil, false
		}
	}
	return list, true
}

// aged returns loads whose sums are older by the given time.
func aged(loads []placement.TargetLoad, age time.Duration) []placement.TargetLoad {
	if !slices.ContainsFunc(loads, func(l placement.TargetLoad) bool { return !l.Pace.Empty() }) {
		return loads
	}
	loads = slices.Clone(loads)
	for i := range loads {
		loads[i].Pace.Age += age
	}
	return loads
}

// addPace adds the sums of a load that is older by the given time.
func addPace(sum, l *placement.TargetLoad, age time.Duration) {
	if l.Pace.Empty() {
		return
	}
	older := l.Pace
	older.Age += age
	sum.Pace.Add(&older)
}
