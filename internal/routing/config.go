// Package routing defines the configuration that operators write for routed
// requests: routes, services, client accounts and limits for callers. It finds the
// route of a request and the client account of a key.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says whether the requests of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = "once"
	// Stream requests are answered with events. They run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Share is the share of a route's requests that go to one service.
type Share struct {
	Service string
	// Weight is relative to that of the other shares of the route. A service with a weight of 0 or
	// less gets no requests.
	Weight float64
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time a caller waits for an answer.
	Timeout time.Duration
	// Goal is the longest time to the complete answer, or to the first event of a
	// stream, that counts as on time.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream that counts as on
	// time.
	GapGoal time.Duration
	// Attempts is the maximum number of targets on which one request may run.
	Attempts int
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another target after the last event
	// received.
	Resumable bool
	// CarriesPrompts is set for routes whose requests contain prompts. Targets cache
	// the parts of these prompts.
	CarriesPrompts bool
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// LongestResumableTimeout returns the longest timeout of the routes whose streams can be resumed.
func (c *Config) LongestResumableTimeout() time.Duration {
	var longest time.Duration
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// RelatedServices returns the groups of services among which streams are resumed: current are
// those of a route, changed those of a route and of the one that took its requests by an earlier
// configuration, which may be nil. Groups of one service are left out.
func (c *Config) RelatedServices(earlier *Config) (current, changed [][]string) {
	for i := range c.Routes {
		r := &c.Routes[i]
		current = appendGroup(current, r)
		if earlier != nil {
			changed = appendGroup(changed, r, earlier.Match(r.Host, r.Prefix))
		}
	}
	if earlier != nil {
		for i := range earlier.Routes {
			r := &earlier.Routes[i]
			changed = appendGroup(changed, r, c.Match(r.Host, r.Prefix))
		}
	}
	return current, changed
}

// appendGroup appends the services of routes to groups if there are several and the routes have
// resumable streams.
func appendGroup(groups [][]string, routes ...*Route) [][]string {
	var services []string
	for _, r := range routes {
		if r == nil || !r.Resumable {
			return groups
		}
		for _, share := range r.Shares {
			services = append(services, share.Service)
		}
	}
	slices.Sort(services)
	if services = slices.Compact(services); len(services) > 1 {
		return append(groups, services)
	}
	return groups
}

// Service selects a service by the weights of the shares; at is in [0, 1). It returns an empty name if no
// share has a weight above 0.
func (r *Route) Service(at float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += max(0, share.Weight)
	}
	at *= total
	selected := ""
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		selected = share.Service // The last one is selected if rounding leaves a rest.
		if at < share.Weight {
			break
		}
		at -= share.Weight
	}
	return selected
}

// Engine describes the model engines of a service.
type Engine struct {
	Models []string
	// Slots is the number of requests that one engine runs at the same time.
	Slots int
	// CacheTokens is the capacity of one engine for cached and running prompts
	// together.
	CacheTokens int
	// BytesPerToken is the size of the cache of one token.
	BytesPerToken int
	// LinkBytesPerSecond is the rate at which an engine transfers cache blocks.
	LinkBytesPerSecond float64
	// TokensPerEvent is the usual number of tokens in one event.
	TokensPerEvent int
	// MaxEventCalls limits the concurrent cache event calls to one engine.
	MaxEventCalls int
}

// CacheStore describes a store host, which stores cache blocks for engines.
type CacheStore struct {
	Address       string
	FailureDomain string
	// Tokens is the capacity in tokens.
	Tokens             int
	LinkBytesPerSecond float64
	// FirstByteDelay is the delay before the first byte of each transfer.
	FirstByteDelay time.Duration
	// Managed stores evict nothing themselves.
	Managed       bool
	MaxEventCalls int
}

// Service is a group of targets, or a cache store.
type Service struct {
	Name string
	// MaxConnections limits the connections to one target, for all callers together. It
	// is decoded but not enforced.
	MaxConnections int
	// ColdFor is how long targets are cold after their start, and ColdPerSecond the number of
	// requests per second that a cold target takes from all hosts together, 0 if none is stated.
	ColdFor       time.Duration
	ColdPerSecond float64
	// ColdClosed is set if cold targets take no requests, since the stated number is 0.
	ColdClosed bool
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set for cache stores only.
	Store *CacheStore
}

// LimitsCold reports whether the service states how many requests its cold targets take.
func (s Service) LimitsCold() bool { return s.ColdPerSecond > 0 || s.ColdClosed }

// Account is a client account and its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// Isolated accounts share no cache with other accounts.
	Isolated bool
}

// DefaultBodyBytes limits the body of a request if the configuration states no limit.
const DefaultBodyBytes = 4 << 20

// CallerLimits limits the size of requests and the time that callers may take.
type CallerLimits struct {
	// HeaderBytes, HeaderTimeout and IdleTimeout are 0 if the configuration states no limit. Then
	// those of the host hold.
	HeaderBytes int
	// BodyBytes is 0 if requests must have no body.
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one complete version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	// Keyless is set if requests need no key, since the configuration has no list of client
	// accounts. A list without entries doesn't set it: then no key is valid.
	Keyless bool
	Limits  CallerLimits

	byHost map[string][]*Route
	byKey  map[string]*Account
	byName map[string]*Account
	// sharing contains the accounts that aren't isolated, and sharedCache is their cache.
	sharing     map[string]bool
	sharedCache string
}

// Index prepares the lookups. It must be called once, before Match and Account.
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
	c.byName = make(map[string]*Account)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if a.Name == "" {
			continue // Its requests couldn't be told from those without an account.
		}
		c.byName[a.Name] = cmp.Or(c.byName[a.Name], a)
		for _, key := range a.Keys {
			c.byKey[key] = a
		}
	}
	delete(c.byKey, "") // It is what requests without a key have.
	c.indexCaches()
}

// Match returns the route of a host with the longest matching path prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account of a key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// AccountNamed returns the client account of a name, or nil. If there are several, it is the first one.
func (c *Config) AccountNamed(name string) *Account { return c.byName[name] }

// HasKeys reports whether any client account has a key.
func (c *Config) HasKeys() bool { return len(c.byKey) > 0 }

// NeedsKeys reports whether requests to routes that aren't public need a key. They do in any case if there
// are client accounts.
func (c *Config) NeedsKeys() bool { return !c.Keyless || len(c.Accounts) > 0 }

// NeedsKey reports whether requests to a route need a key.
func (c *Config) NeedsKey(r *Route) bool { return !r.Public && c.NeedsKeys() }
