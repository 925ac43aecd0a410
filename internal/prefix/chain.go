// Package prefix names the prefixes of prompts and remembers, as a hint, which
// targets and store hosts hold their cached state.
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

// Seed returns the first link of the chain. Every key depends on the client
// account, the model and the version, so that no prefix is shared across them.
func Seed(account, model, version string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%d:%s",
		len(account), account, len(model), model, len(version), version))
	return Key(sum[:keyBytes])
}

// Chain appends the keys of all whole pieces of a prompt to keys, the shortest
// prefix first.
func Chain(keys []Key, seed Key, prompt string, pieceTokens int) []Key {
	size := pieceTokens * BytesPerToken
	hash := sha256.New()
	link := seed
	var sum [sha256.Size]byte
	for len(prompt) >= size {
		hash.Reset()
		hash.Write(link[:])
		hash.Write([]byte(prompt[:size]))
		link = Key(hash.Sum(sum[:0])[:keyBytes])
		keys = append(keys, link)
		prompt = prompt[size:]
	}
	return keys
}

// EstimateTokens estimates the length of a text in tokens.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
