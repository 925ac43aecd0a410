package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// randomID returns letters and digits.
func randomID(length int) string {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	var b strings.Builder
	for range length {
		b.WriteByte(letters[rand.IntN(len(letters))])
	}
	return b.String()
}

// newRequest returns a request of a client.
func newRequest(method string, h *host, id string) (*http.Request, error) {
	q, err := http.NewRequest(method, "http://"+h.front+"/stock/cedar", nil)
	if err != nil {
		return nil, err
	}
	q.Host = clientHost
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "1000")
	q.Header.Set("X-Api-Key", key)
	return q, nil
}

// post sends a request and returns its answer, and how long the client waits before its next request.
func post(client *http.Client, h *host, id string) (got clientAnswer, pause time.Duration) {
	q, err := newRequest(http.MethodPost, h, id)
	if err != nil {
		return clientAnswer{host: h.name}, 0
	}
	response, err := client.Do(q)
	if err != nil {
		return clientAnswer{host: h.name}, 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return clientAnswer{host: h.name}, 0
	}
	return clientAnswer{host: h.name, status: response.StatusCode, sealed: response.Header.Get("X-Response-Seal")}, retryAfter(response)
}

// retryAfter returns how long the client is to wait, 0 if the answer doesn't say.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// ask sends one request over a connection of its own, with the target exactly as given.
func ask(address, k, id, method, target, body string) (status int, answer string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, clientHost, id, k, len(body), body)
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
