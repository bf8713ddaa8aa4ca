package listwatch

import "time"

const (
	// minCoalescing is the pause after a watch that returned changes outside of a burst, and
	// the minimum pause during a burst. The next call reads all changes of the pause.
	minCoalescing = 80 * time.Millisecond
	// coalescingShare is the pause during a burst of changes, as a share of the drain
	// time, during which a leaving runner still accepts requests. Bursts occur when many
	// runners start or when the configuration changes several times in a row.
	coalescingShare = 0.2
	// defaultCoalescing is the pause during a burst if the drain time is unknown.
	defaultCoalescing = 400 * time.Millisecond
	// burstWindow is the longest interval between two changes of one burst.
	burstWindow = 700 * time.Millisecond
)

// During the startupPeriod after its own start, a node pauses for startupCoalescing: all
// nodes and runners of the deployment may be starting, and each writes its own entry.
const (
	startupPeriod     = 2500 * time.Millisecond
	startupCoalescing = 700 * time.Millisecond
)

// coalescer determines how long a node pauses after changes before it watches again. Only
// the goroutine of listAndWatch uses it.
type coalescer struct {
	started time.Time
	// lastChange is when the last changes arrived; zero if none have arrived yet.
	lastChange time.Time
	// burstDelay is the pause during a burst.
	burstDelay time.Duration
}

// newCoalescer returns the coalescer of a node that started at the given time, in a
// deployment with the given drain time of runners; 0 means that the drain time is
// unknown.
func newCoalescer(started time.Time, drain time.Duration) *coalescer {
	burstDelay := defaultCoalescing
	if drain > 0 {
		burstDelay = max(minCoalescing, time.Duration(coalescingShare*float64(drain)))
	}
	return &coalescer{started: started, burstDelay: burstDelay}
}

// delayAfter records that changes arrived at now, and returns how long to pause before the
// next watch.
func (c *coalescer) delayAfter(now time.Time) time.Duration {
	if now.Sub(c.started) < startupPeriod {
		c.lastChange = now
		return startupCoalescing
	}
	burst := !c.lastChange.IsZero() && now.Sub(c.lastChange) < burstWindow
	c.lastChange = now
	if burst {
		return c.burstDelay
	}
	return minCoalescing
}
