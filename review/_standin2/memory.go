package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// consortiumRAM is the memory of a machine of the Consortium in MB.
	consortiumRAM = 134
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// endsBroken is how often processes end on each of two machines in the rule.
	endsBroken = 3
)

// judgeEnds reports whether processes on two machines ended as often as the rule has it.
func (s *site) judgeEnds(ends []int, sent []atomic.Int64) (*site, int, error) {
	machines := 0
	for i, h := range s.hosts {
		if ends[i] >= endsBroken {
			machines++
		}
		s.record.printf("host %s: %d requests sent, its process was ended %d times for its memory", h.name, sent[i].Load(), ends[i])
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(); err != nil {
			return s, failed, err
		}
	}
	if machines >= 2 {
		return s, broken, nil
	}
	return s, held, nil
}

// deadline passes at a time, or once processes on some machines have ended often enough.
type deadline struct {
	at time.Time
	// machines is the number of machines, and ends how often a process has to end on each.
	machines, ends int
	broken         atomic.Int64
}

// ended records how often the process of a machine has ended.
func (d *deadline) ended(ends int) {
	if ends == d.ends {
		d.broken.Add(1)
	}
}

func (d *deadline) passed() bool {
	return int(d.broken.Load()) >= d.machines || !time.Now().Before(d.at)
}

// watchMemory ends the process of a host that takes more memory than its machine has, and starts it again.
// It returns how often it did.
func (s *site) watchMemory(h *host, end *deadline, sent *atomic.Int64) (ends int) {
	reported := time.Now()
	for !end.passed() {
		time.Sleep(100 * time.Millisecond)
		anonymous, err := memoryOf(h.cmd.Process.Pid)
		if err != nil {
			anonymous = 0
		}
		if time.Since(reported) >= 5*time.Second {
			reported = time.Now()
			s.note("host %s: %d requests sent, memory of its process %d MB", h.name, sent.Load(), anonymous/1e6)
		}
		if anonymous <= consortiumRAM*1e6 && h.alive() {
			continue
		}
		ends++
		s.note("host %s: %d requests sent, its process takes %d MB of %d MB and is ended", h.name, sent.Load(), anonymous/1e6, consortiumRAM)
		h.kill()
		time.Sleep(restartDelay)
		end.ended(ends)
		if err := h.start(s.log); err != nil {
			s.note("host %s: %v", h.name, err)
			return ends
		}
	}
	return ends
}

// note adds a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.printf(format, args...)
}

// memoryOf returns the memory of a process without that of its program file, in bytes.
func memoryOf(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(data) {
		if rest, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d states no memory", pid)
}
