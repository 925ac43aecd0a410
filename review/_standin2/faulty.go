package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// application is a stand-in for the runners of the order and stock application, with the slots, the queue
// and the work of the sheet. It writes its answers itself, since it may also write additional bytes.
type application struct {
	runner

	// failing is the share of runs that end with 500, and spoiled the share of answers after which
	// additional bytes follow.
	failing, spoiled float64
	slots            chan struct{}

	mu      sync.Mutex
	waiting int
	// answers are the statuses of the requests that ran, by ID, and additional counts the answers that
	// additional bytes followed.
	answers             map[string]int
	refused, additional int
	// before are the additional bytes that came before the answer to a request, by its ID.
	before map[string]string
}

const (
	slots     = 6
	queue     = 24
	meanWork  = 15 * time.Millisecond
	maxWork   = 110 * time.Millisecond
	orderBody = 800
)

func newApplication(s *store, id, zone string, failing, spoiled float64) (*application, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &application{
		runner:  runner{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now(), store: s, slots: slots},
		failing: failing, spoiled: spoiled, slots: make(chan struct{}, slots), answers: map[string]int{}, before: map[string]string{},
	}
	go a.accept(l)
	go a.register()
	return a, nil
}

func (a *application) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go a.serve(conn)
	}
}

// serve serves one request at a time. Additional bytes after a complete answer arrive late: at the point
// where the next answer is expected.
func (a *application) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var additional []byte
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		answer := a.answer(q)
		if len(additional) > 0 {
			a.mu.Lock()
			a.before[q.Header.Get("X-Request-Id")] = string(additional)
			a.mu.Unlock()
		}
		if _, err := conn.Write(append(additional, answer...)); err != nil {
			return
		}
		additional = a.spoil(answer)
	}
}

// answer runs a request, or refuses it.
func (a *application) answer(q *http.Request) []byte {
	id := q.Header.Get("X-Request-Id")
	now := time.Now().UTC().Format(http.TimeFormat)
	if q.RequestURI == "/healthz" {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nDate: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", now, a.id)
	}
	if named := q.Header.Get("X-Expect-Instance"); named != "" && named != a.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nDate: %s\r\nX-Request-Id: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", now, id, a.id)
	}
	if !a.enter() {
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nDate: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", now, id)
	}
	defer a.leave()
	a.runner.mu.Lock()
	a.runs = append(a.runs, run{id: id, method: q.Method, target: q.RequestURI, runner: a.id, at: time.Now()})
	a.runner.mu.Unlock()
	time.Sleep(min(maxWork, time.Duration((0.5+rand.Float64())*float64(meanWork))))
	status, text := http.StatusOK, "OK"
	if rand.Float64() < a.failing {
		status, text = http.StatusInternalServerError, "Internal Server Error"
	}
	a.mu.Lock()
	a.answers[id] = status
	a.mu.Unlock()
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nDate: %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n", status, text, now, id, a.id, id, orderBody)
	return append(head, make([]byte, orderBody)...)
}

// enter waits for a slot. It returns false if the queue is full.
func (a *application) enter() bool {
	a.mu.Lock()
	if a.waiting >= slots+queue {
		a.refused++
		a.mu.Unlock()
		return false
	}
	a.waiting++
	a.mu.Unlock()
	a.slots <- struct{}{}
	return true
}

func (a *application) leave() {
	<-a.slots
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// spoil returns the additional bytes that follow an answer: a second copy that breaks off.
func (a *application) spoil(answer []byte) []byte {
	if rand.Float64() >= a.spoiled {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.additional++
	return append([]byte(nil), answer[:1+rand.IntN(min(headBytes, len(answer)-1))]...)
}

// headBytes is the length up to which a second copy of an answer is written: it breaks off in its head.
const headBytes = 100

// status returns the status with which a request was answered that ran here, 0 for any other.
func (a *application) status(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answers[id]
}

// bytesBefore returns the additional bytes that came before the answer to a request.
func (a *application) bytesBefore(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.before[id]
}
