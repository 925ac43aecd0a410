// Package store is a client for store hosts, which store cache blocks in memory and
// on disk, and a directory of the blocks stored there.
package store

import (
	"encoding/json"
	"fmt"
)

// Commit is the commit record that makes a block readable. It is written after the
// block, and a block without a commit record is never read.
type Commit struct {
	// Key identifies the content of the block. Several blocks may have the same key.
	Key string `json:"key"`
	// Name identifies the block. No other block ever has the same name.
	Name string `json:"name"`
	// Generation numbers the blocks of the host process that wrote them, from 1. Name
	// contains it.
	Generation int64 `json:"generation"`
	// Length is the length of the block in bytes.
	Length        int64  `json:"length"`
	Checksum      string `json:"checksum"`
	ClientAccount string `json:"clientAccount"`
	// Version is the weight version with which the block was computed.
	Version string `json:"version"`
	Tier    Tier   `json:"tier"`
}

// Tier is the kind of storage in which a store host stores a block.
type Tier string

// The tiers of a store host.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// UnmarshalJSON decodes and validates a commit record.
func (c *Commit) UnmarshalJSON(data []byte) error {
	type plain Commit
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	if c.Key == "" || c.Name == "" || c.Generation < 1 || c.Length < 1 || c.Checksum == "" {
		return fmt.Errorf("commit record %q: want key, name, generation, length in bytes and checksum", c.Name)
	}
	return nil
}
