package online

import (
	"fmt"

	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/transport/eventstream"
)

// A runner that fails may send bytes without end. They would occupy its connection, this node and
// the caller until the deadline.

// ResponseLimits bound the response to a request. The zero value has no limits.
type ResponseLimits struct {
	// Bytes is the largest size of a response that is not a stream.
	Bytes int64
	// Events is the largest ID of an event of a stream.
	Events int64
}

// maxUnnumberedBytes is the total size of the events without an ID that a stream may contain.
const maxUnnumberedBytes = 64 << 10

// tooLongError means that a response exceeds a limit.
type tooLongError struct {
	limit int64
	unit  string
}

// Error implements error.
func (e *tooLongError) Error() string {
	return fmt.Sprintf("the response exceeds %d %s", e.limit, e.unit)
}

// checkBytes returns an error if the size of a response that is not a stream exceeds the limit.
func (l ResponseLimits) checkBytes(size int64) error {
	if l.Bytes > 0 && size > l.Bytes {
		return &tooLongError{l.Bytes, "bytes"}
	}
	return nil
}

// checkLength returns an error if a response states that it exceeds the limit.
func (l ResponseLimits) checkLength(response *exchange.Response) error {
	return l.checkBytes(response.Length)
}

// eventCheck checks the events of one attempt at a stream.
type eventCheck struct {
	limits ResponseLimits
	// unnumberedBytes is the size of the events without an ID so far.
	unnumberedBytes int
}

// check returns an error unless the event may follow the event with the ID last.
func (c *eventCheck) check(event *eventstream.StreamEvent, last int64) error {
	if !event.HasID {
		c.unnumberedBytes += len(event.Raw)
		if c.unnumberedBytes > maxUnnumberedBytes {
			return &tooLongError{maxUnnumberedBytes, "bytes of events without an id"}
		}
		return nil
	}
	if event.ID != last+1 {
		return &eventstream.BrokenError{Reason: "an event out of order"}
	}
	if c.limits.Events > 0 && event.ID > c.limits.Events {
		return &tooLongError{c.limits.Events, "events"}
	}
	return nil
}
