package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/operator"
)

// maxHeaderBytes is the largest request header that the server reads. The limit for
// callers in the configuration is far lower and is checked after the header is read.
const maxHeaderBytes = 256 << 10

// Timeouts for callers unless the configuration sets others, and for peers and operators
// at all times. Both are longer than any pause of a peer or an operator, be it within a
// header or between two requests.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
)

func defaultTimeouts() caller.Timeouts {
	return caller.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
}

// callerTimeouts returns the timeouts in force for callers.
func (h *RoutedHost) callerTimeouts() caller.Timeouts {
	timeouts := defaultTimeouts()
	cfg := h.gateway.Routes()
	if cfg == nil {
		return timeouts
	}
	if cfg.Limits.HeaderTimeout > 0 {
		timeouts.Header = cfg.Limits.HeaderTimeout
	}
	if cfg.Limits.IdleTimeout > 0 {
		timeouts.Idle = cfg.Limits.IdleTimeout
	}
	return timeouts
}

func internalHeaderLimit() int { return internalHeaderBytes }

// headerLimit returns the limit up to which headers are read.
func (h *RoutedHost) headerLimit() int {
	if cfg := h.gateway.Routes(); cfg != nil {
		return headerLimit(cfg.Limits.HeaderBytes)
	}
	return defaultHeaderBytes
}

// listen opens the listeners of callers, readiness, metrics and peers. They don't serve yet.
func (h *RoutedHost) listen() ([]*listener, error) {
	callers, relayed := h.Handlers(h.gateway, h.stopping.Load)
	peers := h.group.Handler()
	internal := echo.New()
	internal.HideBanner, internal.HidePort = true, true
	internal.GET("/readyz", operator.Readiness(h.ready))
	internal.GET("/metrics", operator.Metrics(h.metrics))
	var listeners []*listener
	peers = withBodyLimits(withMessageRoom(peers), h.Clock, h.Budgets[BudgetMessages], defaultHeaderTimeout)
	limited := withBodyLimits(internal, h.Clock, h.Budgets[BudgetMessages], defaultHeaderTimeout)
	connections, exceeded := limitConnections(h.Config.MemoryBytes, openFiles()), countExceeded(h.metrics)
	longHeaders := headerRate(h.Budgets[BudgetHeaders])
	for _, l := range []struct {
		address     string
		handler     http.Handler
		timeouts    func() caller.Timeouts
		connections int
		headerBytes func() int
	}{
		{h.Config.Callers.Listen, callers, h.callerTimeouts, connections.callers, h.headerLimit},
		{h.Config.Readiness.Listen, limited, defaultTimeouts, connections.internal, internalHeaderLimit},
		{h.Config.Metrics.Listen, limited, defaultTimeouts, connections.internal, internalHeaderLimit},
		{h.Config.Peers.Listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.RequestURI, h.RelayPrefix+"/") {
				relayed.ServeHTTP(w, r)
				return
			}
			peers.ServeHTTP(w, r)
		}), defaultTimeouts, connections.peers, h.headerLimit},
	} {
		socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			for _, open := range listeners {
				_ = open.socket.Close()
			}
			return nil, fmt.Errorf("listening on %s: %w", l.address, err)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverErrors(h.Log)}
		drainer := &caller.Drainer{Listener: socket, Clock: h.Clock}
		bounded := &caller.Listener{Listener: drainer, Clock: h.Clock, Timeouts: l.timeouts, Limits: caller.Limits{
			Connections: l.connections, HeaderBytes: l.headerBytes, Headers: h.Budgets[BudgetHeaders], HeaderRate: longHeaders, WriteTimeout: writeTimeout, RefusalBody: h.RefusalBody, OnExceeded: exceeded,
		}}
		bounded.ConfigureServer(server)
		drainer.ConfigureServer(server)
		listeners = append(listeners, &listener{socket: bounded, server: server, drainer: drainer})
	}
	return listeners, nil
}
