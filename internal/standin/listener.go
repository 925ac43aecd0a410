// Package standin implements simple stand-ins for the environment of the system:
// the platform's services, model engines, store hosts and a plain service. They can
// be made to fail in the ways the real ones do.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// listener is the HTTP server of one stand-in. It can be stopped and started again
// at the same address.
type listener struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	done   chan struct{}
}

// start listens at addr, or at the previous address if addr is empty.
func (l *listener) start(addr string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	if addr == "" {
		addr = l.addr
	}
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("starting stand-in: %w", err)
	}
	l.addr = socket.Addr().String()
	l.server = &http.Server{Handler: l.handler} //nolint:gosec // The stand-in serves loopback only.
	l.done = make(chan struct{})
	go serve(l.server, socket, l.done)
	return nil
}

func serve(server *http.Server, socket net.Listener, done chan struct{}) {
	defer close(done)
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// stop closes the socket and all connections, without waiting for requests.
func (l *listener) stop() {
	l.mu.Lock()
	server, done := l.server, l.done
	l.server = nil
	l.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	<-done
}

func (l *listener) url() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return "http://" + l.addr
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
