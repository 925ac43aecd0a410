// Package failure holds the error that callers are told.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names the cause of a failure for programs.
type Code string

// The codes that callers see.
const (
	BadRequest       Code = "badRequest"
	WrongKey         Code = "wrongKey"
	UnknownModel     Code = "unknownModel"
	UnknownService   Code = "unknownService"
	TooLarge         Code = "tooLarge"
	PromptTooLong    Code = "promptTooLong"
	Overloaded       Code = "overloaded"
	RateLimited      Code = "rateLimited"
	NoTarget         Code = "noTarget"
	Stopping         Code = "stopping"
	CutOff           Code = "cutOff"
	CrashesTargets   Code = "crashesTargets"
	TargetFailed     Code = "targetFailed"
	MayHaveRun       Code = "mayHaveRun"
	KeyReused        Code = "idempotencyKeyReused"
	BookingsDown     Code = "bookingsUnavailable"
	DeadlineExceeded Code = "deadlineExceeded"
	LedgerFull       Code = "ledgerFull"
	CallerGone       Code = "callerGone"
)

// Error is a failure as told to a caller. NotRun is true only when no byte of
// the request was handed to a target, or the target said so itself.
type Error struct {
	Status     int
	Code       Code
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// NotRun returns a failure of a request that no target has seen.
func NotRun(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// MaybeRun returns a failure of a request that a target may have run.
func MaybeRun(code Code, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadGateway, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Busy returns a refusal that says when to come back.
func Busy(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	status := http.StatusServiceUnavailable
	if code == RateLimited {
		status = http.StatusTooManyRequests
	}
	e := NotRun(status, code, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// From returns err as an *Error. An error of another kind may have run.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return MaybeRun(TargetFailed, "%v", err)
}
