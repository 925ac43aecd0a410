// Package target speaks to targets: the model engines and the plain services.
package target

import (
	"encoding/json"
	"errors"
	"fmt"
)

// RunRequest asks an engine to run one attempt of a request.
type RunRequest struct {
	RequestID     string `json:"requestId"`
	Attempt       int    `json:"attempt"`
	ClientAccount string `json:"clientAccount"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	Prompt        string `json:"prompt"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"promptTokens"`
	// BlockKeys name the cached prefixes of the prompt, the shortest first.
	BlockKeys   []string `json:"pieceKeys,omitempty"`
	BlockTokens int      `json:"pieceTokens,omitempty"`
	MaxTokens   int      `json:"maxTokens"`
	Priority    int      `json:"priority"`
	// DeliveredTokens and Delivered resume an answer that was cut off.
	DeliveredTokens int    `json:"deliveredTokens,omitempty"`
	Delivered       string `json:"delivered,omitempty"`
}

// RunEvent is one event of an engine's answer.
type RunEvent struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Index counts the tokens of the whole answer from zero.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is set on the last event only.
	FinishReason string `json:"finishReason,omitempty"`
	// ReusedTokens is the part of the prompt found in the engine's cache, set
	// on the last event only.
	ReusedTokens int `json:"reusedTokens,omitempty"`
}

// UnmarshalJSON decodes an event and checks it.
func (e *RunEvent) UnmarshalJSON(data []byte) error {
	type plain RunEvent
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return err
	}
	if e.RequestID == "" || e.Attempt < 1 || e.Index < 0 {
		return fmt.Errorf("run event: want requestId, attempt above zero and index, got %s", data)
	}
	return nil
}

// LoadReport tells how busy an engine is. It arrives late.
type LoadReport struct {
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	WaitingTokens int      `json:"waitingTokens"`
	Versions      []string `json:"versions"`
	Leaving       bool     `json:"leaving"`
	// Incarnation changes when the engine restarts with an empty cache.
	Incarnation int64 `json:"incarnation"`
}

// CacheEvent tells that an engine stored or removed a cached prefix.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Removed  bool   `json:"removed,omitempty"`
	Key      string `json:"key"`
}

// CacheEvents is one page of cache events. A gap in the sequence numbers
// means that events were lost.
type CacheEvents struct {
	Incarnation int64        `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// VersionRequest tells an engine to load or unload a weight version.
type VersionRequest struct {
	Version      string `json:"version"`
	Unload       bool   `json:"unload,omitempty"`
	FencingToken int64  `json:"fence"`
}

// Block names one cache block on a store host.
type Block struct {
	Key        string `json:"key"`
	Name       string `json:"name"`
	Generation int64  `json:"generation"`
	Length     int64  `json:"length"`
	Checksum   string `json:"checksum"`
	StoreURL   string `json:"storeUrl"`
	Tier       string `json:"tier,omitempty"`
}

// BlockRequest tells an engine to export or import cache blocks.
type BlockRequest struct {
	FencingToken int64   `json:"fence"`
	Blocks       []Block `json:"blocks"`
}

// BlockResult lists the blocks an engine exported or imported.
type BlockResult struct {
	Blocks []Block `json:"blocks"`
}

// RefusalError says that a target refused a request. NotRun is true only when
// no part of the request took effect.
type RefusalError struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("target refused: %s: %s", e.Code, e.Message)
}

// Refusal codes of targets.
const (
	CodeLeaving           = "leaving"
	CodeVersionNotLoaded  = "versionNotLoaded"
	CodeStaleFencingToken = "staleFence"
	CodeBadRequest        = "badRequest"
)

// BrokenError says that the connection to a target failed. Sent is false when
// no byte of the request was handed over.
type BrokenError struct {
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *BrokenError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("target not reached: %v", e.Err)
	}
	return fmt.Sprintf("connection to target broken: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// NotRun reports whether err proves that the request did not run.
func NotRun(err error) bool {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.NotRun
	}
	var broken *BrokenError
	return errors.As(err, &broken) && !broken.Sent
}
