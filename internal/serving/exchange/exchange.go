// Package exchange declares one request to one runner and its possible outcomes.
// The package that speaks a runner's protocol implements CallSender; the packages that
// decide where requests run (online, queuerun) use it. It holds types only and owns
// no state. Edges and storage nodes run it.
package exchange

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Header is one header field of a request or an answer.
type Header struct{ Name, Value string }

// Call is one request to one runner.
type Call struct {
	// ID is the caller's id of the request.
	ID     string
	Method string
	// URI is the path with its query, as the caller sent it.
	URI  string
	Host string
	// Headers are the caller's, without those of a single connection and those
	// the client sets itself.
	Headers []Header
	Body    []byte
	// Tenant is whose request it is; empty where there are no tenants.
	Tenant string
	// RunnerID and Address name the incarnation that the call is for.
	RunnerID string
	Address  string
	// Service names the pool, for limits on connections.
	Service string
	// Remaining is the time the runner may use; 0 sets no limit.
	Remaining time.Duration
	// ResumeAfter is the last event the caller has; negative to start anew.
	ResumeAfter int64
	// MaySend reports whether the call may still be sent. The client checks it right
	// before it writes; nil allows every call.
	MaySend func() bool
}

// Load is a runner's own report of its requests.
type Load struct{ Running, Waiting int }

// Response is a runner's answer. Body must be closed.
type Response struct {
	Status  int
	Headers []Header
	// Length of the body, negative when it is not stated.
	Length int64
	// Body ends with io.EOF only where the protocol says it is whole.
	Body io.ReadCloser
	// Load is nil when the runner reports none.
	Load *Load
	// FromRunner: the answer carries the runner's mark, so it comes from the runner
	// itself and not from something before it.
	FromRunner bool
}

// NotRunError says that the request has not run and will not.
type NotRunError struct {
	// Reason is one of the constants below.
	Reason string
	// FromRunner: the runner itself answered so.
	FromRunner bool
	Load       *Load
	Cause      error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run (%s): %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Absent reports whether the runner counts as failed: nothing answers at its
// address, or another incarnation does.
func (e *NotRunError) Absent() bool {
	return e.Reason == ReasonMisdirected || e.Reason == ReasonDial && !e.FromRunner
}

// OutcomeUnknownError says that the request was sent and may have run.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Reasons of NotRunError.
const (
	// ReasonDial: no connection could be opened.
	ReasonDial = "dial"
	// ReasonWithdrawn: Call.MaySend withdrew the call before its first byte.
	ReasonWithdrawn = "gone"
	// ReasonFull: the runner rejected it.
	ReasonFull = "full"
	// ReasonMisdirected: another incarnation answers at the address.
	ReasonMisdirected = "misdirected"
)

// CallSender sends calls to runners.
type CallSender interface {
	// Do sends a call and reads the answer's head. The error is a *NotRunError
	// or an *OutcomeUnknownError. Ending the context closes the connection, by which
	// the runner drops the request.
	Do(ctx context.Context, call *Call) (*Response, error)
}
