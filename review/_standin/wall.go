package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// wallSettle is the time after the acknowledgement of a configuration before requests are sent. It is
// longer than config_ms.
const wallSettle = 4 * time.Second

// playWall plays a tenant that a new version of the configuration isolates. Before, its prompts were
// read on the runners. After, another tenant sends prompts with the same first part.
func playWall(c *caseRun) (bool, error) {
	first, second := tenant{name: "bozi300", key: "jnbanfqasnmgkcuyj8pj"}, tenant{name: "kelu910", key: "bvk9m68k7b2ex5wa5xwy"}
	uses := &useLog{}
	others := map[string]*runner{}
	s, err := newSite(c, 3, 1, 2, []tenant{first, second}, func(r *runner) {
		if r.model != "" {
			r.cache, r.others = newCache(uses), others
		}
	})
	if err != nil {
		return false, err
	}
	for _, r := range s.lm {
		others[r.address] = r
	}
	time.Sleep(time.Second)
	if err := s.sendPrompts(c, first, "first", 6); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // The events of the runners reach the hosts.
	isolated := first
	isolated.isolated = c.trouble
	marker := route{name: "r-mark", prefix: "/mark800/", kind: "idempotent", service: yardService, timeout: 1000, goal: 100, attempts: 2, public: true}
	s.store.put("op", "config", configuration(9, append(append([]route(nil), routes...), marker), []tenant{isolated, second}))
	acknowledged := time.Now()
	c.log("the store has acknowledged configuration 9, in which %s has isolated: %t", first.name, isolated.isolated)
	time.Sleep(wallSettle)
	for _, h := range s.hosts {
		status, err := s.send(h, http.MethodGet, "/mark800/2f", "mark-"+h.name, nil)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("configuration 9 isn't in force on %s: status %d, %w", h.name, status, err)
		}
	}
	c.log("configuration 9 is in force on all hosts: its new route is served")
	if err := s.sendPrompts(c, second, "second", 6); err != nil {
		return false, err
	}
	broken := 0
	for _, u := range uses.all() {
		foreign := u.part.tenant != u.tenant
		c.note("%.3f s after the acknowledgement: request %s of tenant %s used part %s on %s, salt %q, made by request %s of tenant %s",
			u.at.Sub(acknowledged).Seconds(), u.request, u.tenant, u.part.id, u.runner, u.salt, u.part.request, u.part.tenant)
		if foreign && isolated.isolated && u.at.Sub(acknowledged) > s.configBound {
			broken++
		}
	}
	c.log("WALL: %d uses of parts that a request of another tenant made, later than %s after the acknowledgement, where one of the two is isolated", broken, s.configBound)
	return broken > 0, nil
}

// sendPrompts sends prompts of a tenant to all hosts in turn, with the same first part.
func (s *site) sendPrompts(c *caseRun, t tenant, name string, n int) error {
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		header := http.Header{
			"X-Api-Key": {t.key}, "X-Model": {model}, "X-Token-Count": {"827,49"},
			"X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:650,%s:177", id)},
		}
		status, err := s.send(s.hosts[i%len(s.hosts)], http.MethodPost, "/cufi501/2f", id, header)
		if err != nil {
			return err
		}
		c.log("request %s of tenant %s: status %d", id, t.name, status)
	}
	return nil
}

// send sends one request and returns the status of its answer.
func (s *site) send(h *host, method, path, id string, header http.Header) (int, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("a request")
	}
	r, err := http.NewRequest(method, "http://"+h.front+path, body)
	if err != nil {
		return 0, err
	}
	r.Host = siteHost
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "10000")
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
