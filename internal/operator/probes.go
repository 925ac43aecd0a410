package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// Readiness returns a handler that answers 200 while the host can serve requests, and
// 503 otherwise.
func Readiness(ready func() bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	}
}

// Metrics returns a handler that answers with all metrics of a registry as JSON.
func Metrics(registry metrics.Registry) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "application/json")
		c.Response().WriteHeader(http.StatusOK)
		metrics.WriteJSONOnce(registry, c.Response())
		return nil
	}
}
