package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const maxResponseBytes = 64 << 20

// Client calls store hosts over HTTP with JSON. All fields are set before the first
// call.
type Client struct {
	HTTP *http.Client
	// Timeout is the maximum duration of one call.
	Timeout time.Duration
}

// List reads the commit records of a store host after a cursor.
func (c *Client) List(ctx context.Context, url string, after Cursor) (Listing, error) {
	var listing Listing
	listURL := fmt.Sprintf("%s/commits?incarnation=%d&after=%d", url, after.Incarnation, after.Sequence)
	err := c.call(ctx, http.MethodGet, listURL, nil, &listing)
	return listing, err
}

// PutCommit writes the commit record that makes a block readable.
func (c *Client) PutCommit(ctx context.Context, url string, commit Commit) error {
	return c.call(ctx, http.MethodPut, url+"/commits/"+commit.Name, commit, nil)
}

// DeleteCommit withdraws a block, so that no new read of it starts.
func (c *Client) DeleteCommit(ctx context.Context, url, name string) error {
	return c.call(ctx, http.MethodDelete, url+"/commits/"+name, nil, nil)
}

// DeleteBlock deletes a withdrawn block and frees its space.
func (c *Client) DeleteBlock(ctx context.Context, url, name string, generation int64) error {
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("%s/blocks/%s/%d", url, name, generation), nil, nil)
}

func (c *Client) call(ctx context.Context, method, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encoding commit record: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("calling store host: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("calling store host: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return fmt.Errorf("calling store host: status %d", response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(answer); err != nil {
		return fmt.Errorf("decoding response of store host: %w", err)
	}
	return nil
}
