package gateway_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"testing"

	"sassafrasplank.example/sassafrasplank/internal/gateway"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// knownRed skips a check that is listed in KNOWN-RED.txt, unless the environment
// variable SASSAFRASPLANK_KNOWN_RED is set.
func knownRed(t *testing.T) {
	t.Helper()
	if os.Getenv("SASSAFRASPLANK_KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// crashesOn lets a target crash before its first event if the prompt has a part.
func crashesOn(part string) step {
	return func(_ context.Context, call *gateway.Call) (gateway.Reply, error) {
		if hasPart(call.Work, part) {
			return &fakeReply{status: 200, last: broken}, nil
		}
		return &fakeReply{status: 200, events: numbered(1, 3), last: io.EOF}, nil
	}
}

func hasPart(w *work.Work, key string) bool {
	return slices.ContainsFunc(w.Parts, func(p work.Part) bool { return p.Key == key })
}

// promptRequest returns a request whose prompt has the given parts and one of its own.
func promptRequest(n int, parts ...string) *work.Work {
	w := request(routing.Stream, 1)
	w.ID, w.Fingerprint = fmt.Sprintf("r%d", n), fmt.Sprintf("f%d", n)
	w.Parts = nil
	for _, key := range append(parts, fmt.Sprintf("own%d", n)) {
		w.Parts = append(w.Parts, work.Part{Key: key, Tokens: 100})
	}
	return w
}

// Requests that have one part of their prompts in common crash every target. They come at
// all hosts, no two alike, with sound requests that share their other parts.
func TestPartThatCrashesTargetsIsRefusedOnAllHosts(t *testing.T) {
	knownRed(t)
	hosts := []*fixture{newFixture(t, crashesOn("bad")), newFixture(t, crashesOn("bad")), newFixture(t, crashesOn("bad"))}
	n, answered := 0, 0
	serve := func(parts ...string) *fakeSink {
		n++
		return hosts[n%len(hosts)].serve(promptRequest(n, parts...))
	}
	for range 20 {
		if s := serve("system", "thing", "bad"); s.refused != nil && s.refused.NotRun {
			if s.refused.RetryAfter <= 0 {
				t.Error("a refusal has no delay before a retry")
			}
		}
		for _, thing := range []string{"thing", "other"} {
			if s := serve("system", thing); s.body == "123" {
				answered++
			}
		}
		for _, from := range hosts {
			for _, to := range hosts {
				to.MergeSuspects(from.PeerReport().Suspects)
			}
		}
	}
	crashes := 0
	for _, f := range hosts {
		for _, call := range f.targets.calls {
			if hasPart(call.Work, "bad") {
				crashes++
			}
		}
	}
	if crashes > 5 || answered != 40 {
		t.Errorf("%d requests with the part reached targets, want at most 5; %d of 40 sound requests were answered", crashes, answered)
	}
}
