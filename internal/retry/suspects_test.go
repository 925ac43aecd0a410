package retry_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/retry"
)

var begin = time.Unix(1000, 0)

func newSuspects() *retry.Suspects { return &retry.Suspects{Attempts: 2, TTL: time.Minute} }

func request(fingerprint string, parts ...string) retry.Keys {
	return retry.Keys{Request: fingerprint, Parts: parts}
}

func isRefused(s *retry.Suspects, now time.Time, keys retry.Keys) bool {
	_, refused := s.Refused(now, keys)
	return refused
}

// exchange lets hosts tell each other what they know, in messages that take delay.
func exchange(now time.Time, delay time.Duration, hosts ...*retry.Suspects) {
	for _, from := range hosts {
		report := from.Report(now, 64)
		for _, to := range hosts {
			for _, suspect := range report {
				if to != from {
					to.Merge(now.Add(delay), suspect)
				}
			}
		}
	}
}

// A request is refused after one crash more than Attempts, and accepted again
// after the record has expired. Neither a lower count of a peer nor a late report
// after Lift changes the own count, and WithdrawCrash removes one crash only.
// Requests of different accounts have different fingerprints.
func TestSuspects(t *testing.T) {
	s := newSuspects()
	now := begin
	for crash := 1; crash <= 3; crash++ {
		if isRefused(s, now, request("f")) {
			t.Fatalf("refused after %d crashes, want 3", crash-1)
		}
		s.RecordCrash(now, fmt.Sprint("t", crash), request("f"))
	}
	if !isRefused(s, now, request("f")) {
		t.Error("not refused after 3 crashes")
	}
	if isRefused(s, now.Add(2*time.Minute), request("f")) {
		t.Error("still refused after the record has expired")
	}
	three := []retry.Crash{{Target: "t1"}, {Target: "t2"}, {Target: "t3"}}
	s.Merge(now, retry.Suspect{Key: "g", Crashes: three})
	s.Merge(now, retry.Suspect{Key: "g", Crashes: three[:1]})
	if got := s.CrashCount(now, "g"); got != 3 {
		t.Errorf("got count %d after a peer reported a lower one, want 3", got)
	}
	s.Lift(now, "g")
	s.Merge(now.Add(time.Second), retry.Suspect{Key: "g", Crashes: three})
	if s.CrashCount(now, "g") != 0 {
		t.Error("a report of a peer 1 s after Lift has restored the count")
	}
	s.RecordCrash(now, "t1", request("h"))
	s.RecordCrash(now, "t2", request("h"))
	s.WithdrawCrash("t2", "h")
	if got := s.CrashCount(now, "h"); got != 1 {
		t.Errorf("got count %d after one of two crashes was withdrawn, want 1", got)
	}
	if retry.Fingerprint("a", "bc", "d") == retry.Fingerprint("ab", "c", "d") {
		t.Error("requests of two accounts have the same fingerprint")
	}
}

// Crashes of different targets that hosts see are added up. One crash counts once, also if
// several hosts had requests on the target.
func TestCrashesOfHostsAreAddedUp(t *testing.T) {
	now := begin
	hosts := []*retry.Suspects{newSuspects(), newSuspects(), newSuspects()}
	for i, s := range hosts {
		s.RecordCrash(now.Add(time.Duration(i)*10*time.Millisecond), "t0", request(fmt.Sprint("same", i), "once"))
		s.RecordCrash(now, fmt.Sprint("t", i+1), request(fmt.Sprint("other", i), "bad"))
	}
	now = now.Add(time.Second)
	exchange(now, 5*time.Millisecond, hosts...)
	exchange(now, 5*time.Millisecond, hosts...)
	for i, s := range hosts {
		if got := s.CrashCount(now, "once"); got != 1 {
			t.Errorf("host %d: got %d crashes of one target, want 1", i, got)
		}
		if !isRefused(s, now, request("new", "bad")) {
			t.Errorf("host %d: a part under which 3 targets crashed is not refused", i)
		}
	}
}

