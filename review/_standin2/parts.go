package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partClients send one request at a time to each host, over a connection of its own. longPrefix is the
	// length of the list of parts of a prompt: with the other fields, a head stays within the 16,384 bytes of
	// max_header_bytes.
	partClients  = 300
	longPrefix   = 15800
	ordinaryPart = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	partsFor     = 45 * time.Second
	// engines is the number of model runners of the Consortium.
	engines = 9
)

// parts sends streams whose prompts have as many parts as a head takes. The platform ends a process that takes
// more memory than its machine has, and starts it again.
func parts(trouble bool) (*site, int, error) {
	s, err := newSiteOf(engineConfig())
	if err != nil {
		return s, failed, err
	}
	s.ram = consortiumRAM
	for i := range engines {
		if err := newEngine(s.store, fmt.Sprintf("i-%08x", 0x2f3a91c2+i), zones[i%len(zones)]); err != nil {
			return s, failed, err
		}
	}
	if err := s.startHosts(2); err != nil {
		return s, failed, err
	}
	time.Sleep(time.Second) // The hosts read the list of runners.
	prefix := ordinaryPart
	if trouble {
		prefix = manyParts()
	}
	s.record.printf("%d clients of each host send prompts of %d parts, a list of %d bytes", partClients, 1+strings.Count(prefix, ","), len(prefix))
	end := &deadline{at: time.Now().Add(partsFor), machines: len(s.hosts), ends: endsBroken}
	ends := make([]int, len(s.hosts))
	sent := make([]atomic.Int64, len(s.hosts))
	var clients sync.WaitGroup
	for i, h := range s.hosts {
		for range partClients {
			clients.Go(func() { sendPrompts(h, prefix, end, &sent[i]) })
		}
		clients.Go(func() { ends[i] = s.watchMemory(h, end, &sent[i]) })
	}
	clients.Wait()
	return s.judgeEnds(ends, sent)
}

// manyParts returns a list of parts with different IDs.
func manyParts() string {
	var b strings.Builder
	for id := 1; b.Len() < longPrefix; id++ {
		if id > 1 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", id)
	}
	return b.String()
}

// sendPrompts sends one stream after another, and waits as told after a refusal.
func sendPrompts(h *host, prefix string, end *deadline, sent *atomic.Int64) {
	for !end.passed() {
		pause, err := sendPrompt(h, prefix, end)
		sent.Add(1)
		if err != nil {
			pause = 50 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func sendPrompt(h *host, prefix string, end *deadline) (pause time.Duration, err error) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(13 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /bol/summary HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: %s\r\nX-Token-Count: 3000,20\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: 12000\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\nhi",
		clientHost, randomID(16), model, prefix, key)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4<<10)
	for !end.passed() {
		if _, err := response.Body.Read(buffer); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return 0, err
		}
	}
	return retryAfter(response), nil
}
