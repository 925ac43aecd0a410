package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// keyRequests are sent before and after the change of the configuration, each with a key that no
	// configuration has held.
	keyRequests = 20
	// inForce is the time after which a configuration is in force everywhere: config_ms is 2 s.
	inForce = 4 * time.Second
)

// keys takes the last tenant out of the configuration, and checks that no request runs whose key no
// configuration ever held.
func keys(trouble bool) (*site, int, error) {
	routes := []map[string]any{{
		"name": "r-2xp4zhp", "host": clientHost, "prefix": "/shops/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false,
	}}
	s, err := newSite(routes, 2)
	if err != nil {
		return s, failed, err
	}
	if status, _, err := ask(s.hosts[0].front, key, randomID(16), http.MethodPost, "/shops/1/orders", ""); err != nil || status != http.StatusOK {
		return s, failed, fmt.Errorf("a request with the key of the tenant got %d, %w", status, err)
	}
	s.useUnknownKeys("before")
	left := tenants()
	if trouble {
		left = []any{}
	}
	config := plainConfig(routes)
	config["version"], config["tenants"] = 9, left
	s.store.put("op", "config", config)
	s.record.printf("configuration 9 written, with %d tenants", len(left))
	time.Sleep(inForce)
	unknown := s.useUnknownKeys("after")
	code := held
	for _, r := range s.runs() {
		if k, sent := unknown[r.id]; sent {
			code = broken
			s.record.printf("ROUTE: runner %s ran request %s: %s %s, tenant %q; its key was %s", r.runner, r.id, r.method, r.target, r.tenant, k)
		}
	}
	return s, code, nil
}

// useUnknownKeys sends requests with keys that no configuration has held. It returns the keys by the IDs
// of the requests.
func (s *site) useUnknownKeys(when string) map[string]string {
	used := map[string]string{}
	for i := range keyRequests {
		h, id, k := s.hosts[i%len(s.hosts)], randomID(16), randomID(20)
		used[id] = k
		status, _, err := ask(h.front, k, id, http.MethodPost, fmt.Sprintf("/shops/%d/orders", i), "pegs=12")
		s.record.printf("%s: request %s with the unknown key %s to %s: answer %d, error %v", when, id, k, h.name, status, err)
	}
	return used
}
