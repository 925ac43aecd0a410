package record

import (
	"encoding/hex"
	"time"
)

const sha256Bytes = 32

// ClientAccount is the specification of a client account in schema 2.
type ClientAccount struct {
	// Keys are the caller keys of the account.
	Keys []AccountKey `json:"keys"`
	// Weight is the relative share of the account under contention.
	Weight float64 `json:"weight"`
	// Limits apply to the account across all entry hosts.
	Limits AccountLimits `json:"limits"`
}

// AccountKey is the SHA-256 of a caller key in hexadecimal digits, with an optional
// expiry.
type AccountKey struct {
	SHA256   string    `json:"sha256"`
	NotAfter time.Time `json:"notAfter,omitzero"`
}

// AccountLimits are the limits of a client account. Zero means no limit.
type AccountLimits struct {
	// TokensPerSecond limits the estimated work, as the sum of prompt and answer
	// tokens.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// InFlight limits the number of concurrent requests.
	InFlight int `json:"inFlight"`
}

func (a *ClientAccount) check(r *reporter) {
	r.require(len(a.Keys) > 0, "/keys", "keys: at least one key is required")
	for i, key := range a.Keys {
		r.require(isSHA256(key.SHA256), "/keys", "keys[%d].sha256: want 64 hexadecimal digits, got %q", i, key.SHA256)
	}
	r.require(a.Weight > 0, "/weight", "weight: want a number above zero, got %g", a.Weight)
	r.require(a.Limits.TokensPerSecond >= 0, "/limits/tokensPerSecond",
		"limits.tokensPerSecond: want tokens per second, zero or more, got %g", a.Limits.TokensPerSecond)
	r.require(a.Limits.InFlight >= 0, "/limits/inFlight",
		"limits.inFlight: want requests, zero or more, got %d", a.Limits.InFlight)
}

// clientAccountSchema1 is the specification in schema 1, with keys without expiry
// and a single limit.
type clientAccountSchema1 struct {
	KeyHashes       []string `json:"keyHashes"`
	Weight          float64  `json:"weight"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
}

func (a *clientAccountSchema1) convert() *ClientAccount {
	account := &ClientAccount{Weight: a.Weight}
	account.Limits.TokensPerSecond = a.TokensPerSecond
	for _, hash := range a.KeyHashes {
		account.Keys = append(account.Keys, AccountKey{SHA256: hash})
	}
	return account
}

func isSHA256(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == sha256Bytes
}
