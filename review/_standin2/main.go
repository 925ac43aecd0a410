// Command review-2 runs the scripted cases of the second review: small stand-ins of the platform's
// store, of runners and of clients around processes of the project's own program.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// site is what surrounds the hosts of a case.
type site struct {
	store   *store
	runners []*runner
	hosts   []*host
	record  record
	mu      sync.Mutex
	log     *os.File
	folder  string
	// ram is the memory of a host in MB.
	ram int
}

// A small site: a store, two runners of one plain service, two hosts, and one tenant.
const (
	service    = "ledger"
	tenant     = "souk"
	key        = "k9d2f7"
	clientHost = "orders.example"
)

var zones = []string{"sohar", "saham", "liwa"}

// newSite starts the store, the runners and the hosts.
func newSite(routes []map[string]any, hosts int) (*site, error) {
	s, err := newSiteWithout(routes)
	if err != nil {
		return s, err
	}
	if err := s.startRunners(); err != nil {
		return s, err
	}
	return s, s.startHosts(hosts)
}

// startRunners starts two sound runners.
func (s *site) startRunners() error {
	for i := range 2 {
		r, err := newRunner(s.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service, zones[i])
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	return nil
}

// newSiteWithout starts the store only, with routes to the plain service.
func newSiteWithout(routes []map[string]any) (*site, error) {
	return newSiteOf(plainConfig(routes))
}

// plainConfig returns a configuration with routes to the plain service.
func plainConfig(routes []map[string]any) map[string]any {
	return map[string]any{
		"version":  7,
		"routes":   routes,
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 110, "proto": "h1", "tls": false}},
		"limits":   limits(),
		"tenants":  tenants(),
	}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func tenants() []any {
	return []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}}
}

// newSiteOf starts the store with a configuration.
func newSiteOf(config map[string]any) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, ram: 284, record: record{began: time.Now()}}
	if s.log, err = os.Create(filepath.Join(folder, "hosts.log")); err != nil {
		return s, err
	}
	if s.store, err = newStore(); err != nil {
		return s, err
	}
	s.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	s.store.put("op", "config", config)
	return s, nil
}

// startHosts starts the hosts and waits until they are ready.
func (s *site) startHosts(n int) error {
	for i := range n {
		h, err := newHost(s.folder, fmt.Sprintf("edge-%s-1", zones[i]), zones[i], s.store.url, s.ram)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(s.log); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
		s.record.printf("host %s is ready, clients at %s", h.name, h.front)
	}
	return nil
}

// end ends the hosts and removes the temporary folder.
func (s *site) end() {
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			h.kill()
		}
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	if kept := os.Getenv("KEEP_LOG"); kept != "" {
		if data, err := os.ReadFile(s.log.Name()); err == nil {
			_ = os.WriteFile(kept, data, 0o600)
		}
	}
	_ = os.RemoveAll(s.folder)
}

// runs returns the runs on all runners.
func (s *site) runs() []run {
	var list []run
	for _, r := range s.runners {
		list = append(list, r.list()...)
	}
	return list
}

var errUsage = errors.New("want the name of a case and the folder of its record")

func main() {
	runtime.LockOSThread() // The hosts end with the thread that has started them.
	cases := map[string]func(trouble bool) (*site, int, error){"bookings": bookings, "lookups": lookups, "keys": keys, "models": models, "parts": parts}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, code, err := cases[os.Args[1]](trouble)
	if s != nil {
		if err != nil {
			s.record.printf("the case could not run: %v", err)
		}
		s.record.printf("trouble %t, exit code %d", trouble, code)
		s.end()
		if writeErr := os.WriteFile(filepath.Join(os.Args[2], "record.txt"), s.record.Bytes(), 0o644); writeErr != nil {
			err, code = writeErr, failed
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}
