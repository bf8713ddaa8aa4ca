package relay

import "time"

// FollowTiming holds the intervals and timeouts between sources and followers. The zero
// value stands for TimingWithin(0).
type FollowTiming struct {
	// Heartbeat is the interval at which a source sends heartbeats.
	Heartbeat time.Duration
	// HeartbeatTimeout is how long a source counts as live after its last heartbeat.
	HeartbeatTimeout time.Duration
	// AliveTimeout is how long a node with a disk counts as alive after the last contact.
	AliveTimeout time.Duration
}

const (
	// heartbeatShare is the heartbeat interval as a share of the drain time, during which
	// a leaving runner still accepts requests. A source that misses missedHeartbeats is
	// left after less than half of the drain time, unless minHeartbeat applies.
	heartbeatShare   = 0.15
	missedHeartbeats = 3
	// minHeartbeat and maxHeartbeat limit the heartbeat interval. minHeartbeat also
	// applies if the drain time is unknown.
	minHeartbeat = 300 * time.Millisecond
	maxHeartbeat = time.Second
	// defaultAliveTimeout covers two missed probes at one probe a second.
	defaultAliveTimeout = 2500 * time.Millisecond
)

// TimingWithin returns the timing for a deployment with the given drain time of runners;
// 0 means that the drain time is unknown.
func TimingWithin(drain time.Duration) FollowTiming {
	heartbeat := min(max(time.Duration(heartbeatShare*float64(drain)), minHeartbeat), maxHeartbeat)
	return FollowTiming{Heartbeat: heartbeat, HeartbeatTimeout: missedHeartbeats * heartbeat, AliveTimeout: defaultAliveTimeout}
}

// orDefault returns t, or TimingWithin(0) if t is the zero value.
func (t FollowTiming) orDefault() FollowTiming {
	if t == (FollowTiming{}) {
		return TimingWithin(0)
	}
	return t
}
