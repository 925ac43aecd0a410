package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

const (
	// sharedCache is the cache of all accounts while none is isolated.
	sharedCache = "shared"
	// accountCaches precedes the names of the accounts that have a cache of their own.
	accountCaches = "account/"
	// isolatedHashBytes is the length of the hash of the isolated accounts.
	isolatedHashBytes = 8
)

// Cache returns the name of the cache that a client account uses, which is empty for requests
// without one. Isolated accounts have a cache of their own, and so have those that the configuration
// doesn't contain: an earlier one, by which a request was received, may have isolated them. The others
// share one, whose name depends on which accounts are isolated: none of these has ever written to it,
// whenever it became isolated, and no host has to know of earlier configurations.
func (c *Config) Cache(account string) string {
	if account == "" || c.sharing[account] {
		return cmp.Or(c.sharedCache, sharedCache)
	}
	return accountCaches + account
}

func (c *Config) indexCaches() {
	c.sharing, c.sharedCache = make(map[string]bool), sharedCache
	var isolated []string
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if a.Isolated {
			isolated = append(isolated, a.Name)
		}
		c.sharing[a.Name] = true
	}
	if len(isolated) == 0 {
		return
	}
	slices.Sort(isolated)
	isolated = slices.Compact(isolated)
	hash := sha256.New()
	for _, name := range isolated {
		c.sharing[name] = false
		_, _ = fmt.Fprintf(hash, "%d:%s", len(name), name) // Writing to a hash never fails.
	}
	c.sharedCache += "/" + hex.EncodeToString(hash.Sum(nil)[:isolatedHashBytes])
}
