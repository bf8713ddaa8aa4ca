// Package exchange declares a request to a runner and its possible outcomes. The client
// of the runner protocol implements CallSender; the packages that choose runners for
// requests (online, queuerun) use it. It holds only types and owns no state. Edges and
// storage nodes use it.
package exchange

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Header is a header field of a request or a response.
type Header struct{ Name, Value string }

// Call is a request to a runner.
type Call struct {
	// ID is the caller's ID for the request.
	ID     string
	Method string
	// URI is the path with the query, as sent by the caller.
	URI  string
	Host string
	// Headers are the caller's headers, without hop-by-hop headers and headers that the
	// client sets itself.
	Headers []Header
	Body    []byte
	// Tenant owns the request; empty where there are no tenants.
	Tenant string
	// RunnerID and Address identify the incarnation of the runner that the call is for.
	RunnerID string
	Address  string
	// Service selects the connection pool, whose connections are limited.
	Service string
	// Remaining is the time left for the runner to respond; 0 sets no limit.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has received; negative to
	// start from the beginning.
	ResumeAfter int64
	// MaySend reports whether the call may still be sent. The client calls it right
	// before it writes; nil permits every call.
	MaySend func() bool
}

// Load is a runner's report of its running and waiting requests.
type Load struct{ Running, Waiting int }

// Response is a runner's response. The receiver must close Body.
type Response struct {
	Status  int
	Headers []Header
	// Length is the length of the body; negative if not stated.
	Length int64
	// Body ends with io.EOF only if the body is complete according to the protocol.
	Body io.ReadCloser
	// Load is nil if the runner reports none.
	Load *Load
	// FromRunner is set if the response carries the runner's mark, so that it was sent
	// by the runner itself and not by a proxy in front of it.
	FromRunner bool
}

// NotRunError means that the request has not run and will not run.
type NotRunError struct {
	// Reason is one of the Reason constants.
	Reason string
	// FromRunner is set if the runner itself reported that the request has not run.
	FromRunner bool
	Load       *Load
	Cause      error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run (%s): %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Absent reports whether the runner counts as failed: nothing responds at its address,
// or another incarnation does.
func (e *NotRunError) Absent() bool {
	return e.Reason == ReasonMisdirected || e.Reason == ReasonDial && !e.FromRunner
}

// OutcomeUnknownError means that the request was sent and may have run.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// These are the values of NotRunError.Reason.
const (
	// ReasonDial means that no connection could be opened.
	ReasonDial = "dial"
	// ReasonWithdrawn means that Call.MaySend withdrew the call before its first byte
	// was sent.
	ReasonWithdrawn = "gone"
	// ReasonFull means that the runner rejected the request because it is full.
	ReasonFull = "full"
	// ReasonMisdirected means that another incarnation responds at the address.
	ReasonMisdirected = "misdirected"
)

// CallSender sends calls to runners.
type CallSender interface {
	// Do sends a call and reads the head of the response. The error is a *NotRunError or
	// an *OutcomeUnknownError. Cancelling the context closes the connection, which makes
	// the runner drop the request.
	Do(ctx context.Context, call *Call) (*Response, error)
}
