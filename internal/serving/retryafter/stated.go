package retryafter

import (
	"sync"
	"time"
)

// A retry states a shorter timeout than the first attempt, since the caller's deadline is
// nearer. The timeout of first attempts on a route is taken to be the longest timeout that
// callers have recently stated there.

const (
	// firstAttemptFraction of the timeout of first attempts is the shortest timeout with
	// which a request counts as a first attempt; the difference allows for the time to
	// connect.
	firstAttemptFraction = 0.97
	// timeoutPeriod is the minimum length of a period. A period ends with the first request
	// on the route after that time.
	timeoutPeriod = 10 * time.Second
	// maxRoutes limits the memory use: once more routes are recorded, all records are
	// dropped.
	maxRoutes = 4096
)

// CallerTimeouts records the longest timeouts that callers state, by route. It is safe for
// concurrent use, and its zero value is ready to use.
type CallerTimeouts struct {
	mutex   sync.Mutex
	byRoute map[string]*longestTimeouts
}

// longestTimeouts holds the longest timeouts of a route in the current and the previous
// period.
type longestTimeouts struct {
	current, previous time.Duration
	periodStart       time.Time // start of the current period
}

// Record records the timeout of a request, 0 if the caller states none, and returns the
// timeout of first attempts on the route: the longest timeout in the current and the previous
// period, including the given one.
func (s *CallerTimeouts) Record(route string, timeout time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byRoute == nil || len(s.byRoute) > maxRoutes {
		s.byRoute = map[string]*longestTimeouts{}
	}
	longest := s.byRoute[route]
	if longest == nil {
		longest = &longestTimeouts{periodStart: now}
		s.byRoute[route] = longest
	}
	if now.Sub(longest.periodStart) > timeoutPeriod {
		longest.previous, longest.current, longest.periodStart = longest.current, 0, now
	}
	longest.current = max(longest.current, timeout)
	return max(longest.current, longest.previous)
}

// IsFirstAttempt reports whether a request appears to be a first attempt: its timeout is at
// least firstAttemptFraction of firstAttemptTimeout, or the caller stated none (0).
func IsFirstAttempt(timeout, firstAttemptTimeout time.Duration) bool {
	return timeout <= 0 || timeout >= time.Duration(firstAttemptFraction*float64(firstAttemptTimeout))
}
