package main

import (
	"fmt"
	"net/http"
	"time"
)

// Names of the deployment, as fleetbench wire shows them for prl-consortium.
const (
	siteHost    = "pule25.example"
	model       = "daka510000"
	lmService   = "huvo11a"
	yardService = "kafi81c"
)

var zones = []string{"zone-north", "zone-mill", "zone-creek"}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	isolated  bool
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, goal, attempts     int
	resumable, public           bool
}

// routes are those of the kinds of requests on the sheet.
var routes = []route{
	{name: "r-bol", prefix: "/puxa400/", kind: "stream", service: lmService, timeout: 15000, goal: 500, attempts: 1},
	{name: "r-ask", prefix: "/cufi501/", kind: "stream", service: lmService, timeout: 12000, goal: 300, attempts: 2, resumable: true},
	{name: "r-tag", prefix: "/dena302/", kind: "stream", service: lmService, timeout: 3000, goal: 300, attempts: 2, resumable: true},
	{name: "r-book", prefix: "/bobo563/", kind: "non_idempotent", service: yardService, timeout: 1000, goal: 100, attempts: 1},
	{name: "r-read", prefix: "/wuhu344/", kind: "idempotent", service: yardService, timeout: 1000, goal: 100, attempts: 2},
}

// configuration returns the content of op/config.
func configuration(version int, routes []route, tenants []tenant) map[string]any {
	var rs, ts []any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": siteHost, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout, "goal_ms": r.goal,
			"priority": 1, "service": r.service, "attempts": r.attempts, "public": r.public,
		}
		if r.kind == "stream" {
			m["sticky"], m["resumable"], m["gap_aim_ms"] = true, r.resumable, 300
		}
		rs = append(rs, m)
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "api_keys": []any{t.key}, "priority": 1, "isolated": t.isolated})
	}
	engine := map[string]any{
		"slots": 128, "kv_cap_tokens": 254920, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": true, "backups": true,
		"managed": true, "stride": 6, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
		"models": []any{map[string]any{"name": model}},
	}
	return map[string]any{
		"version": version, "routes": rs, "tenants": ts,
		"services": []any{
			map[string]any{"name": lmService, "health_path": "/healthz", "max_conns": 630, "proto": "h1", "tls": false, "engine": engine},
			map[string]any{"name": yardService, "health_path": "/healthz", "max_conns": 110, "proto": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// site is a small deployment: a store, runners and entry hosts.
type site struct {
	store       *store
	journal     *journal
	lm, yard    []*runner
	hosts       []*host
	configBound time.Duration
}

// memoryMB is ram_mb of a machine of prl-consortium.
const memoryMB = 134

// newSite starts a deployment. prepare is called for each runner before it starts, unless it is nil.
func newSite(c *caseRun, lm, yard, hosts int, tenants []tenant, prepare func(r *runner)) (*site, error) {
	s := &site{journal: &journal{runs: map[string][]*run{}}, configBound: 2 * time.Second}
	var err error
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	for i := range lm {
		s.lm = append(s.lm, &runner{
			id: fmt.Sprintf("i-lm%d", i), service: lmService, model: model, zone: zones[i%3], slots: 128, store: s.store, journal: s.journal,
			work: 250 * time.Millisecond, events: 10, pause: 60 * time.Millisecond,
		})
	}
	for i := range yard {
		s.yard = append(s.yard, &runner{
			id: fmt.Sprintf("i-yard%d", i), service: yardService, zone: zones[i%3], slots: 6, store: s.store, journal: s.journal, work: 15 * time.Millisecond,
		})
	}
	for _, r := range s.runners() {
		if prepare != nil {
			prepare(r)
		}
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	s.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1})
	s.store.put("op", "config", configuration(7, routes, tenants))
	for i := range hosts {
		h := &host{
			program: c.program, template: c.template, dir: c.dir, name: fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), zone: zones[i%3],
			table: s.store.address, memoryMB: memoryMB, log: c.log,
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		c.addHost(h)
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if !h.waitReady(20 * time.Second) {
			return nil, fmt.Errorf("%s isn't ready after 20 s", h.name)
		}
	}
	c.log("%d hosts are ready, with %d runners of %s and %d of %s", hosts, lm, lmService, yard, yardService)
	return s, nil
}

func (s *site) runners() []*runner { return append(append([]*runner(nil), s.lm...), s.yard...) }

// Kinds of requests of the sheet, without their rates.
var (
	bolSummary  = kind{name: "bol-summary", path: "/puxa400/", method: http.MethodPost, deadline: 15 * time.Second, tokens: "11992,64", shared: 9122, own: 2870}
	dispatchAsk = kind{name: "dispatch-ask", path: "/cufi501/", method: http.MethodPost, deadline: 12 * time.Second, tokens: "827,49", shared: 650, own: 177}
	claimTag    = kind{name: "claim-tag", path: "/dena302/", method: http.MethodPost, deadline: 3 * time.Second, tokens: "2368,4", shared: 1861, own: 507}
	dockBook    = kind{name: "dock-book", path: "/bobo563/", method: http.MethodPost, deadline: time.Second}
	statusRead  = kind{name: "status-read", path: "/wuhu344/", method: http.MethodGet, deadline: time.Second}
)

// at returns a kind at a rate.
func (k kind) at(perSecond float64) kind {
	k.perSecond = perSecond
	return k
}
