package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"sassafrasplank.example/sassafrasplank/internal/caller"
	"sassafrasplank.example/sassafrasplank/internal/common/bounded"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
)

// Limits for the connections of other parties, besides those of memory. None is reached by callers,
// peers and operators within their limits.
const (
	// writeTimeout limits one write to a caller, a peer or an operator. A caller that reads 64 KiB in
	// this time, some 2 KiB a second, is never cut off.
	writeTimeout = 30 * time.Second
	// connectionBytes is the memory that a connection takes without a request, 10 to 20 KiB as
	// measured with 4,100 of them, and the part of its header, body and answer that is never refused.
	connectionBytes = 48 << 10
	// connectionsMemoryShare is the share of a host's memory for connections. A host with 184 MB takes
	// 1,123 of them.
	connectionsMemoryShare = 0.3
	// descriptorsShare is the share of the open files for connections of other parties. The others
	// are for those to targets, peers and the table service.
	descriptorsShare = 0.5
	// peersShare and internalShare are the shares of these connections for peers, and for each of the
	// listeners for readiness and metrics, of which a balancer and a few operators need only some.
	peersShare    = 0.3
	internalShare = 0.05
	// minConnections is the least limit of a listener, for hosts with little memory.
	minConnections = 32
	// defaultHeaderBytes is the limit of a header while no configuration states one.
	defaultHeaderBytes = 40 << 10
	// internalHeaderBytes is that for readiness and metrics, which get no cookies and no prompts.
	internalHeaderBytes = 16 << 10
	// headerFactor and headerMargin give the limit up to which a header is read. Up to there, a
	// handler refuses a header above the stated limit, and the margin is for the first bytes of the
	// body and the fields that hosts add to a request that they relay.
	headerFactor = 2
	headerMargin = 8 << 10
	// messageCopies is how often the bytes of a message of a peer are held while it is decoded.
	messageCopies = 5
)

// Names of the budgets of memory, by what they hold of other parties.
const (
	// BudgetHeld is the budget of all others together. What is short is counted but never refused. The
	// rest of the memory is for the program, its tables and connections, and for garbage.
	BudgetHeld = "held"
	// BudgetAnswers is that of answers of targets. Those that don't fit are passed on while they are
	// read.
	BudgetAnswers = "answers"
	// BudgetBodies is that of the bodies of requests, BudgetHeaders that of their headers, and
	// BudgetMessages that of messages of peers and of changes of operators. What doesn't fit is refused.
	BudgetBodies   = "bodies"
	BudgetHeaders  = "headers"
	BudgetMessages = "messages"
)

// budgetShares are the shares of the memory of a host for each budget.
var budgetShares = map[string]float64{BudgetHeld: 0.5, BudgetAnswers: 0.2, BudgetBodies: 0.3, BudgetHeaders: 0.1, BudgetMessages: 0.15}

// NewBudgets returns the budgets of a host with the given memory, or none if that is 0.
func NewBudgets(memoryBytes int64) map[string]*bounded.Budget {
	budgets := map[string]*bounded.Budget{}
	if memoryBytes <= 0 {
		return budgets
	}
	for name, share := range budgetShares {
		budgets[name] = &bounded.Budget{Limit: int64(float64(memoryBytes) * share)}
	}
	for name, budget := range budgets {
		if name != BudgetHeld {
			budget.Parent = budgets[BudgetHeld]
		}
	}
	return budgets
}

func registerBudgets(registry metrics.Registry, budgets map[string]*bounded.Budget) {
	for name, budget := range budgets {
		metrics.NewRegisteredFunctionalGauge("memory."+name+"Bytes", registry, budget.Taken)
	}
}

// connectionLimits are limits of the open connections of each listener.
type connectionLimits struct {
	callers, peers, internal int
}

// limitConnections divides the connections that fit into the memory, unless that is 0, and into the
// open files that a process may have.
func limitConnections(memoryBytes int64, descriptors uint64) connectionLimits {
	total := float64(descriptors) * descriptorsShare
	if memoryBytes > 0 {
		total = min(total, float64(memoryBytes)*connectionsMemoryShare/connectionBytes)
	}
	share := func(part float64) int { return max(minConnections, int(total*part)) }
	return connectionLimits{callers: share(1 - peersShare - 2*internalShare), peers: share(peersShare), internal: share(internalShare)}
}

// openFiles returns how many files this process may have open. A limit that can't be read is unlimited.
func openFiles() uint64 {
	const unlimited = 1 << 20
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unlimited
	}
	return min(limit.Cur, unlimited)
}

// headerLimit returns the limit up to which a header is read if the configuration states the given one.
func headerLimit(stated int) int {
	if stated <= 0 {
		return defaultHeaderBytes
	}
	return min(headerFactor*stated+headerMargin, maxHeaderBytes)
}

// headerRate returns the limit of the memory that long headers take per second: the whole budget.
func headerRate(budget *bounded.Budget) *rate.Limiter {
	if budget == nil {
		return nil
	}
	return rate.NewLimiter(rate.Limit(budget.Limit), int(budget.Limit))
}

// countExceeded returns a function that counts the requests and connections that limits end.
func countExceeded(registry metrics.Registry) func(limit caller.Limit) {
	counters := map[caller.Limit]metrics.Counter{}
	for _, limit := range []caller.Limit{caller.LimitConnections, caller.LimitNewConnections, caller.LimitHeaderBytes, caller.LimitHeaders, caller.LimitWrite} {
		counters[limit] = metrics.GetOrRegisterCounter(string(limit), registry)
	}
	return func(limit caller.Limit) { counters[limit].Inc(1) }
}

// withBodyLimits returns a handler like next for peers and operators: bodies have to arrive within a
// time limit and are limited together.
func withBodyLimits(next http.Handler, c clock.Clock, budget *bounded.Budget, timeout time.Duration) http.Handler {
	return caller.WithBodyTimeout(caller.WithBodyBudget(next, budget, messageCopies), c, timeout)
}

// messageType is the type of the messages between hosts.
const messageType = "application/protobuf"

// withMessageRoom returns a handler like next, for calls of peers, that decodes a message only if there is room
// for what it becomes: short entries take many times their bytes.
func withMessageRoom(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Type") != messageType {
			http.Error(w, "want messages of type "+messageType, http.StatusUnsupportedMediaType)
			return
		}
		var message bounded.Buffer // The budget counts what is read.
		err := message.Fill(r.Body, min(r.ContentLength, peer.MaxMessageBytes), peer.MaxMessageBytes)
		data := bytes.Join(message.Chunks, nil)
		if err == nil {
			err = caller.TakeRoom(r, peer.DecodedBytes(r.URL.Path, data))
		}
		switch {
		case errors.Is(err, bounded.ErrNoRoom):
			http.Error(w, "no room for the message", http.StatusServiceUnavailable)
		case errors.Is(err, bounded.ErrTooLong):
			http.Error(w, "the message is too long or has too many entries", http.StatusRequestEntityTooLarge)
		case errors.Is(err, os.ErrDeadlineExceeded):
			http.Error(w, "the message did not arrive in time", http.StatusRequestTimeout)
		case err != nil:
			http.Error(w, "reading the message: "+err.Error(), http.StatusBadRequest)
		default:
			r.Body = io.NopCloser(bytes.NewReader(data))
			next.ServeHTTP(w, r)
		}
	})
}
