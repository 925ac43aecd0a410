package retry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Suspect is what one host tells others of a key. Hosts exchange ages, since their clocks
// differ.
type Suspect struct {
	Key string
	// Part is set for a part of prompts.
	Part bool
	// Age is the time since a request with the key last crashed a target, was answered or
	// was refused.
	Age     time.Duration
	Crashes []Crash
	// Count is the number of crashes, also of those whose targets aren't known.
	Count int
	// AnsweredAge is the time since a request with the key was last answered. It is only
	// valid if Answered is set.
	Answered    bool
	AnsweredAge time.Duration
}

// Crash is the crash of a target.
type Crash struct {
	Target string
	Age    time.Duration
}

// Report returns at most limit records for peers. One half of them are those without an
// answer and with the most crashes, the other half takes turns.
func (s *Suspects) Report(now time.Time, limit int) []Suspect {
	type entry struct {
		key    string
		record *record
	}
	var list []entry
	for key, r := range s.records {
		if !s.expired(now, r) {
			list = append(list, entry{key, r})
		}
	}
	slices.SortStableFunc(list, func(a, b entry) int { return cmp.Compare(b.record.weight(), a.record.weight()) })
	first := min(limit/2, len(list))
	rest := list[first:]
	list = list[:first]
	for range min(limit-first, len(rest)) {
		s.nextReported++
		list = append(list, rest[s.nextReported%len(rest)])
	}
	suspects := make([]Suspect, 0, len(list))
	for _, e := range list {
		suspects = append(suspects, e.record.report(now, e.key))
	}
	return suspects
}

// weight orders records in reports, the highest first.
func (r *record) weight() int {
	if r.answeredAt.IsZero() {
		return len(r.crashes) + maxCrashes
	}
	return len(r.crashes)
}

func (r *record) report(now time.Time, key string) Suspect {
	report := Suspect{Key: key, Part: r.part, Age: now.Sub(r.seenAt), Count: len(r.crashes), Answered: !r.answeredAt.IsZero()}
	if report.Answered {
		report.AnsweredAge = now.Sub(r.answeredAt)
	}
	for _, c := range r.crashes {
		report.Crashes = append(report.Crashes, Crash{Target: c.target, Age: now.Sub(c.at)})
	}
	return report
}

// Merge adds what another host tells of a key to what is known of it. It reports whether the
// key is blamed from now on.
func (s *Suspects) Merge(now time.Time, reported Suspect) (blamed bool) {
	seenAt := now.Add(-reported.Age)
	if now.Before(s.lifted[reported.Key]) || now.Sub(seenAt) > s.TTL {
		return false
	}
	r := s.record(now, reported.Key)
	r.part = r.part || reported.Part
	before := s.blamed(now, r)
	if r.seenAt.IsZero() || seenAt.Sub(r.seenAt) > reportTolerance {
		r.seenAt = seenAt
	}
	if reported.Answered {
		r.addAnswer(now.Add(-reported.AnsweredAge))
	}
	for _, c := range reported.Crashes {
		r.addCrash(crash{c.Target, now.Add(-c.Age)})
	}
	if len(reported.Crashes) == 0 {
		// Hosts of an earlier build name no targets, and count those that they were told of.
		for n := len(r.crashes) + 1; n <= min(reported.Count, maxCrashes); n++ {
			r.addCrash(crash{fmt.Sprintf("unnamed %d", n), seenAt})
		}
	}
	if reported.Count > 0 && len(r.crashes) == 0 {
		r.seenAt = now // The peer does not know of the answer.
	}
	return !before && s.blamed(now, r)
}
