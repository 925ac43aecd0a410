package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// faultyRunners of the runners of the language service are in trouble: 3 of 9.
	faultyRunners = 3
	// endlessRate is the rate of an answer without end in bytes per second, about a sixth of the
	// link of a machine.
	endlessRate = 20_000_000
	// calmTime is the time before the trouble, troubleTime its length.
	calmTime    = 8 * time.Second
	troubleTime = 20 * time.Second
	// maxLost is the number of requests that the rule excuses.
	maxLost = 3
	// ownEnds is the number of ends by which a process counts as faulty, on two machines.
	ownEnds = 3
)

// playMemory plays runners that answer calls for their cache events without end. All requests are
// answered soundly by all runners. Hosts that exceed their memory are killed, as on the platform.
func playMemory(c *caseRun) (bool, error) {
	tenants := []tenant{{name: "bozi300", key: "jnbanfqasnmgkcuyj8pj"}}
	s, err := newSite(c, 9, 3, 3, tenants, nil)
	if err != nil {
		return false, err
	}
	// A ninth of the requests of the sheet, since it has nine machines.
	const share = 1.0 / 9
	kinds := []kind{bolSummary.at(42.7 * share), dispatchAsk.at(37 * share), claimTag.at(63.4 * share), dockBook.at(35.8 * share), statusRead.at(14.3 * share)}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+troubleTime)
	defer cancel()
	var loads []*load
	var running sync.WaitGroup
	for i, h := range s.hosts {
		l := newLoad(h, kinds, tenants[0].key, uint64(i+1))
		loads = append(loads, l)
		running.Go(func() { l.run(ctx) })
	}
	time.Sleep(calmTime)
	for _, h := range s.hosts {
		c.log("host %s: at most %.0f of %d MB in use so far", h.name, h.peak(), h.memoryMB)
	}
	if c.trouble {
		for _, r := range s.lm[:faultyRunners] {
			r.setEndless(endlessRate)
		}
		c.log("%d of %d runners answer calls for cache events without end, at %d bytes per second", faultyRunners, len(s.lm), endlessRate)
	}
	running.Wait()
	return judgeMemory(c, s, loads), nil
}

// soundRun reports whether a runner that isn't in trouble has run a request.
func (s *site) soundRun(runs []run) bool {
	return slices.ContainsFunc(runs, func(r run) bool {
		return !slices.ContainsFunc(s.lm[:faultyRunners], func(faulty *runner) bool { return faulty.id == r.runner })
	})
}

// judgeMemory reports whether more than maxLost requests of kept connections that a sound runner ran
// were ended without any part of an answer.
func judgeMemory(c *caseRun, s *site, loads []*load) bool {
	for _, r := range s.lm[:faultyRunners] {
		c.log("runner %s has sent %d answers without end", r.id, r.endlessSent)
	}
	lost, ended := 0, 0
	for _, l := range loads {
		ends := map[string]int{}
		for _, o := range l.outcomes {
			runs := s.journal.of(o.id)
			c.note("%s %-12s at %s: kept connection %t, status %d, whole %t, error %v, ran at %s", o.id, o.kind, o.host, o.kept, o.status, o.whole, o.err, runners(runs))
			ends[o.end()]++
			if o.kept && o.status == 0 && !o.gave && s.soundRun(runs) {
				lost++
			}
		}
		kills := l.host.kills()
		if kills >= ownEnds {
			ended++
		}
		c.log("host %s: at most %.0f MB in use, killed %d times for its memory; requests: %v", l.host.name, l.host.peak(), kills, ends)
	}
	c.log("Fault: processes on %d of %d machines ended by themselves %d times or more", ended, len(s.hosts), ownEnds)
	c.log("LOST: %d requests of kept connections had been passed on to a sound runner and were closed without any part of an answer, %d are excused", lost, maxLost)
	return lost > maxLost
}

func runners(runs []run) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf(" %s (complete %t)", r.runner, r.complete)
	}
	return text
}
