package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"sassafrasplank.example/sassafrasplank/internal/target"
)

// cacheBlocks caches the blocks of a prompt and evicts the least recently used ones
// beyond the capacity.
func (e *Engine) cacheBlocks(keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		e.cacheBlock(key, kvBytes(key))
	}
}

func (e *Engine) cacheBlock(key string, data []byte) {
	if i := slices.Index(e.cacheOrder, key); i >= 0 {
		e.cacheOrder = slices.Delete(e.cacheOrder, i, i+1)
	} else {
		e.emitEvent(key, false)
	}
	e.cache[key] = data
	e.cacheOrder = append(e.cacheOrder, key)
	for len(e.cacheOrder) > e.CacheBlocks {
		oldest := e.cacheOrder[0]
		e.cacheOrder = e.cacheOrder[1:]
		delete(e.cache, oldest)
		e.emitEvent(oldest, true)
	}
}

// kvBytes returns the artificial data of a cached block.
func kvBytes(key string) []byte {
	return bytes.Repeat([]byte(key), kvRepeats)
}

func (e *Engine) emitEvent(key string, removed bool) {
	e.sequence++
	if e.faults.DropEventEvery > 0 && e.sequence%int64(e.faults.DropEventEvery) == 0 {
		return
	}
	event := target.CacheEvent{Sequence: e.sequence, Removed: removed, Key: key}
	e.events = append(e.events, timedEvent{at: e.Clock.Now(), event: event})
	if len(e.events) > maxHistory {
		e.events = e.events[len(e.events)-maxHistory:]
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	visible := e.Clock.Now().Add(-e.EventLag)
	answer := target.CacheEvents{Incarnation: e.incarnation, Events: []target.CacheEvent{}}
	for _, timed := range e.events {
		if timed.event.Sequence > after && !timed.at.After(visible) {
			answer.Events = append(answer.Events, timed.event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// checkFencingToken refuses a request whose fencing token is lower than that of an
// earlier request, if the engine checks fencing tokens.
func (e *Engine) checkFencingToken(w http.ResponseWriter, fencingToken int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && fencingToken < e.fencingToken {
		message := fmt.Sprintf("fencing token %d is older than %d", fencingToken, e.fencingToken)
		refuse(w, http.StatusConflict, target.CodeStaleFencingToken, message)
		return false
	}
	e.fencingToken = max(e.fencingToken, fencingToken)
	return true
}

func (e *Engine) serveVersion(w http.ResponseWriter, r *http.Request) {
	var request target.VersionRequest
	if !readJSON(w, r, &request) || !e.checkFencingToken(w, request.FencingToken) {
		return
	}
	if !request.Unload {
		<-e.Clock.After(e.Weights.begin(e.WeightLoadTime))
		e.Weights.end()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Unload {
		delete(e.versions, request.Version)
	} else {
		e.versions[request.Version] = true
	}
	e.recordLoad()
	w.WriteHeader(http.StatusOK)
}

// serveExport writes cached blocks to store hosts. Blocks that are no longer
// cached, and those that a store host doesn't accept, are left out of the result.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request target.BlockRequest
	if !readJSON(w, r, &request) || !e.checkFencingToken(w, request.FencingToken) {
		return
	}
	result := target.BlockResult{Blocks: []target.Block{}}
	for _, block := range request.Blocks {
		e.mu.Lock()
		data, cached := e.cache[block.Key]
		e.mu.Unlock()
		if !cached || e.putBlock(r, block, data) != nil {
			continue
		}
		block.Length = int64(len(data))
		block.Checksum = checksum(data)
		result.Blocks = append(result.Blocks, block)
	}
	writeJSON(w, http.StatusOK, result)
}

func (e *Engine) putBlock(r *http.Request, block target.Block, data []byte) error {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPut, blockURL(block), bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := e.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("writing block %s: status %d", block.Name, response.StatusCode)
	}
	return nil
}

// serveImport reads blocks from store hosts and caches those with the expected
// length and checksum.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var request target.BlockRequest
	if !readJSON(w, r, &request) || !e.checkFencingToken(w, request.FencingToken) {
		return
	}
	result := target.BlockResult{Blocks: []target.Block{}}
	for _, block := range request.Blocks {
		data, err := e.getBlock(r, block)
		if err != nil || int64(len(data)) != block.Length || checksum(data) != block.Checksum {
			continue
		}
		e.mu.Lock()
		e.cacheBlock(block.Key, data)
		e.mu.Unlock()
		result.Blocks = append(result.Blocks, block)
	}
	writeJSON(w, http.StatusOK, result)
}

func (e *Engine) getBlock(r *http.Request, block target.Block) ([]byte, error) {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, blockURL(block), nil)
	if err != nil {
		return nil, err
	}
	response, err := e.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("reading block %s: status %d", block.Name, response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

func blockURL(block target.Block) string {
	return fmt.Sprintf("%s/blocks/%s/%d?tier=%s", block.StoreURL, block.Name, block.Generation, block.Tier)
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
