package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// modelClients send requests to each host, each the next one after its answer. The names of the models
	// have modelBytes.
	modelClients = 400
	modelBytes   = 490
	modelsFor    = 80 * time.Second
	// keptClients book at each host over a connection that each keeps. The rule excuses lostExcused requests.
	keptClients = 30
	lostExcused = 3
	// lostMachines is the number of machines whose processes have to end before the run ends early.
	lostMachines = 1
)

// models sends requests that name another model each time, beside bookings over kept connections. The
// platform ends a process that takes more memory than its machine has, and starts it again.
func models(trouble bool) (*site, int, error) {
	s, err := newSiteWithout([]map[string]any{{
		"name": "r-js2eek2", "host": clientHost, "prefix": "/stock/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false,
	}})
	if err != nil {
		return s, failed, err
	}
	s.ram = consortiumRAM
	var apps []*application
	for i, zone := range zones {
		a, err := newApplication(s.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zone, 0, 0)
		if err != nil {
			return s, failed, err
		}
		apps = append(apps, a)
	}
	if err := s.startHosts(2); err != nil {
		return s, failed, err
	}
	end := &deadline{at: time.Now().Add(modelsFor), machines: lostMachines, ends: 1}
	var clients sync.WaitGroup
	named, ends, kept := make([]atomic.Int64, len(s.hosts)), make([]int, len(s.hosts)), make([]keptBookings, len(s.hosts))
	for i, h := range s.hosts {
		for range modelClients {
			clients.Go(func() { nameModels(h, trouble, end, &named[i]) })
		}
		for range keptClients {
			clients.Go(func() { kept[i].book(h, end) })
		}
		clients.Go(func() { ends[i] = s.watchMemory(h, end, &named[i]) })
	}
	clients.Wait()
	code := held
	for i, h := range s.hosts {
		lost := 0
		for _, id := range kept[i].unanswered {
			for _, a := range apps {
				if status := a.status(id); status > 0 {
					lost++
					s.record.printf("host %s: booking %s ran on %s, which answered %d; its kept connection was closed without an answer", h.name, id, a.id, status)
				}
			}
		}
		s.record.printf("host %s: %d requests with names of models, %d bookings answered, its process was ended %d times for its memory, %d bookings lost, %d are excused", h.name, named[i].Load(), kept[i].answered, ends[i], lost, lostExcused)
		if lost > lostExcused {
			code = broken
		}
	}
	return s, code, nil
}

// keptBookings are the bookings of the clients of a host.
type keptBookings struct {
	mu       sync.Mutex
	answered int
	// unanswered are the IDs of those whose connection, which had served others before, was closed without an
	// answer.
	unanswered []string
}

// book sends one booking after another over a connection, and opens another one when that ends.
func (k *keptBookings) book(h *host, end *deadline) {
	for !end.passed() {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for n := 0; !end.passed(); n++ {
			id := randomID(16)
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := fmt.Fprintf(conn, "POST /stock/cedar HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\nContent-Length: 0\r\n\r\n", clientHost, id, key)
			if err != nil {
				break
			}
			_, closes, err := readAnswer(reader)
			k.mu.Lock()
			if err == nil {
				k.answered++
			} else if n > 0 {
				k.unanswered = append(k.unanswered, id)
			}
			k.mu.Unlock()
			if err != nil || closes {
				break
			}
		}
		_ = conn.Close()
	}
}

// readAnswer reads an answer to its end, and reports whether the connection ends with it.
func readAnswer(reader *bufio.Reader) (status int, closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// nameModels sends requests over one connection after another.
func nameModels(h *host, trouble bool, end *deadline, sent *atomic.Int64) {
	name := randomID(modelBytes)
	for n := 0; !end.passed(); {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for !end.passed() {
			if trouble {
				n++
				name = fmt.Sprintf("%s%016d", name[:modelBytes-16], n)
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := fmt.Fprintf(conn, "POST /stock/cedar HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: %s\r\nX-Deadline-Ms: 80\r\nX-Api-Key: %s\r\nContent-Length: 0\r\n\r\n", clientHost, randomID(16), name, key)
			if err != nil {
				break
			}
			sent.Add(1)
			if _, closes, err := readAnswer(reader); err != nil || closes {
				break
			}
		}
		_ = conn.Close()
	}
}
