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
	_, verdict := s.Check(now, keys)
	return verdict == retry.Refused
}

// crash records crashes of different targets, one second apart, under requests of their own
// that share the given parts. It returns the time of the last one.
func crash(s *retry.Suspects, now time.Time, targets int, parts ...string) time.Time {
	for i := range targets {
		now = now.Add(time.Second)
		name := fmt.Sprint(now.Unix(), "-", i)
		s.RecordCrash(now, "t"+name, request("f"+name, parts...))
	}
	return now
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
	s.Merge(now, retry.Suspect{Key: "g", Crashes: three, Count: 3})
	s.Merge(now, retry.Suspect{Key: "g", Crashes: three[:1], Count: 1})
	if got := s.CrashCount(now, "g"); got != 3 {
		t.Errorf("got count %d after a peer reported a lower one, want 3", got)
	}
	s.Lift(now, "g")
	s.Merge(now.Add(time.Second), retry.Suspect{Key: "g", Crashes: three, Count: 3})
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

// A request that crashes a target again, soon after that has restarted, has crashed it twice.
func TestRequestCrashesSameTargetAgain(t *testing.T) {
	s := newSuspects()
	for i := range 3 {
		s.RecordCrash(begin.Add(time.Duration(i)*1100*time.Millisecond), "t", request("f"))
	}
	if now := begin.Add(3 * time.Second); !isRefused(s, now, request("f")) {
		t.Errorf("not refused after 3 crashes of one target, count %d", s.CrashCount(now, "f"))
	}
}

// Crashes of different targets that hosts see are added up. One crash counts once, also if
// several hosts had requests on the target.
func TestCrashesOfHostsAreAddedUp(t *testing.T) {
	now := begin
	hosts := []*retry.Suspects{newSuspects(), newSuspects(), newSuspects()}
	for i, s := range hosts {
		s.RecordCrash(now.Add(time.Duration(i)*10*time.Millisecond), "t0", request(fmt.Sprint("same", i), "once"))
		s.RecordCrash(now.Add(time.Duration(i)*300*time.Millisecond), fmt.Sprint("t", i+1), request(fmt.Sprint("other", i), "bad"))
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
	now := crash(s, begin, 3, "system", "bad", "thing")
	if !isRefused(s, now, request("new", "system", "bad", "thing")) {
		t.Error("a request with all suspect parts is not refused")
	}
	for _, parts := range [][]string{{"system", "thing"}, {"system", "other"}, {"thing"}} {
		if isRefused(s, now, request("new", parts...)) {
			t.Errorf("a request with the parts %v is refused, though the bad one may be missing", parts)
		}
	}
	now = now.Add(time.Second)
	s.RecordAnswer(now, request("new", "system", "thing"))
	if !isRefused(s, now, request("newer", "bad")) {
		t.Error("a request with the bad part is not refused after the other ones were answered")
	}
	for _, parts := range [][]string{{"system", "bad2"}, {"system", "thing"}} {
		if isRefused(s, now, request("new", parts...)) {
			t.Errorf("a request with the parts %v is refused", parts)
		}
	}
}

// Many targets that crash at the same moment don't make a part refused, however many requests
// with it ran on them. Crashes that continue do, and a part that was answered before needs
// more of them.
func TestTargetsThatCrashAtOnceBlameNoPart(t *testing.T) {
	for name, test := range map[string]struct {
		answered bool
		more     int
	}{
		"never answered":  {false, 2},
		"answered before": {true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuspects()
			now := begin
			if test.answered {
				s.RecordAnswer(now, request("earlier", "system"))
			}
			now = now.Add(time.Second)
			for i := range 70 {
				s.RecordCrash(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("t", i), request(fmt.Sprint("f", i), "system"))
			}
			for i := range test.more {
				if isRefused(s, now, request("new", "system")) {
					t.Errorf("refused after the crashes of one moment and %d more, want %d", i, test.more)
				}
				now = crash(s, now, 1, "system")
			}
			if !isRefused(s, now, request("new", "system")) {
				t.Errorf("not refused after the crashes of one moment and %d more", test.more)
			}
			s.RecordAnswer(now, request("new", "system"))
			if got := s.CrashCount(now, "system"); got != 0 {
				t.Errorf("%d crashes after an answer, want none", got)
			}
		})
	}
}

// A sound part is not refused for the crashes of others that it came with, even if none of
// them came with it in all crashes.
func TestSoundPartIsNotRefusedForTwoBadOnes(t *testing.T) {
	for name, test := range map[string]struct {
		answered bool
		bad      []string
	}{
		"two bad parts":                  {false, []string{"bad1", "bad2", "bad1"}},
		"two bad parts, answered before": {true, []string{"bad1", "bad2", "bad1", "bad2", "bad1"}},
		"one bad part, unrelated crash":  {false, []string{"bad1", "bad1", "bad1", "thing"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuspects()
			if test.answered {
				s.RecordAnswer(begin, request("early", "system"))
			}
			now := begin
			for _, bad := range test.bad {
				now = crash(s, now, 1, "system", bad)
			}
			if isRefused(s, now, request("new", "system", "other")) {
				t.Error("a request with the sound part and none of the bad ones is refused")
			}
		})
	}
}

// A sound part that is answered now and then must not excuse the bad one that it comes with.
func TestAnsweredPartDoesNotExplainCrashes(t *testing.T) {
	s := newSuspects()
	now := crash(s, begin, 1, "system", "bad")
	s.RecordAnswer(now.Add(500*time.Millisecond), request("ok", "system"))
	now = crash(s, now, 2, "system", "bad")
	if !isRefused(s, now, request("new", "system", "bad")) {
		t.Error("a part under which 3 targets crashed is not refused, as another one was suspect of 2 of them")
	}
}

// More crashes than a record holds must not hide that the part came with others, too.
func TestLatestCrashesCount(t *testing.T) {
	for _, n := range []int{15, 16, 20} {
		s := newSuspects()
		now := crash(s, begin, n, "one", "bad")
		more := 0
		for range 100 {
			s.RecordAnswer(now, request("ok", "other"))
			if isRefused(s, now, request("new", "other", "bad")) {
				now = now.Add(time.Second)
				continue
			}
			more++
			now = crash(s, now, 1, "other", "bad")
		}
		if more > 3 {
			t.Errorf("after %d crashes with one part, %d of 100 requests with another one crashed targets, want at most 3", n, more)
		}
	}
}

// A part that is refused can't be answered, so a request is let through once in a while. If
// it crashes a target, the next ones are refused at once.
func TestBlamedPartIsProbed(t *testing.T) {
	hosts := []*retry.Suspects{newSuspects(), newSuspects(), newSuspects()}
	for i, s := range hosts {
		s.TTL, s.ProbeDelay = time.Hour, float64(i)/3
	}
	now := crash(hosts[0], begin, 3, "part")
	crashes := 0
	for n := range 3 * 3600 {
		now = now.Add(time.Second)
		exchange(now, 5*time.Millisecond, hosts...)
		s := hosts[n%len(hosts)]
		if !isRefused(s, now, request("new", "part")) {
			crashes++
			s.RecordCrash(now, fmt.Sprint("u", n), request("new", "part"))
		}
	}
	if crashes < 9 || crashes > 18 {
		t.Errorf("%d probes of a bad part by 3 hosts in 3 h, want one each 10 to 20 min", crashes)
	}
	for n := range 3600 {
		now = now.Add(time.Second)
		if !isRefused(hosts[n%len(hosts)], now, request("new", "part")) {
			hosts[n%len(hosts)].RecordAnswer(now, request("new", "part"))
			break
		}
	}
	exchange(now, 5*time.Millisecond, hosts...)
	for i, s := range hosts {
		if isRefused(s, now.Add(time.Second), request("newer", "part")) {
			t.Errorf("host %d refuses the part after the probe of a host was answered", i)
		}
	}
}

// A part that was answered before is probed soon, as others may have crashed the targets.
func TestPartAnsweredBeforeIsProbedSoon(t *testing.T) {
	s := newSuspects()
	s.RecordAnswer(begin, request("early", "system"))
	now := crash(s, begin, 5, "system")
	if !isRefused(s, now, request("new", "system")) {
		t.Fatal("not refused after 5 crashes without an answer")
	}
	now = now.Add(11 * time.Second)
	if isRefused(s, now, request("new", "system")) {
		t.Error("no request is let through 11 s after the last crash")
	}
	if !isRefused(s, now, request("newer", "system")) {
		t.Error("a second request is let through with the first one")
	}
}

// A withdrawn crash must not return with the report of a peer that heard of it.
func TestWithdrawnCrashDoesNotReturn(t *testing.T) {
	a, b := newSuspects(), newSuspects()
	a.RecordCrash(begin, "t", request("f"))
	exchange(begin, 5*time.Millisecond, a, b)
	a.WithdrawCrash("t", "f")
	now := begin.Add(time.Second)
	exchange(now, 5*time.Millisecond, a, b)
	if got := a.CrashCount(now, "f"); got != 0 {
		t.Errorf("count %d after the crash was withdrawn and reports were exchanged, want 0", got)
	}
}

// Hosts of an earlier build report counts without targets, and repeat those that they were
// told of.
func TestCountsOfEarlierBuildAreNotAdded(t *testing.T) {
	s := newSuspects()
	s.RecordCrash(begin, "t", request("f", "part"))
	now := begin
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		for _, reported := range s.Report(now, 64) {
			s.Merge(now, retry.Suspect{Key: reported.Key, Age: reported.Age, Count: reported.Count})
		}
	}
	if got := s.CrashCount(now, "part"); got != 1 {
		t.Errorf("count %d after one crash and repeated reports, want 1", got)
	}
	s.Merge(now, retry.Suspect{Key: "g", Count: 3})
	if !isRefused(s, now, request("g")) {
		t.Error("a request is accepted that three targets crashed under, according to an earlier build")
	}
}

// A host that knows of an answer tells those that know crashes before it only.
func TestAnswerSpreadsToPeers(t *testing.T) {
	a, b := newSuspects(), newSuspects()
	now := crash(a, begin, 3, "sound")
	b.RecordAnswer(now.Add(500*time.Millisecond), request("ok", "sound"))
	now = now.Add(time.Second)
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
	now := crash(a, begin, 3, "bad")
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
	now := crash(s, begin, 3, "bad")
	for i := range 5000 {
		s.RecordCrash(now, "t", request(fmt.Sprint("g", i), fmt.Sprint("part", i)))
	}
	if !isRefused(s, now, request("new", "bad")) {
		t.Error("a part under which 3 targets crashed is accepted after many single crashes")
	}
	if n := len(s.Report(now, 10_000)); n > 1024 {
		t.Errorf("%d records, want at most 1024", n)
	}
}
