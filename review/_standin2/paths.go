package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// paths sends orders whose paths begin with two slashes, and checks that runners get the path that
// the client sent.
func paths(trouble bool) (*site, int, error) {
	s, err := newSite([]map[string]any{{
		"name": "r-2xp4zhp", "host": clientHost, "prefix": "/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false,
	}}, 2)
	if err != nil {
		return s, failed, err
	}
	slashes := "/"
	if trouble {
		slashes = "//"
	}
	type sent struct{ method, target, body string }
	requests := map[string]sent{}
	for i := range 20 {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		q := sent{http.MethodPost, fmt.Sprintf("%sshops/%d/orders?lot=%d", slashes, i, i), fmt.Sprintf("pegs=%d", 100+i)}
		requests[id] = q
		h := s.hosts[i%len(s.hosts)]
		s.record.printf("request %s to %s: %s %s", id, h.name, q.method, q.target)
		status, body, err := ask(h.front, key, id, q.method, q.target, q.body)
		if err != nil {
			s.record.printf("request %s: no answer: %v", id, err)
			continue
		}
		s.record.printf("request %s: answer %d %q", id, status, body)
	}
	code := held
	ran := s.runs()
	for _, r := range ran {
		q, known := requests[r.id]
		same := known && q == sent{r.method, r.target, r.body}
		s.record.printf("runner %s ran request %s: %s %s, as the client sent it: %t", r.runner, r.id, r.method, r.target, same)
		if !same {
			code = broken
		}
	}
	if len(ran) == 0 && !trouble {
		return s, failed, fmt.Errorf("no request ran")
	}
	return s, code, nil
}

// ask sends one request over a connection of its own, with the target exactly as given.
func ask(address, k, id, method, target, body string) (status int, answer string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, clientHost, id, k, len(body), body)
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
