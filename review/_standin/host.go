package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host runs an entry host as a process, as the platform does: it fills in the template of the deploy
// file, starts the process again when it ends, and kills it when it exceeds its memory.
type host struct {
	program, template, dir string
	name, zone, table      string
	front, ready           string
	metrics, peers         string
	// memoryMB is ram_mb of the settings.
	memoryMB int
	log      func(format string, args ...any)

	mu      sync.Mutex
	process *os.Process
	stopped bool
	// memoryKills counts the ends because of memory, peakMB is the highest memory in use.
	memoryKills int
	peakMB      float64
	done        chan struct{}
}

const (
	// firstPort and lastPort limit the ports of hosts. They are below those that the system gives to
	// outgoing connections.
	firstPort = 15000
	lastPort  = 31000
	// portAttempts limits the search for a free port.
	portAttempts = 200
)

// freeAddresses returns n different loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range portAttempts {
		if len(addresses) == n {
			return addresses, nil
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return nil, errors.New("no free ports found")
}

// start starts the process and keeps it running until stop.
func (h *host) start() error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	h.front, h.ready, h.metrics, h.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	settings, err := h.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(h.dir, h.name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go h.keepRunning(path)
	return nil
}

// sections matches the sections of the template, which the platform leaves out if their bounds don't
// exist.
var sections = regexp.MustCompile(`\{\{#bounds\.\w+\}\}.*\{\{/bounds\.\w+\}\}`)

func (h *host) settings() (string, error) {
	text, err := os.ReadFile(h.template)
	if err != nil {
		return "", err
	}
	ip, metricsPort, _ := strings.Cut(h.metrics, ":")
	_, peersPort, _ := strings.Cut(h.peers, ":")
	filled := strings.NewReplacer(
		"{{node_name|json}}", strconv.Quote(h.name), "{{zone|json}}", strconv.Quote(h.zone),
		"{{listen.front|json}}", strconv.Quote(h.front), "{{listen.ready|json}}", strconv.Quote(h.ready),
		"{{ip}}", ip, "{{port_range.0}}", metricsPort, "{{port_range.1}}", peersPort,
		"{{limits.ram_mb}}", strconv.Itoa(h.memoryMB), "{{limits.link_mbps}}", "10", "{{bounds.grace_s}}", "8", "{{bounds.budget_extra}}", "58",
		"{{platform.addr}}", h.table, "{{bounds.drain_ms}}", "2000", "{{bounds.config_ms}}", "2000",
		"{{bounds.lease_ms}}", "3000", "{{bounds.version_ms}}", "12000",
	).Replace(sections.ReplaceAllString(string(text), ""))
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("%s has placeholders that this stand-in doesn't know", h.template)
	}
	return filled, nil
}

// restartDelay is the time before a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

func (h *host) keepRunning(settings string) {
	defer close(h.done)
	for start := 1; ; start++ {
		out, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", h.name, start)))
		if err != nil {
			h.log("host %s: %v", h.name, err)
			return
		}
		cmd := exec.Command(h.program, "route", "--config", settings)
		cmd.Stdout, cmd.Stderr = out, out
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir}
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			h.mu.Unlock()
			h.log("host %s: %v", h.name, err)
			return
		}
		h.process = cmd.Process
		h.mu.Unlock()
		ended := make(chan struct{})
		go h.watchMemory(cmd.Process, ended)
		err = cmd.Wait()
		close(ended)
		_ = out.Close()
		h.mu.Lock()
		stopped := h.stopped
		h.mu.Unlock()
		if stopped {
			return
		}
		h.log("host %s: the process has ended (%v) and is started again", h.name, err)
		time.Sleep(restartDelay)
	}
}

const (
	memoryInterval = 5 * time.Millisecond
	bytesPerMB     = 1 << 20
)

// watchMemory kills a process that exceeds its memory.
func (h *host) watchMemory(p *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		mb := residentMB(p.Pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		exceeded := mb > float64(h.memoryMB)
		if exceeded {
			h.memoryKills++
		}
		h.mu.Unlock()
		if exceeded {
			h.log("host %s: the process uses %.0f MB, ram_mb is %d; killed", h.name, mb, h.memoryMB)
			_ = p.Kill()
			return
		}
	}
}

// residentMB returns the memory of a process, 0 if it isn't known.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / bytesPerMB
}

// peak returns the highest memory in use so far, in MB.
func (h *host) peak() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakMB
}

// kills returns how often the process was killed because of its memory.
func (h *host) kills() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.memoryKills
}

// isReady asks the host whether it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the host is ready.
func (h *host) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Signal(s)
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		<-h.done
		return
	}
	h.stopped = true
	if h.process != nil {
		_ = h.process.Kill()
	}
	h.mu.Unlock()
	<-h.done
}
