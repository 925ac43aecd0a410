package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// preemptedFor is shorter than the gap after which clients abandon a stream: eight times the
	// pause of the sheet, 2.4 s.
	preemptedFor = 2300 * time.Millisecond
	// rejectedAfter is how long a resumed request waits at a runner before it is turned away.
	rejectedAfter = 450 * time.Millisecond
	// streams run at the same time at the host that gets SIGHUP, one of cutHosts.
	streams  = 6
	cutHosts = 4
)

// playCut plays runners that are short of memory: they preempt streams for a time and turn away
// requests that resume one. Meanwhile a host gets SIGHUP.
func playCut(c *caseRun) (bool, error) {
	t := tenant{name: "bozi300", key: "jnbanfqasnmgkcuyj8pj"}
	s, err := newSite(c, 9, 3, cutHosts, []tenant{t}, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if c.trouble {
		for _, r := range s.lm {
			r.setFull(preemptedFor, rejectedAfter)
		}
		c.log("runners preempt streams for %s and turn away requests that resume one, after %s", preemptedFor, rejectedAfter)
	}
	h := s.hosts[0]
	l := newLoad(h, nil, t.key, 1)
	if c.trouble {
		if err := h.signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		c.log("SIGHUP sent to %s", h.name)
	}
	var sending sync.WaitGroup
	for n := range streams {
		sending.Go(func() { l.send(dispatchAsk, fmt.Sprintf("cut-%d", n), n) })
	}
	sending.Wait()
	lost := 0
	for _, o := range l.outcomes {
		runs := s.journal.of(o.id)
		c.log("%s: status %d, whole %t after %s, ran at%s", o.id, o.status, o.whole, o.took.Round(time.Millisecond), runners(runs))
		if len(runs) > 0 && !o.whole && !o.gave {
			lost++
		}
	}
	c.log("LOST: %d requests that were passed on to a runner ended without a complete answer, beside SIGHUP", lost)
	return lost > 0, nil
}
