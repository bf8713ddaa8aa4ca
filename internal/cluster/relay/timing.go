package relay

import "time"

// FollowTiming holds the intervals and timeouts between sources and followers. The zero
// value stands for TimingWithin(0).
type FollowTiming struct {
	// Heartbeat is the interval at which a source sends heartbeats.
	Heartbeat time.Duration
	// HeartbeatTimeout is how long a source counts as live after its last heartbeat.
	HeartbeatTimeout time.Duration
	// MaxAge is how old the contents of a source may be for it to count as live. The age is
	// the time since the source's contents were known to be all that the store held.
	MaxAge time.Duration
	// AliveTimeout is how long a node with a disk counts as alive after the last contact.
	AliveTimeout time.Duration
}

const (
	// heartbeatShare, timeoutShare and maxAgeShare are the heartbeat interval, the heartbeat
	// timeout and the maximum age as shares of the drain time, during which a leaving runner
	// still accepts requests. Ages add up along the tree, so maxAgeShare alone bounds how
	// late a node learns that a runner leaves; the rest of the drain time is for the request.
	heartbeatShare = 0.15
	timeoutShare   = 0.45
	maxAgeShare    = 0.85
	// minHeartbeat and maxHeartbeat limit the heartbeat interval. minHeartbeat also
	// applies if the drain time is unknown. A source misses at least missedHeartbeats before
	// it is left.
	minHeartbeat     = 300 * time.Millisecond
	maxHeartbeat     = 500 * time.Millisecond
	missedHeartbeats = 3
	// defaultMaxAge applies if the drain time is unknown.
	defaultMaxAge = 4 * time.Second
	// defaultAliveTimeout covers two missed probes at one probe a second.
	defaultAliveTimeout = 2500 * time.Millisecond
)

// TimingWithin returns the timing for a deployment with the given drain time of runners;
// 0 means that the drain time is unknown.
func TimingWithin(drain time.Duration) FollowTiming {
	heartbeat := min(max(share(drain, heartbeatShare), minHeartbeat), maxHeartbeat)
	timing := FollowTiming{
		Heartbeat:        heartbeat,
		HeartbeatTimeout: max(share(drain, timeoutShare), missedHeartbeats*heartbeat),
		MaxAge:           defaultMaxAge,
		AliveTimeout:     defaultAliveTimeout,
	}
	if drain > 0 {
		timing.MaxAge = share(drain, maxAgeShare)
	}
	return timing
}

// share returns a part of a time.
func share(whole time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(whole))
}

// orDefault returns t, or TimingWithin(0) if t is the zero value. A zero MaxAge is replaced by
// defaultMaxAge.
func (t FollowTiming) orDefault() FollowTiming {
	if t == (FollowTiming{}) {
		return TimingWithin(0)
	}
	if t.MaxAge == 0 {
		t.MaxAge = defaultMaxAge
	}
	return t
}
