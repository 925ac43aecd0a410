package main

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cachedPart is a part of a prompt that a runner keeps.
type cachedPart struct {
	id     string
	tokens int
	// tenant and request are those of the request for which the part was read.
	tenant, request string
}

// use is the use of a kept part by a request.
type use struct {
	at              time.Time
	runner, salt    string
	part            cachedPart
	tenant, request string
}

// useLog holds the uses on all runners.
type useLog struct {
	mu   sync.Mutex
	uses []use
}

func (l *useLog) add(u use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses = append(l.uses, u)
}

func (l *useLog) all() []use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]use(nil), l.uses...)
}

// cache is what a runner keeps of prompts. A part is found under the same salt, and after the same
// parts.
type cache struct {
	log *useLog

	mu    sync.Mutex
	parts map[string]cachedPart
	// events are the events of the page: number, sign, salt, part, tokens, model.
	events  [][]any
	changed chan struct{}
}

func newCache(log *useLog) *cache {
	return &cache{log: log, parts: map[string]cachedPart{}, changed: make(chan struct{})}
}

func (c *cache) find(key string) (cachedPart, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.parts[key]
	return p, ok
}

func (c *cache) keep(key, salt, model string, p cachedPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[key] = p
	c.events = append(c.events, []any{len(c.events) + 1, "+", salt, p.id, p.tokens, model})
	close(c.changed)
	c.changed = make(chan struct{})
}

// eventsAfter returns the events after a number. It waits for one.
func (c *cache) eventsAfter(ctx context.Context, since int, wait time.Duration) (next int, events [][]any) {
	end := time.After(wait)
	for last := false; ; {
		c.mu.Lock()
		next, changed := len(c.events), c.changed
		events := append([][]any{}, c.events[min(since, next):]...)
		c.mu.Unlock()
		if len(events) > 0 || last {
			return next, events
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-ctx.Done():
			return next, nil
		}
	}
}

// readPrompt uses the parts of a prompt that the runner keeps, fetches those that the request names a
// runner for, and reads the rest.
func (r *runner) readPrompt(q *http.Request) {
	salt, tenant, id := q.Header.Get("X-Cache-Salt"), q.Header.Get("X-Tenant"), q.Header.Get("X-Request-Id")
	fetch := strings.Split(q.Header.Get("X-Kv-Fetch"), ",")
	key, found := salt, true
	for i, entry := range strings.Split(q.Header.Get("X-Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, _ := strconv.Atoi(size)
		key += "|" + name
		if found {
			p, ok := r.cache.find(key)
			if !ok {
				p, ok = r.fetch(key, fetch, i)
				if ok {
					r.cache.keep(key, salt, r.model, p)
				}
			}
			if found = ok; ok {
				r.cache.log.add(use{at: time.Now(), runner: r.id, salt: salt, part: p, tenant: tenant, request: id})
				continue
			}
		}
		r.cache.keep(key, salt, r.model, cachedPart{id: name, tokens: tokens, tenant: tenant, request: id})
	}
}

// fetch returns a part from the runner whose address the request names. One address stands for all parts.
func (r *runner) fetch(key string, addresses []string, i int) (cachedPart, bool) {
	address := addresses[0]
	if len(addresses) > 1 && i < len(addresses) {
		address = addresses[i]
	}
	address, _, _ = strings.Cut(strings.TrimSpace(address), "/")
	other := r.others[address]
	if other == nil || other.cache == nil {
		return cachedPart{}, false
	}
	return other.cache.find(key)
}
