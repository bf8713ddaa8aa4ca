package exchange

import "errors"

// ErrUnresponsive is the cancellation cause of an attempt whose runner sent nothing
// within the time that the sender allows for the first event, or after an event. The text
// is part of result messages.
var ErrUnresponsive = errors.New("the runner was silent for too long")
