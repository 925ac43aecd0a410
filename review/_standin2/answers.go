package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// bookingClients send bookings at the same time, more than the 90 that the runners take, so that they
	// refuse some. lookupClients are fewer than their slots.
	bookingClients = 120
	lookupClients  = 16
	bookingsFor    = 60 * time.Second
	lookupsFor     = 40 * time.Second
	// spoiledShare is the share of the answers of spoiledRunners of the three runners after which additional
	// bytes follow, as the bench's page of kinds has it for garble: half of the runners at most, 0.02.
	spoiledShare   = 0.02
	spoiledRunners = 1
	// The shares of bookings and of look-ups that the application fails, as in the site file.
	bookingErrors = 0.004
	lookupErrors  = 0.14
)

// clientAnswer is what a client got from a host.
type clientAnswer struct {
	host   string
	status int
	sealed string
}

// bookings sends bookings, which run once at most, to runners of which one writes additional bytes after a
// few answers. It checks that none runs twice, and records those that have run and are refused.
func bookings(trouble bool) (*site, int, error) {
	s, apps, answers, err := playApplication("non_idempotent", 1, bookingClients, bookingsFor, bookingErrors, trouble)
	if err != nil {
		return s, failed, err
	}
	code := held
	ran := map[string][]run{}
	for _, a := range apps {
		for _, r := range a.list() {
			ran[r.id] = append(ran[r.id], r)
		}
	}
	twice, refused := 0, 0
	for id, runs := range ran {
		got := answers[id]
		if len(runs) > 1 {
			code = broken
			twice++
			s.record.printf("TWICE: booking %s ran %d times", id, len(runs))
		}
		if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
			refused++
			s.record.printf("REFUSED: booking %s has run", id)
		}
		if len(runs) > 1 || got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
			s.describe(apps, id, got)
		}
	}
	s.record.printf("bookings that ran: %d, twice: %d, refused though they had run: %d", len(ran), twice, refused)
	return s, code, nil
}

// lookups sends stock look-ups, of which the application fails some, and checks that no client gets a
// success where the runner named in the seal has answered with a failure, or the reverse.
func lookups(trouble bool) (*site, int, error) {
	s, apps, answers, err := playApplication("idempotent", 2, lookupClients, lookupsFor, lookupErrors, trouble)
	if err != nil {
		return s, failed, err
	}
	code, wrong, sealed := held, 0, 0
	for id, got := range answers {
		if got.sealed == "" {
			continue
		}
		sealed++
		for _, a := range apps {
			if status := a.status(id); status > 0 && got.sealed == a.id+"."+id && got.status != status {
				code = broken
				wrong++
				s.record.printf("MIXED: look-up %s has the seal of %s and another status than that runner gave", id, a.id)
				s.describe(apps, id, got)
			}
		}
	}
	s.record.printf("look-ups answered with a seal: %d, with another status than the runner's: %d", sealed, wrong)
	return s, code, nil
}

// describe records what was sent, run and answered for a request.
func (s *site) describe(apps []*application, id string, got clientAnswer) {
	s.record.printf("    sent to host %s", got.host)
	for _, a := range apps {
		for _, r := range a.list() {
			if r.id == id {
				s.record.printf("    ran on %s from %.3f s, answered %d", a.id, r.at.Sub(s.record.began).Seconds(), a.status(id))
			}
		}
		if before := a.bytesBefore(id); before != "" {
			s.record.printf("    on its connection to %s, before that answer, the end of what followed the one before: %q", a.id, before)
		}
	}
	s.record.printf("    its client got %d, signature %q", got.status, got.sealed)
}

// playApplication sends requests to runners of the application.
func playApplication(kind string, attempts, clients int, duration time.Duration, failing float64, trouble bool) (*site, []*application, map[string]clientAnswer, error) {
	s, err := newSiteWithout([]map[string]any{{
		"name": "r-js2eek2", "host": clientHost, "prefix": "/stock/", "kind": kind, "timeout_ms": 1000, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": attempts, "public": false, "sticky": false,
	}})
	if err != nil {
		return s, nil, nil, err
	}
	var apps []*application
	for i, zone := range zones {
		spoiled := 0.0
		if trouble && i < spoiledRunners {
			spoiled = spoiledShare
		}
		a, err := newApplication(s.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zone, failing, spoiled)
		if err != nil {
			return s, nil, nil, err
		}
		apps = append(apps, a)
	}
	if err := s.startHosts(2); err != nil {
		return s, nil, nil, err
	}
	answers := s.sendAll(clients, duration)
	statuses := map[int]int{}
	for _, got := range answers {
		statuses[got.status]++
	}
	s.record.printf("%d requests sent, answers by status (0: none): %v", len(answers), statuses)
	for _, a := range apps {
		a.mu.Lock()
		s.record.printf("runner %s: %d requests ran, %d refused, additional bytes after %d answers", a.id, len(a.answers), a.refused, a.additional)
		a.mu.Unlock()
	}
	for _, h := range s.hosts {
		if !h.alive() {
			return s, nil, nil, errors.New("a host has ended")
		}
	}
	if statuses[http.StatusOK] < len(answers)/10 {
		return s, nil, nil, errors.New("too few requests were served")
	}
	return s, apps, answers, nil
}

// sendAll sends requests from a number of clients, each with the next one after its answer.
func (s *site) sendAll(clients int, duration time.Duration) map[string]clientAnswer {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	end := time.Now().Add(duration)
	answers := map[string]clientAnswer{}
	var asks sync.WaitGroup
	for i := range clients {
		h := s.hosts[i%len(s.hosts)]
		asks.Go(func() {
			for time.Now().Before(end) {
				id := randomID(16)
				got, pause := post(client, h, id)
				s.mu.Lock()
				answers[id] = got
				s.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	asks.Wait()
	return answers
}
