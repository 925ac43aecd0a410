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
	Key           string `json:"key"`
	Name          string `json:"name"`
	Generation    int64  `json:"generation"`
	Length        int64  `json:"length"`
	Checksum      string `json:"checksum"`
	ClientAccount string `json:"clientAccount"`
	Version       string `json:"version"`
	Tier          Tier   `json:"tier"`
}

// Tier is the storage of a store host in which a block is stored.
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
