// Package failure defines the errors that are sent to callers.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the machine-readable cause of a failure.
type Code string

// Codes that are sent to callers.
const (
	BadRequest Code = "badRequest"
	// WrongKey means that the API key is missing or unknown.
	WrongKey       Code = "wrongKey"
	UnknownModel   Code = "unknownModel"
	UnknownService Code = "unknownService"
	TooLarge       Code = "tooLarge"
	PromptTooLong  Code = "promptTooLong"
	Overloaded     Code = "overloaded"
	RateLimited    Code = "rateLimited"
	NoTarget       Code = "noTarget"
	// Stopping means that the host is stopping or not ready yet.
	Stopping Code = "stopping"
	// CutOff means that the records of the host may be out of date.
	CutOff         Code = "cutOff"
	CrashesTargets Code = "crashesTargets"
	TargetFailed   Code = "targetFailed"
	MayHaveRun     Code = "mayHaveRun"
	// KeyReused means that the idempotency key was used for another request.
	KeyReused Code = "idempotencyKeyReused"
	// BookingsDown means that a booking could not be recorded, or was not sent in
	// time after it was recorded.
	BookingsDown     Code = "bookingsUnavailable"
	DeadlineExceeded Code = "deadlineExceeded"
	LedgerFull       Code = "ledgerFull"
	// CallerGone is only logged, since the caller has disconnected.
	CallerGone Code = "callerGone"
)

// Error is a failure that is sent to a caller. NotRun is true only if no byte of
// the request was sent to a target, or if the target reported that it did not run
// the request.
type Error struct {
	Status     int
	Code       Code
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// NotRun returns a failure of a request that no target has run.
func NotRun(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MaybeRun returns a failure of a request that a target may have run. Its status is
// 502.
func MaybeRun(code Code, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadGateway, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Busy returns a refusal with the time after which the request may be retried. Its
// status is 429 for RateLimited and 503 for other codes.
func Busy(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	status := http.StatusServiceUnavailable
	if code == RateLimited {
		status = http.StatusTooManyRequests
	}
	e := NotRun(status, code, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// From returns the *Error that err is or wraps. It returns any other error as
// TargetFailed of a request that may have run.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return MaybeRun(TargetFailed, "%v", err)
}
