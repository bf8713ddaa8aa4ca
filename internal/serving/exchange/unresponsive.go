package exchange

import "errors"

// ErrUnresponsive is the cancellation cause of an attempt whose runner has sent nothing
// within the idle timeout.
var ErrUnresponsive = errors.New("the runner was silent for too long")
