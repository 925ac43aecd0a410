// Package routing holds the configuration that operators write for routed
// requests: routes, services, client accounts and the limits of callers. It
// answers which route a request takes and whose key it carries.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done again with a request of a route.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent is for requests that may run at most once.
	NonIdempotent Kind = "once"
	// Stream is for answers made of events. They run at most once unless the
	// route may be resumed.
	Stream Kind = "stream"
)

// Share is the part of a route's requests that go to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time in which an answer is on time: whole, or its first event.
	Goal time.Duration
	// GapGoal is the longest pause between events of an answer on time.
	GapGoal time.Duration
	// Attempts is the number of targets on which one request may run.
	Attempts int
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target behind the last event.
	Resumable bool
	// CarriesPrompts routes carry prompts whose parts targets keep.
	CarriesPrompts bool
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service chooses the service by the shares; at is in [0, 1).
func (r *Route) Service(at float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at *= total
	for _, share := range r.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Models []string
	// Slots is the number of requests one engine runs at the same time.
	Slots int
	// CacheTokens is the room for cached and running prompts of one engine.
	CacheTokens int
	// BytesPerToken is the size of the cache of one token.
	BytesPerToken int
	// LinkBytesPerSecond is the rate at which an engine moves cache.
	LinkBytesPerSecond float64
	// TokensPerEvent is the usual number of tokens in one event.
	TokensPerEvent int
	// MaxEventStreams bounds the cache event calls an engine holds at once.
	MaxEventStreams int
}

// CacheStore describes a host that keeps cache for engines.
type CacheStore struct {
	Address            string
	FailureDomain      string
	Tokens             int
	LinkBytesPerSecond float64
	// FirstByteDelay is the time each transfer waits before it begins.
	FirstByteDelay time.Duration
	// Managed stores drop nothing on their own.
	Managed         bool
	MaxEventStreams int
}

// Service is a group of targets, or a cache store.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set for cache stores only.
	Store *CacheStore
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces that of the route; nil leaves it.
	Priority *int
	// Isolated accounts share no cache with others.
	Isolated bool
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration, in full.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   CallerLimits

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Index prepares the lookups. It must be called once, before the first one.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = make(map[string]*Account)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds a key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// NeedsKeys reports whether requests on routes that aren't public carry a key.
func (c *Config) NeedsKeys() bool { return len(c.Accounts) > 0 }
