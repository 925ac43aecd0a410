// Package ledger records each placement exactly once. Rows are written in batches,
// each under a fixed key, so that a repeated write has no effect.
package ledger

import "time"

// Row is the ledger entry of one placement.
type Row struct {
	RequestID     string `json:"requestId"`
	ClientAccount string `json:"clientAccount"`
	Model         string `json:"model"`
	Version       string `json:"version,omitempty"`
	// Target is the target that ran the request last.
	Target       string `json:"target"`
	PromptTokens int    `json:"promptTokens,omitempty"`
	AnswerTokens int    `json:"answerTokens,omitempty"`
	ReusedTokens int    `json:"reusedTokens,omitempty"`
	// Partial is set if the answer ended before it was complete.
	Partial bool `json:"partial,omitempty"`
	// At is when the answer ended.
	At time.Time `json:"at"`
}
