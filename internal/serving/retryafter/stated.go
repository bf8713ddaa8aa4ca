package retryafter

import (
	"sync"
	"time"
)

// A retry states a shorter timeout than the first attempt, since the caller's deadline is
// nearer. The timeout of first attempts differs between routes and is observed.

const (
	// firstAttemptFraction of the usual timeout is the shortest timeout of a first attempt;
	// the difference allows for the time to connect.
	firstAttemptFraction = 0.97
	// timeoutPeriod is the minimum time for which the longest timeout of a route is kept; it
	// is dropped after at most two periods, since callers change.
	timeoutPeriod = 10 * time.Second
	// maxRoutes limits the memory use.
	maxRoutes = 4096
)

// CallerTimeouts records which timeouts callers state, by route. The zero value is ready to
// use and safe for concurrent use.
type CallerTimeouts struct {
	mutex   sync.Mutex
	byRoute map[string]*longestTimeout
}

// longestTimeout holds the longest timeouts of the current and the previous period.
type longestTimeout struct {
	current, previous time.Duration
	periodStart       time.Time // start of the current period
}

// Record records the timeout of a request and returns the usual timeout of first attempts on
// the route: the longest one in the current and the previous period.
func (s *CallerTimeouts) Record(route string, timeout time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byRoute == nil || len(s.byRoute) > maxRoutes {
		s.byRoute = map[string]*longestTimeout{}
	}
	known := s.byRoute[route]
	if known == nil {
		known = &longestTimeout{periodStart: now}
		s.byRoute[route] = known
	}
	if now.Sub(known.periodStart) > timeoutPeriod {
		known.previous, known.current, known.periodStart = known.current, 0, now
	}
	known.current = max(known.current, timeout)
	return max(known.current, known.previous)
}

// IsFirstAttempt reports whether a request appears to be a first attempt, judging by its
// timeout and the usual timeout of its route. A request without a timeout (0) counts as a
// first attempt.
func IsFirstAttempt(timeout, usualTimeout time.Duration) bool {
	return timeout <= 0 || timeout >= time.Duration(firstAttemptFraction*float64(usualTimeout))
}
