// Package ledger counts each placement once. Rows are written in batches whose
// names never change, so that a repeated write has no effect.
package ledger

import "time"

// Row counts one placement.
type Row struct {
	RequestID     string `json:"requestId"`
	ClientAccount string `json:"clientAccount"`
	Model         string `json:"model"`
	Version       string `json:"version,omitempty"`
	Target        string `json:"target"`
	PromptTokens  int    `json:"promptTokens,omitempty"`
	AnswerTokens  int    `json:"answerTokens,omitempty"`
	ReusedTokens  int    `json:"reusedTokens,omitempty"`
	// Partial is set when the answer ended before it was whole.
	Partial bool      `json:"partial,omitempty"`
	At      time.Time `json:"at"`
}
