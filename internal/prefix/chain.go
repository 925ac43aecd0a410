// Package prefix computes the keys of prompt prefixes. It also has an index of the
// targets and store hosts that hold the cached state of a prefix. The entries of
// the index are hints.
package prefix

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// BytesPerToken is the estimated number of prompt bytes in one token.
const BytesPerToken = 4

const keyBytes = 16

// Key identifies a prefix of a prompt within one client account, model and
// weight version. The keys of a prompt form a hash chain.
type Key [keyBytes]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads a key written by String.
func ParseKey(text string) (Key, error) {
	var k Key
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != keyBytes {
		return k, errors.New("prefix key: want 32 hexadecimal digits")
	}
	copy(k[:], raw)
	return k, nil
}

// Seed returns the start of the hash chain of a cache namespace. Every key depends
// on the client account, the model and the weight version, so that no prefix is
// shared across them.
func Seed(account, model, version string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%d:%s",
		len(account), account, len(model), model, len(version), version))
	return Key(sum[:keyBytes])
}

// Chain appends the keys of all full blocks of a prompt to keys, the shortest
// prefix first. Each key is the hash of the previous key and the block.
func Chain(keys []Key, seed Key, prompt string, blockTokens int) []Key {
	size := blockTokens * BytesPerToken
	hash := sha256.New()
	key := seed
	var sum [sha256.Size]byte
	for len(prompt) >= size {
		hash.Reset()
		hash.Write(key[:])
		hash.Write([]byte(prompt[:size]))
		key = Key(hash.Sum(sum[:0])[:keyBytes])
		keys = append(keys, key)
		prompt = prompt[size:]
	}
	return keys
}

// EstimateTokens estimates the length of a text in tokens.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
