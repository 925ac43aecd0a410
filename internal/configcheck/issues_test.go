package configcheck_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/configcheck"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

var now = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// validRecords are records without issues.
const validRecords = `
	{"kind":"model","schema":1,"name":"m","spec":{"contextTokens":1000}},
	{"kind":"version","schema":1,"name":"v1","spec":{"model":"m","weights":"w"}},
	{"kind":"rule","schema":1,"name":"r","spec":{"model":"m","version":"v1"}},
	{"kind":"target","schema":1,"name":"e","spec":{"kind":"engine","url":"http://127.0.0.1:1","failureDomain":"a","models":["m"],"slots":4,"prefillTokensPerSecond":500}},
	{"kind":"target","schema":1,"name":"d","spec":{"kind":"service","url":"http://127.0.0.1:2","failureDomain":"a","service":"s"}},
	{"kind":"service","schema":1,"name":"s","spec":{"calls":[{"method":"GET","path":"/a","repeatable":true}]}}`

func recordSet(t *testing.T, text string) *record.Set {
	t.Helper()
	records, findings := record.DecodeFile("test", []byte("["+text+"]"))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	set := record.NewSet()
	for _, r := range records {
		set, _ = set.With(1, []record.Change{{Record: r}})
	}
	return set
}

// account is a client account with the given limits.
func account(limits, notAfter string) string {
	return `,{"kind":"clientAccount","schema":2,"name":"c","spec":{"weight":1,"limits":{` + limits +
		`},"keys":[{"sha256":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"` + notAfter + `}]}}`
}

