// Package caller implements the HTTP interface for callers: the OpenAI-compatible
// interface for language models and the paths of the plain services.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/booking"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/config"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
	"sassafrasplank.example/sassafrasplank/internal/target"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Dispatcher runs requests on targets.
type Dispatcher interface {
	Generate(ctx context.Context, g *dispatch.GenerationRequest, sink dispatch.Sink) (dispatch.Usage, error)
	CallService(ctx context.Context, call *dispatch.ServiceCall) (target.ServiceAnswer, error)
}

// Booker runs non-idempotent calls at most once.
type Booker interface {
	Book(ctx context.Context, r *booking.Request, call booking.CallFunc) (target.ServiceAnswer, error)
}

// RecordProvider provides the records in force.
type RecordProvider interface {
	Current() *record.Set
}

// Server answers callers. Its exported fields must be set before Handler is called.
type Server struct {
	Config     config.Callers
	Clock      clock.Clock
	Records    RecordProvider
	Dispatcher Dispatcher
	Bookings   Booker
	// Stopping reports whether the host is shutting down. Callers are then asked to
	// close their connections.
	Stopping func() bool
	// Ended ends when the requests that still run have to be answered. It may be nil.
	Ended context.Context
}

const (
	accountContextKey = "clientAccount"
	// bodyReadContextKey is set once the body of a request is complete.
	bodyReadContextKey = "bodyRead"
)

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.closeWhenStopping, s.endWithHost)
	authorized := e.Group("", s.authorize)
	authorized.POST("/v1/chat/completions", s.chat)
	authorized.POST("/v1/completions", s.complete)
	authorized.GET("/v1/models", s.models)
	authorized.Any("/services/:service/*", s.service)
	authorized.Any("/services/:service", s.service)
	return e
}

// closeWhenStopping asks callers to close their connections during a shutdown, so
// that the balancer opens new ones to other hosts. An answer that begins during the
// shutdown may belong to an earlier request.
func (s *Server) closeWhenStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.Stopping() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// endWithHost ends the context of a request when the host ends, so that its caller is answered.
func (s *Server) endWithHost(next echo.HandlerFunc) echo.HandlerFunc {
	if s.Ended == nil {
		return next
	}
	return func(c echo.Context) error {
		ctx, cancel := context.WithCancel(c.Request().Context())
		defer cancel()
		defer context.AfterFunc(s.Ended, cancel)()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// authorize determines the client account from the caller's key.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Request().Header.Get("Authorization")
		key, ok := strings.CutPrefix(header, "Bearer ")
		if !ok {
			return failure.NotRun(http.StatusUnauthorized, failure.WrongKey, "want the header Authorization: Bearer KEY")
		}
		records := s.Records.Current()
		if records.Revision == 0 {
			return failure.Busy(failure.Stopping, time.Second, "this host has not loaded its records yet")
		}
		account, ok := records.AccountOf(key, s.Clock.Now())
		if !ok {
			return failure.NotRun(http.StatusUnauthorized, failure.WrongKey, "the key does not belong to a client account")
		}
		c.Set(accountContextKey, account)
		return next(c)
	}
}

func accountOf(c echo.Context) string {
	account, _ := c.Get(accountContextKey).(string)
	return account
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  bool   `json:"notRun"`
}

func newErrorBody(f *failure.Error) errorBody {
	kind := "server_error"
	if f.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: f.Message, Type: kind, Code: string(f.Code), NotRun: f.NotRun}}
}

// RefusalBody returns the body of an error in the OpenAI format.
func RefusalBody(f *failure.Error) []byte {
	body, _ := json.Marshal(newErrorBody(f)) // Strings and a bool always encode.
	return body
}

// handleError writes an error in the OpenAI format.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f := s.failureOf(err)
	if f.RetryAfter > 0 {
		seconds := int(f.RetryAfter.Seconds() + 0.999)
		c.Response().Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
	}
	if c.Get(bodyReadContextKey) == nil {
		DiscardBody(c.Response().Writer, c.Request(), s.Clock)
	}
	_ = c.JSON(f.Status, newErrorBody(f))
}

func (s *Server) failureOf(err error) *failure.Error {
	if httpErr, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo returns this type unwrapped.
		return failure.NotRun(httpErr.Code, failure.BadRequest, "%v", httpErr.Message)
	}
	return failure.From(err)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models for which the caller's account has a routing rule.
func (s *Server) models(c echo.Context) error {
	set := s.Records.Current()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range sortedModels(set) {
		if _, ok := set.RuleFor(name, accountOf(c)); ok {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "sassafrasplank"})
		}
	}
	return c.JSON(http.StatusOK, list)
}
