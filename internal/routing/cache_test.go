package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// accountsConfig returns a configuration with accounts, of which some are isolated.
func accountsConfig(names, isolated string) *routing.Config {
	c := &routing.Config{}
	for _, name := range names {
		c.Accounts = append(c.Accounts, routing.Account{Name: string(name), Isolated: strings.ContainsRune(isolated, name)})
	}
	c.Index()
	return c
}

// subset returns some of the letters.
func subset(rng *rand.Rand, letters string) (chosen string) {
	for _, l := range letters {
		if rng.IntN(2) == 0 {
			chosen += string(l)
		}
	}
	return chosen
}

// An account that became isolated went on sharing what it had cached before.
func TestIsolatedAccountSharesNoCacheOfAnyConfiguration(t *testing.T) {
	const accounts = "abcd"
	rng := rand.New(rand.NewPCG(43, 1))
	type maker struct{ cache, account string }
	for range 200 {
		var made []maker
		for version := range 8 {
			names := subset(rng, accounts)
			isolated := subset(rng, names)
			c := accountsConfig(names, isolated)
			isIsolated := func(account string) bool { return strings.Contains(isolated, account) }
			for _, account := range names {
				user := string(account)
				for _, m := range made {
					if m.cache == c.Cache(user) && m.account != user && (isIsolated(user) || isIsolated(m.account)) {
						t.Fatalf("version %d with accounts %q, of which %q are isolated: %s uses cache %q, to which %s has written", version, names, isolated, user, m.cache, m.account)
					}
				}
			}
			for _, account := range accounts {
				made = append(made, maker{c.Cache(string(account)), string(account)})
			}
		}
	}
}

func TestCacheOfAccounts(t *testing.T) {
	for name, test := range map[string]struct {
		config *routing.Config
		// same are accounts that share a cache, and own those that share none.
		same, own []string
	}{
		"no accounts":      {accountsConfig("", ""), []string{""}, []string{"a"}},
		"keyless":          {&routing.Config{Keyless: true}, []string{""}, []string{"a"}},
		"none isolated":    {accountsConfig("abc", ""), []string{"", "a", "b", "c"}, nil},
		"one isolated":     {accountsConfig("abc", "b"), []string{"", "a", "c"}, []string{"b"}},
		"two isolated":     {accountsConfig("abcd", "bd"), []string{"", "a", "c"}, []string{"b", "d"}},
		"listed twice":     {accountsConfig("abb", "b"), []string{"", "a"}, []string{"b"}},
		"removed":          {accountsConfig("ab", ""), []string{"a", "b"}, []string{"z", "y"}},
		"all isolated":     {accountsConfig("ab", "ab"), []string{""}, []string{"a", "b"}},
		"another order":    {accountsConfig("cba", "b"), []string{"", "a", "c"}, []string{"b"}},
		"names with slash": {&routing.Config{}, []string{""}, []string{"x/y", "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			users := map[string][]string{}
			want := map[string][]string{}
			for _, account := range test.same {
				users[test.config.Cache(account)] = append(users[test.config.Cache(account)], account)
				want[test.config.Cache(test.same[0])] = test.same
			}
			for _, account := range test.own {
				users[test.config.Cache(account)] = append(users[test.config.Cache(account)], account)
				want["account/"+account] = []string{account}
			}
			if diff := cmp.Diff(want, users); diff != "" {
				t.Errorf("accounts by cache (-want +got):\n%s", diff)
			}
		})
	}
}

// Hosts of earlier builds use this name, and so do those that start without knowing what was before.
func TestCacheNameDependsOnIsolatedAccountsOnly(t *testing.T) {
	got := []string{
		accountsConfig("ab", "").Cache("a"), accountsConfig("abc", "").Cache("b"),
		fmt.Sprint(accountsConfig("abc", "c").Cache("a") == accountsConfig("cda", "c").Cache("d")),
		fmt.Sprint(accountsConfig("abc", "c").Cache("a") == accountsConfig("abc", "b").Cache("a")),
	}
	if diff := cmp.Diff([]string{"shared", "shared", "true", "false"}, got); diff != "" {
		t.Errorf("names, and whether they are the same (-want +got):\n%s", diff)
	}
}