// Guards against records without use, hidden rules and calls, and limits above what engines can run, that
// are not reported, and against issues of records that are fine.
func TestRecords(t *testing.T) {
	for name, test := range map[string]struct {
		added string
		want  []configcheck.Issue
	}{
		"valid":         {account(`"inFlight":4,"tokensPerSecond":500`, `,"notAfter":"2027-01-01T00:00:00Z"`), nil},
		"account rule":  {account("", "") + `,{"kind":"rule","schema":1,"name":"q","spec":{"model":"m","version":"v1","clientAccount":"c"}}`, nil},
		"hidden rule":   {`,{"kind":"rule","schema":1,"name":"z","spec":{"model":"m","version":"v1"}}`, []configcheck.Issue{{Key: "rule/z", Message: `the rule never matches, rule/r comes first for model "m" and client account ""`}}},
		"version":       {`,{"kind":"version","schema":1,"name":"v2","spec":{"model":"m","weights":"w"}}`, []configcheck.Issue{{Key: "version/v2", Message: "no rule refers to the version"}}},
		"hidden only":   {`,{"kind":"version","schema":1,"name":"v2","spec":{"model":"m","weights":"w"}},{"kind":"rule","schema":1,"name":"z","spec":{"model":"m","version":"v2"}}`, []configcheck.Issue{{Key: "rule/z", Message: `the rule never matches, rule/r comes first for model "m" and client account ""`}, {Key: "version/v2", Message: "no rule refers to the version"}}},
		"model":         {`,{"kind":"model","schema":1,"name":"n","spec":{"contextTokens":1}}`, []configcheck.Issue{{Key: "model/n", Message: "no rule refers to the model"}}},
		"engine":        {`,{"kind":"model","schema":1,"name":"n","spec":{"contextTokens":1}},{"kind":"target","schema":1,"name":"f","spec":{"kind":"engine","url":"http://127.0.0.1:1","failureDomain":"a","models":["n"],"slots":4,"prefillTokensPerSecond":500}}`, []configcheck.Issue{{Key: "model/n", Message: "no rule refers to the model"}, {Key: "target/f", Field: "models", Message: "the engine gets no requests, no rule refers to its models"}}},
		"not loaded":    {`,{"kind":"model","schema":1,"name":"n","spec":{"contextTokens":1}},{"kind":"version","schema":1,"name":"n1","spec":{"model":"n","weights":"w"}},{"kind":"rule","schema":1,"name":"n","spec":{"model":"n","version":"n1"}}`, []configcheck.Issue{{Key: "model/n", Message: "no engine loads the model"}}},
		"service":       {`,{"kind":"service","schema":1,"name":"t","spec":{"calls":[]}}`, []configcheck.Issue{{Key: "service/t", Message: "no target provides the service"}}},
		"hidden call":   {`,{"kind":"service","schema":1,"name":"s","spec":{"calls":[{"method":"GET","path":"/a"},{"method":"PUT","path":"/a"},{"method":"GET","path":"/a","repeatable":true}]}}`, []configcheck.Issue{{Key: "service/s", Field: "calls[2]", Message: "the entry never matches, calls[0] comes first for GET /a"}}},
		"in flight":     {account(`"inFlight":5`, ""), []configcheck.Issue{{Key: "clientAccount/c", Field: "limits.inFlight", Message: "limits.inFlight: the limit of 5 requests is above the 4 slots of all engines"}}},
		"tokens":        {account(`"tokensPerSecond":501`, ""), []configcheck.Issue{{Key: "clientAccount/c", Field: "limits.tokensPerSecond", Message: "limits.tokensPerSecond: the limit of 501 tokens per second is above the 500 that all engines compute"}}},
		"expired key":   {account("", `,"notAfter":"2026-01-01T00:00:00Z"`), []configcheck.Issue{{Key: "clientAccount/c", Field: "keys[0]", Message: "keys[0]: the key never matches, it expired at 2026-01-01T00:00:00Z"}}},
		"expired entry": {`,{"kind":"refusal","schema":1,"name":"f","spec":{"clientAccount":"c","reason":"","notAfter":"2026-01-01T00:00:00Z"}}`, []configcheck.Issue{{Key: "refusal/f", Field: "notAfter", Message: "the refusal never applies, it expired at 2026-01-01T00:00:00Z"}}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, configcheck.Records(recordSet(t, validRecords+test.added), now)); diff != "" {
				t.Errorf("issues (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a report of what is in force already and isn't sent, and against the loss of what a change
// does to records that aren't sent.
func TestNewRecordIssues(t *testing.T) {
	unused := `,{"kind":"version","schema":1,"name":"v2","spec":{"model":"m","weights":"w"}}`
	inForce := recordSet(t, validRecords+unused)
	next := recordSet(t, validRecords+unused+`,{"kind":"rule","schema":1,"name":"a","spec":{"model":"m","version":"v1"}}`)
	hidden := configcheck.Issue{Key: "rule/r", Message: `the rule never matches, rule/a comes first for model "m" and client account ""`}
	if diff := cmp.Diff([]configcheck.Issue{hidden}, configcheck.NewRecordIssues(inForce, next, map[string]bool{"rule/a": true}, now)); diff != "" {
		t.Errorf("issues (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2, len(configcheck.NewRecordIssues(inForce, next, map[string]bool{"version/v2": true}, now))); diff != "" {
		t.Errorf("number of issues with one of a record that is sent (-want +got):\n%s", diff)
	}
}

// Guards against routes, services and accounts without use, and contradictory limits, that are not
// reported, and against issues of entries that are fine.
func TestRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		change func(c *routing.Config)
		want   []configcheck.Issue
	}{
		"valid": {func(*routing.Config) {}, nil},
		"other host": {func(c *routing.Config) {
			c.Routes = append(c.Routes, routing.Route{Host: "b", Prefix: "/p/", Timeout: 1, Shares: []routing.Share{{Service: "plain", Weight: 1}}})
		}, nil},
		"hidden": {func(c *routing.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "A", "/p/" }, []configcheck.Issue{{Key: "route/1", Field: "prefix", Message: `the route never matches, route "first" comes first for host "A" and prefix "/p/"`}}},
		"prefix": {func(c *routing.Config) { c.Routes[1].Prefix = "b/" }, []configcheck.Issue{{Key: "route/1", Field: "prefix", Message: `the route never matches, no path begins with "b/"`}}},
		"goals": {func(c *routing.Config) { c.Routes[0].Goal, c.Routes[0].GapGoal = 2*time.Second, 3*time.Second }, []configcheck.Issue{
			{Key: "route/0", Field: "goal", Message: "the goal of 2s is above the timeout of 1s"},
			{Key: "route/0", Field: "gapGoal", Message: "the goal of 3s between two events is above the timeout of 1s"},
		}},
		"resumable": {func(c *routing.Config) { c.Routes[1].Resumable = true }, []configcheck.Issue{{Key: "route/1", Field: "resumable", Message: "only streams can be resumed"}}},
		"missing":   {func(c *routing.Config) { c.Routes[1].Shares[0].Service = "none" }, []configcheck.Issue{{Key: "route/1", Field: "shares", Message: `service "none" does not exist`}, {Key: "service/plain", Message: "no route leads to the service"}}},
		"store":     {func(c *routing.Config) { c.Routes[1].Shares[0].Service = "store" }, []configcheck.Issue{{Key: "route/1", Field: "shares", Message: `service "store" is a cache store and serves no requests`}, {Key: "service/plain", Message: "no route leads to the service"}}},
		"prompts":   {func(c *routing.Config) { c.Routes[1].CarriesPrompts = true }, []configcheck.Issue{{Key: "route/1", Field: "carriesPrompts", Message: `the route carries prompts, but service "plain" has no engines`}}},
		"weight": {func(c *routing.Config) {
			c.Routes[1].Shares = append(c.Routes[1].Shares, routing.Share{Service: "engines"})
		}, []configcheck.Issue{{Key: "route/1", Field: "shares", Message: `service "engines" gets no requests, its weight is 0`}}},
		"unused store": {func(c *routing.Config) {
			c.Services["engines"] = routing.Service{Name: "engines"}
			c.Routes[0].CarriesPrompts = false
		}, []configcheck.Issue{{Key: "service/store", Message: "the cache store is not used, no service has engines"}}},
		"cold without rate": {func(c *routing.Config) { c.Services["plain"] = routing.Service{ColdFor: time.Second} }, []configcheck.Issue{{Key: "service/plain", Field: "coldFor", Message: "targets are cold for 1s, but no rate of requests per second to them is stated"}}},
		"cold and closed":   {func(c *routing.Config) { c.Services["plain"] = routing.Service{ColdFor: time.Second, ColdClosed: true} }, []configcheck.Issue{{Key: "service/plain", Field: "coldPerSecond", Message: "targets are cold for 1s and take no requests meanwhile, the rate is 0"}}},
		"rate without time": {func(c *routing.Config) { c.Services["plain"] = routing.Service{ColdPerSecond: 14} }, []configcheck.Issue{{Key: "service/plain", Field: "coldPerSecond", Message: "cold targets take 14 requests per second, but targets are cold for 0 s"}}},
		"keys": {func(c *routing.Config) {
			c.Accounts = append(c.Accounts, routing.Account{Name: "two", Keys: []string{"k1"}}, routing.Account{Name: "three"})
		}, []configcheck.Issue{
			{Key: "account/0", Field: "keys", Message: `key 1 never matches, it is also that of client account "two", which comes later`},
			{Key: "account/2", Field: "keys", Message: "the client account has no keys, so no request is that of it"},
		}},
		"empty key and name": {func(c *routing.Config) {
			c.Accounts = []routing.Account{{Name: "one", Keys: []string{"", "k1"}}, {Keys: []string{"k1", "k2"}}, {Name: "three", Keys: []string{""}}}
		}, []configcheck.Issue{
			{Key: "account/0", Field: "keys", Message: "key 1 never matches, it is empty"},
			{Key: "account/1", Field: "name", Message: "the client account has no name, so no request is that of it"},
			{Key: "account/2", Field: "keys", Message: "key 1 never matches, it is empty"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &routing.Config{
				Routes: []routing.Route{
					{Name: "first", Host: "a", Prefix: "/p/", Kind: routing.Stream, Timeout: time.Second, Goal: time.Second, Resumable: true, CarriesPrompts: true, Shares: []routing.Share{{Service: "engines", Weight: 1}}},
					{Name: "second", Host: "a", Prefix: "/p/q/", Kind: routing.Idempotent, Timeout: time.Second, Shares: []routing.Share{{Service: "plain", Weight: 1}}},
				},
				Services: map[string]routing.Service{
					"engines": {Name: "engines", Engine: &routing.Engine{}}, "plain": {Name: "plain"},
					"store": {Name: "store", Store: &routing.CacheStore{}},
				},
				Accounts: []routing.Account{{Name: "one", Keys: []string{"k1"}}},
			}
			test.change(c)
			c.Index()
			if diff := cmp.Diff(test.want, configcheck.Routes(c)); diff != "" {
				t.Errorf("issues (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a configuration that opens or closes all private routes and passes the check.
func TestRequiredKeys(t *testing.T) {
	private := []routing.Route{{Name: "one"}, {Name: "two"}, {Name: "open", Public: true}}
	one := routing.Config{Routes: private, Accounts: []routing.Account{{Name: "one", Keys: []string{"k"}}}}
	none, withoutKeys := routing.Config{Routes: private}, routing.Config{Routes: private, Accounts: []routing.Account{{Name: "one"}}}
	keyless, public := routing.Config{Routes: private, Keyless: true}, routing.Config{Routes: private[2:], Keyless: true}
	for name, test := range map[string]struct {
		inForce, next routing.Config
		want          string
	}{
		"same":                     {one, one, ""},
		"last account taken away":  {one, none, "no client account with a key is left: requests to private routes (2) get 401"},
		"last key taken away":      {one, withoutKeys, "no client account with a key is left: requests to private routes (2) get 401"},
		"list dropped":             {one, keyless, "there is no list of client accounts any more: requests to private routes (2) need no key"},
		"empty list dropped":       {none, keyless, "there is no list of client accounts any more: requests to private routes (2) need no key"},
		"only public routes":       {one, public, ""},
		"still none":               {none, withoutKeys, ""},
		"still no list":            {keyless, keyless, ""},
		"first accounts":           {keyless, one, "there was no list of client accounts before: requests to private routes (2) need a key from now on"},
		"empty list instead of no": {keyless, none, "there was no list of client accounts before: requests to private routes (2) need a key from now on"},
	} {
		t.Run(name, func(t *testing.T) {
			test.inForce.Index()
			test.next.Index()
			var want []configcheck.Issue
			if test.want != "" {
				want = []configcheck.Issue{{Key: "accounts", Message: test.want}}
			}
			if diff := cmp.Diff(want, configcheck.RequiredKeys(&test.inForce, &test.next)); diff != "" {
				t.Errorf("issues (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a configuration that hosts would ignore for its version, and that passes the check.
func TestRouteVersion(t *testing.T) {
	for _, test := range []struct {
		inForce, next int64
		differs, want bool
	}{{3, 4, true, false}, {3, 3, false, false}, {3, 3, true, true}, {3, 2, true, true}, {3, 2, false, true}} {
		got := len(configcheck.RouteVersion(&routing.Config{Version: test.inForce}, &routing.Config{Version: test.next}, test.differs)) > 0
		if got != test.want {
			t.Errorf("version %d after %d, differs %t: got issue %t, want %t", test.next, test.inForce, test.differs, got, test.want)
		}
	}
}
