// Package operator implements the HTTP interface for operators: health, metrics and
// the administration of records.
package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// operatorContextKey is the key of the operator's name in the request's context.
	operatorContextKey = "operator"
	// historyPageSize limits the entries in one answer to a request for the history.
	historyPageSize  = 200
	maxRecordBytes   = 1 << 20
	applyTimeout     = 15 * time.Second
	ledgerSumTimeout = time.Minute
)

// RecordWriter validates, changes and reads records.
type RecordWriter interface {
	Check(change record.Change) finding.List
	Get(ctx context.Context, kind record.Kind, name string) (recordstore.StoredRecord, bool, error)
	History(ctx context.Context, after int64, limit int) ([]recordstore.HistoryEntry, error)
	Apply(ctx context.Context, a recordstore.Amendment) (int64, error)
}

// RecordProvider provides the records in force.
type RecordProvider interface {
	Current() *record.Set
	RecentEnough() bool
}

// GroupProvider provides the state of the entry hosts.
type GroupProvider interface {
	States() []peer.HostState
}

// Server answers operators. Its exported fields must be set before Handler is
// called.
type Server struct {
	Config  config.Operators
	Records RecordProvider
	Writer  RecordWriter
	Group   GroupProvider
	Ledger  ledger.TableProvider
	Metrics metrics.Registry
	// Ready reports whether the balancer may send requests to this host.
	Ready func() bool
}

// Handler returns the HTTP interface for operators.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", Readiness(s.Ready))
	e.GET("/metrics", Metrics(s.Metrics))
	admin := e.Group("/admin/v1", s.authorize)
	admin.GET("/records", s.list)
	admin.GET("/records/:kind/:name", s.get)
	admin.PUT("/records/:kind/:name", s.put)
	admin.DELETE("/records/:kind/:name", s.remove)
	admin.GET("/history", s.history)
	admin.GET("/hosts", s.hosts)
	admin.GET("/ledger", s.ledger)
	return e
}

// authorize determines the operator from the key. The keys of operators are
// separate from those of callers.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		for _, known := range s.Config.Keys {
			if known.SHA256 == hash {
				c.Set(operatorContextKey, known.Name)
				return next(c)
			}
		}
		return echo.NewHTTPError(http.StatusUnauthorized, "the key does not belong to an operator")
	}
}

// Problem is the body of an error response.
type Problem struct {
	Message  string       `json:"message"`
	Findings finding.List `json:"findings,omitempty"`
	// CurrentRevision is the revision of the record's last change, set after a conflict
	// unless the record does not exist.
	CurrentRevision int64 `json:"currentRevision,omitempty"`
	// MayBeAccepted is set when the outcome of a change is unknown. Nonce identifies the
	// change in the history.
	MayBeAccepted bool   `json:"mayBeAccepted,omitempty"`
	Nonce         string `json:"nonce,omitempty"`
}

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, problem := problemOf(err)
	_ = c.JSON(status, problem)
}

func problemOf(err error) (int, Problem) {
	problem := Problem{Message: err.Error()}
	var found *finding.Error
	var conflict *recordstore.ConflictError
	var uncertain *recordstore.UncertainError
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &found):
		problem.Message = "the change is invalid, see the findings"
		problem.Findings = found.Findings
		return http.StatusUnprocessableEntity, problem
	case errors.As(err, &conflict):
		problem.CurrentRevision = conflict.Current
		return http.StatusConflict, problem
	case errors.As(err, &uncertain):
		problem.MayBeAccepted = true
		problem.Nonce = uncertain.Nonce
		return http.StatusGatewayTimeout, problem
	case errors.As(err, &httpErr):
		if text, ok := httpErr.Message.(string); ok {
			problem.Message = text
		}
		return httpErr.Code, problem
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable, problem
	default:
		return http.StatusInternalServerError, problem
	}
}

func queryInt(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+": want a revision (an integer of zero or more)")
	}
	return n, nil
}
