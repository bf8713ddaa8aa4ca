package exchange

import "errors"

// ErrUnresponsive is the cancellation cause of an attempt whose runner sent nothing within
// the time that the sender allows, either for the first event or after an event.
var ErrUnresponsive = errors.New("the runner sent nothing within the idle timeout")
