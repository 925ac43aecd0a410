// Package target is the client of targets: the model engines and the plain
// services.
package target

import (
	"encoding/json"
	"errors"
	"fmt"
)

// RunRequest makes an engine run one attempt of a request.
type RunRequest struct {
	RequestID     string `json:"requestId"`
	Attempt       int    `json:"attempt"`
	ClientAccount string `json:"clientAccount"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	Prompt        string `json:"prompt"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"promptTokens"`
	// BlockKeys lists the keys of the cacheable prefixes of the prompt, the shortest
	// first.
	BlockKeys   []string `json:"pieceKeys,omitempty"`
	BlockTokens int      `json:"pieceTokens,omitempty"`
	MaxTokens   int      `json:"maxTokens"`
	// Priority orders the waiting requests of an engine, the highest first.
	Priority int `json:"priority"`
	// DeliveredTokens and Delivered are set to resume an answer that was interrupted:
	// the number of tokens delivered so far and their text.
	DeliveredTokens int    `json:"deliveredTokens,omitempty"`
	Delivered       string `json:"delivered,omitempty"`
}

// RunEvent is one event of the answer of an engine.
type RunEvent struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Index is the position of the event in the complete answer, in tokens from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is set on the last event only.
	FinishReason string `json:"finishReason,omitempty"`
	// ReusedTokens is the number of prompt tokens found in the cache of the engine.
	// It is set on the last event only.
	ReusedTokens int `json:"reusedTokens,omitempty"`
}

// UnmarshalJSON decodes an event. It returns an error if a required field is missing
// or invalid.
func (e *RunEvent) UnmarshalJSON(data []byte) error {
	type plain RunEvent
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return err
	}
	if e.RequestID == "" || e.Attempt < 1 || e.Index < 0 {
		return fmt.Errorf("run event: want a requestId, an attempt of at least 1 and an index of at least 0, got %s", data)
	}
	return nil
}

// LoadReport is the load of an engine. It arrives with a delay.
type LoadReport struct {
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	WaitingTokens int      `json:"waitingTokens"`
	Versions      []string `json:"versions"`
	Leaving       bool     `json:"leaving"`
	// Incarnation changes when the engine restarts, which empties its cache.
	Incarnation int64 `json:"incarnation"`
}

// CacheEvent reports that an engine has cached a prefix or removed it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Removed  bool   `json:"removed,omitempty"`
	Key      string `json:"key"`
}

// CacheEvents is one page of cache events. A gap in the sequence numbers means
// that events were lost.
type CacheEvents struct {
	Incarnation int64        `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// VersionRequest makes an engine load or unload a weight version.
type VersionRequest struct {
	Version      string `json:"version"`
	Unload       bool   `json:"unload,omitempty"`
	FencingToken int64  `json:"fence"`
}

// Block identifies one cache block on a store host.
type Block struct {
	// Key is the prefix key. Several blocks may have the same key.
	Key string `json:"key"`
	// Name identifies the block. It is never used again.
	Name       string `json:"name"`
	Generation int64  `json:"generation"`
	// Length is the length of the block in bytes.
	Length   int64  `json:"length"`
	Checksum string `json:"checksum"`
	StoreURL string `json:"storeUrl"`
	Tier     string `json:"tier,omitempty"`
}

// BlockRequest makes an engine export or import cache blocks.
type BlockRequest struct {
	FencingToken int64   `json:"fence"`
	Blocks       []Block `json:"blocks"`
}

// BlockResult lists the blocks that an engine has exported or imported.
type BlockResult struct {
	Blocks []Block `json:"blocks"`
}

// RefusalError reports that a target refused a request. NotRun is true only if no
// part of the request took effect.
type RefusalError struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"notRun"`
}

// Error returns the code and the message of the refusal.
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

// BrokenError reports that a target was not reached or gave no complete and valid
// answer. Sent is false only if no byte of the request was sent.
type BrokenError struct {
	Sent bool
	Err  error
}

// Error returns the cause and whether the target was reached.
func (e *BrokenError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("target not reached: %v", e.Err)
	}
	return fmt.Sprintf("answer of target missing, incomplete or invalid: %v", e.Err)
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
