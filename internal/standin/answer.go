package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const promptHashDigits = 16

// PromptHash returns the short hash of a prompt. Every answer begins with it.
func PromptHash(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:promptHashDigits]
}

// AnswerToken returns the token at index of an answer. The answer depends on the hash
// of the prompt and on the weight version.
func AnswerToken(hash, version string, index int) string {
	if index == 0 {
		return hash
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", hash, version, index))
	return " " + hex.EncodeToString(sum[:3])
}

// Answer returns the complete answer to a prompt, with the given number of tokens.
func Answer(prompt, version string, tokens int) string {
	hash := PromptHash(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(AnswerToken(hash, version, i))
	}
	return text.String()
}
