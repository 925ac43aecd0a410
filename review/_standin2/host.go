package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// host is an entry host, a process of its own.
type host struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	ended              chan struct{}
}

const (
	program  = "target/sassafrasplank"
	template = "deploy/settings.json.tmpl"
	graceS   = 8
)

// newHost writes the settings of a host in the template of the deploy file, filled in with the
// figures of a small site.
func newHost(folder, name, zone, storeURL string, ram int) (*host, error) {
	front, ready, metrics, peers := freeAddress(), freeAddress(), freeAddress(), freeAddress()
	fields := map[string]any{
		"node_name": name, "zone": zone, "ip": "127.0.0.1",
		"listen":   map[string]any{"front": front, "ready": ready},
		"limits":   map[string]any{"ram_mb": ram, "link_mbps": 1000.0},
		"platform": map[string]any{"addr": strings.TrimPrefix(storeURL, "http://")},
		"bounds": map[string]any{
			"grace_s": graceS, "budget_extra": 56, "drain_ms": 2000, "config_ms": 2000, "lease_ms": 3000, "version_ms": 15000,
		},
		"port_range": []any{port(metrics), port(peers)},
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, front: front, ready: ready, settings: filepath.Join(folder, name+".json")}
	return h, os.WriteFile(h.settings, []byte(fill(string(text), fields)), 0o600)
}

func port(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills in the placeholders of a template. Sections are used if their value is present.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookup(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		value := lookup(fields, m[1])
		if m[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// start starts the process with the command of the deploy file.
func (h *host) start(log *os.File) error {
	h.cmd = exec.Command(program, "route", "--config", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(h.cmd, h.ended)
	return nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("host %s isn't ready after 15 s", h.name)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	select {
	case <-h.ended:
		return false
	default:
		return h.cmd != nil
	}
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (h *host) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(graceS * time.Second):
		h.kill()
	}
}

func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// record is the record of a case.
type record struct {
	bytes.Buffer
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	fmt.Fprintf(r, "%8.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r, format+"\n", args...)
}
