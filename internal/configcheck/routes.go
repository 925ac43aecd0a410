package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// Kinds of entries of a configuration of routes.
const (
	KindRoute   = "route"
	KindService = "service"
	KindAccount = "account"
)

// Fields of these entries, as the issues of Routes name them.
const (
	FieldPrefix    = "prefix"
	FieldGoal      = "goal"
	FieldGapGoal   = "gapGoal"
	FieldResumable = "resumable"
	FieldPrompts   = "carriesPrompts"
	FieldShares    = "shares"
	FieldColdFor   = "coldFor"
	FieldColdRate  = "coldPerSecond"
	FieldKeys      = "keys"
	FieldName      = "name"
)

// RouteKey returns the key of an entry of a configuration of routes: its kind and its place in the order of
// the entries of that kind, from 0.
func RouteKey(kind string, i int) string { return fmt.Sprintf("%s/%d", kind, i) }

// Routes returns the issues of a configuration of routes: entries that can never match and limits that
// contradict each other. Entries have the keys that RouteKey returns, except that services have their
// names instead of their places in the order.
func Routes(cfg *routing.Config) []Issue {
	c := routeCheck{cfg: cfg, used: map[string]bool{}}
	c.hiddenRoutes()
	for i := range cfg.Routes {
		c.route(RouteKey(KindRoute, i), &cfg.Routes[i])
	}
	c.services()
	c.accounts()
	return c.issues
}

// KeyVersion is the key of the version of a configuration of routes.
const KeyVersion = "version"

// RouteVersion returns an issue if hosts keep the configuration in force, since the version of the next one
// is not above it. differs is set if the two have other differences than the version.
func RouteVersion(inForce, next *routing.Config, differs bool) []Issue {
	if next.Version > inForce.Version || (next.Version == inForce.Version && !differs) {
		return nil
	}
	return []Issue{{Key: KeyVersion, Message: fmt.Sprintf("hosts keep version %d in force, since version %d is not above it", inForce.Version, next.Version)}}
}

// KeyAccounts is the key of the list of client accounts of a configuration of routes.
const KeyAccounts = "accounts"

// RequiredKeys returns an issue if the next configuration opens or closes all private routes: it has no list of
// client accounts any more, takes the last key away, or requires keys for the first time.
func RequiredKeys(inForce, next *routing.Config) []Issue {
	private := 0
	for i := range next.Routes {
		if !next.Routes[i].Public {
			private++
		}
	}
	format := ""
	switch {
	case private == 0:
		return nil
	case inForce.NeedsKeys() && !next.NeedsKeys():
		format = "there is no list of client accounts any more: requests to private routes (%d) need no key"
	case inForce.HasKeys() && next.NeedsKeys() && !next.HasKeys():
		format = "no client account with a key is left: requests to private routes (%d) get 401"
	case !inForce.NeedsKeys() && next.NeedsKeys():
		format = "there was no list of client accounts before: requests to private routes (%d) need a key from now on"
	default:
		return nil
	}
	return []Issue{{Key: KeyAccounts, Message: fmt.Sprintf(format, private)}}
}

type routeCheck struct {
	cfg *routing.Config
	// used contains the services to which routes lead.
	used   map[string]bool
	issues []Issue
}

func (c *routeCheck) add(key, field, format string, args ...any) {
	c.issues = append(c.issues, Issue{Key: key, Field: field, Message: fmt.Sprintf(format, args...)})
}

// hiddenRoutes checks that each route is the first one for its host and prefix.
func (c *routeCheck) hiddenRoutes() {
	type match struct{ host, prefix string }
	first := map[match]string{}
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		m := match{strings.ToLower(r.Host), r.Prefix}
		if other, hidden := first[m]; hidden {
			c.add(RouteKey(KindRoute, i), FieldPrefix, "the route never matches, route %q comes first for host %q and prefix %q", other, r.Host, r.Prefix)
			continue
		}
		first[m] = r.Name
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			c.add(RouteKey(KindRoute, i), FieldPrefix, "the route never matches, no path begins with %q", r.Prefix)
		}
	}
}

func (c *routeCheck) route(key string, r *routing.Route) {
	if r.Goal > r.Timeout {
		c.add(key, FieldGoal, "the goal of %s is above the timeout of %s", r.Goal, r.Timeout)
	}
	if r.GapGoal > r.Timeout {
		c.add(key, FieldGapGoal, "the goal of %s between two events is above the timeout of %s", r.GapGoal, r.Timeout)
	}
	if r.Resumable && r.Kind != routing.Stream {
		c.add(key, FieldResumable, "only streams can be resumed")
	}
	for _, share := range r.Shares {
		service, exists := c.cfg.Services[share.Service]
		c.used[share.Service] = true
		switch {
		case !exists:
			c.add(key, FieldShares, "service %q does not exist", share.Service)
		case service.Store != nil:
			c.add(key, FieldShares, "service %q is a cache store and serves no requests", share.Service)
		case service.Engine == nil && r.CarriesPrompts:
			c.add(key, FieldPrompts, "the route carries prompts, but service %q has no engines", share.Service)
		case share.Weight <= 0:
			c.add(key, FieldShares, "service %q gets no requests, its weight is %g", share.Service, share.Weight)
		}
	}
}

func (c *routeCheck) services() {
	engines := false
	for _, s := range c.cfg.Services {
		engines = engines || s.Engine != nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.cfg.Services)) {
		s := c.cfg.Services[name]
		key := KindService + "/" + name
		switch {
		case s.Store != nil && !engines:
			c.add(key, "", "the cache store is not used, no service has engines")
		case s.Store == nil && !c.used[name]:
			c.add(key, "", "no route leads to the service")
		}
		if s.ColdClosed {
			c.add(key, FieldColdRate, "targets are cold for %s and take no requests meanwhile, the rate is 0", s.ColdFor)
		}
		if s.ColdFor > 0 && !s.LimitsCold() {
			c.add(key, FieldColdFor, "targets are cold for %s, but no rate of requests per second to them is stated", s.ColdFor)
		}
		if s.ColdFor <= 0 && s.ColdPerSecond > 0 {
			c.add(key, FieldColdRate, "cold targets take %g requests per second, but targets are cold for 0 s", s.ColdPerSecond)
		}
	}
}

// accounts checks that each account has keys, and that no other account has the same ones.
func (c *routeCheck) accounts() {
	owners := map[string]int{}
	for i := range c.cfg.Accounts {
		if c.cfg.Accounts[i].Name == "" {
			continue // Its keys don't hide those of other accounts.
		}
		for _, key := range c.cfg.Accounts[i].Keys {
			owners[key] = i
		}
	}
	for i := range c.cfg.Accounts {
		a := &c.cfg.Accounts[i]
		if a.Name == "" {
			c.add(RouteKey(KindAccount, i), FieldName, "the client account has no name, so no request is that of it")
			continue
		}
		if len(a.Keys) == 0 {
			c.add(RouteKey(KindAccount, i), FieldKeys, "the client account has no keys, so no request is that of it")
		}
		for j, key := range a.Keys {
			if key == "" {
				c.add(RouteKey(KindAccount, i), FieldKeys, "key %d never matches, it is empty", j+1)
				continue
			}
			if owner := owners[key]; owner != i {
				c.add(RouteKey(KindAccount, i), FieldKeys, "key %d never matches, it is also that of client account %q, which comes later", j+1, c.cfg.Accounts[owner].Name)
			}
		}
	}
}
