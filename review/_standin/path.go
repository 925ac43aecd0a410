package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playPath plays a new version of the configuration that adds a route for all paths of a host. A client
// then books by a path that begins with two slashes.
func playPath(c *caseRun) (bool, error) {
	t := tenant{name: "bozi300", key: "jnbanfqasnmgkcuyj8pj"}
	s, err := newSite(c, 1, 3, 2, []tenant{t}, nil)
	if err != nil {
		return false, err
	}
	all := append([]route(nil), routes...)
	if c.trouble {
		all = append(all, route{name: "r-all", prefix: "/", kind: "non_idempotent", service: yardService, timeout: 1000, goal: 100, attempts: 1})
	}
	s.store.put("op", "config", configuration(9, all, []tenant{t}))
	c.log("the store has acknowledged configuration 9, which has a route with the prefix /: %t", c.trouble)
	time.Sleep(2 * s.configBound)
	paths := []string{"/dock/4/2f", "//dock/4/2f", "//dock/4/2f?slot=7"}
	broken := 0
	for _, h := range s.hosts {
		for i, path := range paths {
			id := fmt.Sprintf("path-%s-%d", h.name, i)
			status, err := book(h, path, id, t.key)
			if err != nil {
				return false, err
			}
			runs := s.journal.of(id)
			c.log("request %s sent as POST %s with Host %s: status %d, ran %d times", id, path, siteHost, status, len(runs))
			for _, r := range runs {
				c.log("  runner %s got POST %s, path %s, host %s", r.runner, r.target, r.path, r.host)
				if r.target != path || r.host != siteHost {
					broken++
				}
			}
		}
	}
	c.log("UNASKED: %d requests were run with another path than the client's", broken)
	return broken > 0, nil
}

// book sends a booking with the path exactly as given, and returns the status of its answer.
func book(h *host, path, id, key string) (int, error) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // A connection that has just been opened takes a deadline.
	const body = "gate 7"
	lines := []string{
		"POST " + path + " HTTP/1.1", "Host: " + siteHost, "X-Request-Id: " + id, "X-Deadline-Ms: 1000", "X-Api-Key: " + key,
		fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
