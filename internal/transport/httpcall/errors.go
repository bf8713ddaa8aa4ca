package httpcall

import (
	"errors"
	"fmt"
)

// NotSentError reports that no byte of the request was sent, so the server did not run
// the request.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError reports that at least one byte of the request was sent and no complete
// header of a response to the request was received. The server may have run the request.
type NoResponseError struct{ Cause error }

// Error implements error.
func (e *NoResponseError) Error() string { return fmt.Sprintf("request sent, no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// ErrWithdrawn is the cause of a NotSentError if Request.BeforeWrite returned false and the
// context had not ended.
var ErrWithdrawn = errors.New("withdrawn before it was written")

// ErrTooManyInterimResponses is the cause of a NoResponseError if the server sent more interim
// responses than any server has to.
var ErrTooManyInterimResponses = errors.New("too many interim responses")

// ErrUnmatchedResponse is the cause of a NoResponseError if only responses were received that do
// not name the request.
var ErrUnmatchedResponse = errors.New("the responses do not name the request")
