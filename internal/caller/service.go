package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/booking"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/dispatch"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxKeyBytes       = 256
)

// forwardedHeaders lists the request headers that are forwarded to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", idempotencyHeader}

// service forwards a call to a plain service.
func (s *Server) service(c echo.Context) error {
	name := c.Param("service")
	service := s.Records.Current().Services[name]
	if service == nil {
		return failure.NotRun(http.StatusNotFound, failure.UnknownService, "service %q does not exist", name)
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	r := c.Request()
	path := "/" + c.Param("*")
	call := &dispatch.ServiceCall{
		Account:    accountOf(c),
		Service:    name,
		Method:     r.Method,
		Path:       path,
		Query:      r.URL.RawQuery,
		Header:     forwardedHeader(r.Header),
		Body:       body,
		Repeatable: service.Repeatable(r.Method, path),
	}
	answer, err := s.callService(c, call, r.Header.Get(idempotencyHeader))
	if err != nil {
		return err
	}
	if answer.Location != "" {
		c.Response().Header().Set("Location", answer.Location)
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// callService sends a call to a plain service. A non-idempotent call with an
// idempotency key is recorded under the key, so that repeating it returns the recorded
// answer. One without a key is sent at most once and is not recorded.
func (s *Server) callService(c echo.Context, call *dispatch.ServiceCall, key string) (target.ServiceAnswer, error) {
	ctx := c.Request().Context()
	if call.Repeatable || key == "" {
		return s.Dispatcher.CallService(ctx, call)
	}
	if len(key) > maxKeyBytes {
		return target.ServiceAnswer{}, failure.NotRun(http.StatusBadRequest, failure.BadRequest,
			"%s: want at most %d bytes, got %d", idempotencyHeader, maxKeyBytes, len(key))
	}
	content := strings.Join([]string{call.Method, call.Path, call.Query, string(call.Body)}, "\n")
	request := &booking.Request{Account: call.Account, Service: call.Service, Key: key, Content: []byte(content)}
	return s.Bookings.Book(ctx, request, func(ctx context.Context) (target.ServiceAnswer, error) {
		return s.Dispatcher.CallService(ctx, call)
	})
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := http.Header{}
	for _, name := range forwardedHeaders {
		if values := header.Values(name); len(values) > 0 {
			forwarded[name] = values
		}
	}
	return forwarded
}