// Parts that came together in all crashes can't be told apart. Requests with some of them
// are not refused, and their answers show which part it is.
func TestSoundPartsAreToldFromTheBadOne(t *testing.T) {
	s := newSuspects()
	for i := range 3 {
		s.RecordCrash(begin, fmt.Sprint("t", i), request(fmt.Sprint("f", i), "system", "bad", "thing"))
	}
	if !isRefused(s, begin, request("new", "system", "bad", "thing")) {
		t.Error("a request with all suspect parts is not refused")
	}
	for _, parts := range [][]string{{"system", "thing"}, {"system", "other"}, {"thing"}} {
		if isRefused(s, begin, request("new", parts...)) {
			t.Errorf("a request with the parts %v is refused, though the bad one may be missing", parts)
		}
	}
	s.RecordAnswer(begin.Add(time.Second), request("new", "system", "thing"))
	if !isRefused(s, begin.Add(time.Second), request("newer", "bad")) {
		t.Error("a request with the bad part is not refused after the other ones were answered")
	}
	for _, parts := range [][]string{{"system", "bad2"}, {"system", "thing"}} {
		if isRefused(s, begin, request("new", parts...)) {
			t.Errorf("a request with the parts %v is refused", parts)
		}
	}
}

// Many targets that crash at the same moment don't make a part refused that was answered
// before, however many requests with it ran on them. Crashes that continue do.
func TestPartAnsweredBeforeNeedsMoreCrashes(t *testing.T) {
	s := newSuspects()
	s.RecordAnswer(begin, request("earlier", "system"))
	now := begin.Add(time.Second)
	for i := range 70 {
		s.RecordCrash(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("t", i), request(fmt.Sprint("f", i), "system"))
	}
	now = now.Add(time.Second)
	if isRefused(s, now, request("new", "system")) {
		t.Error("a part that was answered before is refused after many targets crashed at once")
	}
	s.RecordAnswer(now, request("new", "system"))
	if got := s.CrashCount(now, "system"); got != 0 {
		t.Errorf("%d crashes after an answer, want none", got)
	}
	for i := range 5 {
		now = now.Add(time.Second)
		s.RecordCrash(now, fmt.Sprint("u", i), request(fmt.Sprint("g", i), "system"))
	}
	if !isRefused(s, now, request("newer", "system")) {
		t.Error("a part under which 5 targets crashed one after the other since its last answer is not refused")
	}
}

// A host that knows of an answer tells those that know crashes before it only.
func TestAnswerSpreadsToPeers(t *testing.T) {
	a, b := newSuspects(), newSuspects()
	for i := range 3 {
		a.RecordCrash(begin, fmt.Sprint("t", i), request(fmt.Sprint("f", i), "sound"))
	}
	b.RecordAnswer(begin.Add(500*time.Millisecond), request("ok", "sound"))
	now := begin.Add(time.Second)
	exchange(now, 5*time.Millisecond, a, b)
	exchange(now, 5*time.Millisecond, a, b)
	if isRefused(a, now, request("new", "sound")) || isRefused(b, now, request("new", "sound")) {
		t.Error("a part is refused on one of two hosts, though it was answered after the crashes")
	}
}

// A key that is still asked for stays refused. Without requests its record expires on all
// hosts at the same time, also if messages between them take some time: it would never
// expire if hosts that exchange their records renewed them.
func TestSuspectsExpireOnAllHosts(t *testing.T) {
	a, b := newSuspects(), newSuspects()
	now := begin
	for i := range 3 {
		a.RecordCrash(now, fmt.Sprint("t", i), request(fmt.Sprint("f", i), "bad"))
	}
	for range 100 {
		now = now.Add(time.Second)
		exchange(now, 20*time.Millisecond, a, b)
		if !isRefused(b, now, request("new", "bad")) {
			t.Fatalf("a part that is still asked for is accepted %s after the crashes", now.Sub(begin))
		}
	}
	if !isRefused(a, now, request("new", "bad")) {
		t.Error("the refusals of one host didn't prolong those of the other one")
	}
	quiet := now
	for now.Sub(quiet) < 90*time.Second {
		now = now.Add(100 * time.Millisecond)
		exchange(now, 20*time.Millisecond, a, b)
	}
	if a.CrashCount(now, "bad") != 0 || b.CrashCount(now, "bad") != 0 {
		t.Errorf("90 s after the last request: got counts %d and %d, want 0", a.CrashCount(now, "bad"), b.CrashCount(now, "bad"))
	}
}

// The number of records is limited, and those with several crashes are kept longest.
func TestRecordsAreLimited(t *testing.T) {
	s := newSuspects()
	for i := range 3 {
		s.RecordCrash(begin, fmt.Sprint("t", i), request(fmt.Sprint("f", i), "bad"))
	}
	for i := range 5000 {
		s.RecordCrash(begin, "t", request(fmt.Sprint("g", i), fmt.Sprint("part", i)))
	}
	if !isRefused(s, begin, request("new", "bad")) {
		t.Error("a part under which 3 targets crashed is accepted after many single crashes")
	}
	if n := len(s.Report(begin, 10_000)); n > 1024 {
		t.Errorf("%d records, want at most 1024", n)
	}
}
