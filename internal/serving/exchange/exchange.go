// Package exchange declares the types of a request to a runner and of its possible
// outcomes. The client of the runner protocol implements CallSender; online and queuerun
// choose runners and send requests to them with a CallSender. The package owns no state.
// Edges and storage nodes use it; plain nodes use only ErrUnresponsive.
package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Header is a header field of a request or a response.
type Header struct{ Name, Value string }

// Call is a request to a runner.
type Call struct {
	// ID identifies the request in logs and at the runner; attempts of the same request
	// have the same ID.
	ID     string
	Method string
	// URI is the path with the query, as sent by the caller.
	URI string
	// Host is the value of the Host header.
	Host string
	// Headers are the caller's headers, without hop-by-hop headers and headers that the
	// client sets itself.
	Headers []Header
	Body    []byte
	// Tenant owns the request; empty where there are no tenants.
	Tenant string
	// RunnerID identifies the incarnation of the runner that the call is for: each start
	// of a runner has its own ID. Address is the runner's host and port.
	RunnerID string
	Address  string
	// RunnerVersion is the software version of the runner as this node lists it, for the log.
	RunnerVersion string
	// Service is the name of the runner's service.
	Service string
	// Remaining is the time until the request's deadline, which is sent to the runner; 0
	// or less sends no deadline.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has received; negative to
	// start from the beginning.
	ResumeAfter int64
	// MaySend reports whether the call may still be sent. The client calls it right
	// before it writes the first byte; nil permits the call.
	MaySend func() bool
	// NewConnection demands a connection that has not been used before.
	NewConnection bool
	// Attempt counts the attempts of this node at the request, from 1; 0 if they are not counted.
	// CallerAddress is the caller's end of its connection to this node; empty if there is none.
	// Both are for logs.
	Attempt       int
	CallerAddress string
}

// Load is a runner's report of its load.
type Load struct {
	// Running and Waiting are the numbers of requests at the runner.
	Running, Waiting int
	// Contention is how long work takes at the runner at the moment, relative to the usual
	// time: 1 is as usual, 2 is twice as long. It is 0 if the runner does not report it.
	Contention float64
}

// Response is the response of a runner to a call. A CallSender returns it only if it proves to be the
// runner's own; any other one is a ForeignResponseError. The receiver must close Body.
type Response struct {
	Status  int
	Headers []Header
	// Length is the length of the body in bytes; negative if not stated.
	Length int64
	// Body ends with io.EOF only if the body is complete according to the protocol.
	Body io.ReadCloser
	// EndsWithConnection is set if the body has neither a length nor chunks. Its end then
	// looks the same as the end of the runner's process.
	EndsWithConnection bool
	// Load is nil if the runner reports none.
	Load *Load
}

// PromisesNotRun reports whether callers take a status as the promise that the request has not
// run and will not run, so that they may send a request again that must run only once.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// NotRunError means that the request has not run and will not run.
type NotRunError struct {
	// Reason is one of the Reason constants.
	Reason string
	// FromRunner is set if a response reported that the request has not run; otherwise
	// the request was not sent.
	FromRunner bool
	// Load is the load that the runner reported with its refusal; nil if it reported
	// none.
	Load  *Load
	Cause error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run (%s): %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Absent reports whether the runner is not at its address: the request could not be sent
// there, or another incarnation responded.
func (e *NotRunError) Absent() bool {
	return e.Reason == ReasonMisdirected || e.Reason == ReasonDial && !e.FromRunner
}

// OutcomeUnknownError means that the request was sent and may have run.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ForeignReason is why a response does not prove to be the runner's own.
type ForeignReason string

// These are the reasons.
const (
	// ForeignUnsigned means that the response lacks the runner's signature.
	ForeignUnsigned ForeignReason = "unsigned"
	// ForeignEncoded means that the body has an encoding, which runners do not use.
	ForeignEncoded ForeignReason = "encoded"
	// ForeignProtocol means that the response is of another version of HTTP than the runners'.
	ForeignProtocol ForeignReason = "protocol"
)

// ForeignResponseError means that a response came from the runner's address and names the request, but
// does not prove to be the runner's own: it may be from a proxy or a faulty runner. It is the cause of an
// OutcomeUnknownError.
type ForeignResponseError struct {
	Status int
	Reason ForeignReason
}

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("a response with status %d that is not the runner's own (%s)", e.Status, e.Reason)
}

// These are the values of NotRunError.Reason.
const (
	// ReasonDial means that no byte could be sent, usually because no connection could
	// be opened.
	ReasonDial = "dial"
	// ReasonWithdrawn means that Call.MaySend returned false, so that the call was not
	// sent.
	ReasonWithdrawn = "gone"
	// ReasonFull means that the runner rejected the request without running it, usually
	// because it is full.
	ReasonFull = "full"
	// ReasonMisdirected means that another incarnation responds at the address.
	ReasonMisdirected = "misdirected"
)

// CallSender sends calls to runners.
type CallSender interface {
	// Do sends a call, reads the status and headers of the response, and returns it if it proves to
	// be the runner's own. The error is a *NotRunError or an *OutcomeUnknownError. Cancelling the
	// context closes the connection, whereupon the runner drops the request.
	Do(ctx context.Context, call *Call) (*Response, error)
}
