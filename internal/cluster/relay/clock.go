package relay

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// clockPeriod is the length of the periods for each of which a sourceClock keeps the shortest way of a
// reply. In two periods, two clocks differ by some milliseconds at the most.
const clockPeriod = 30 * time.Second

// sourceClock tells how long the replies of a source were on their way or unread, by the readings of
// the source's clock in them. A reply that this node reads after it stood still, or that a link held
// back, differs by that time more from this node's clock than the fastest reply did.
type sourceClock struct {
	opened time.Time
	// fastest and earlier are the smallest differences of the clocks in the present period and in
	// the one before. The first difference is taken as if the first reply had arrived when the stream
	// was opened, before which it can't have been sent.
	fastest, earlier time.Duration
	periodEnds       time.Time
}

// newSourceClock returns the clock of a source to which the stream is opened at the given time, by
// boottime.Now.
func newSourceClock(opened time.Time) *sourceClock { return &sourceClock{opened: opened} }

// delayOf returns the longest time that can have passed from the sending of a reply to its reading at
// received, by boottime.Now; 0 if the source does not state its clock.
func (c *sourceClock) delayOf(reply *wirev1.FollowReply, received time.Time) time.Duration {
	if reply.ClockMs == 0 {
		return 0
	}
	sent := time.UnixMilli(int64(reply.ClockMs))
	difference := received.Sub(sent)
	switch {
	case c.periodEnds.IsZero():
		c.fastest, c.earlier = c.opened.Sub(sent), c.opened.Sub(sent)
		c.periodEnds = received.Add(clockPeriod)
	case received.After(c.periodEnds):
		c.earlier, c.fastest = c.fastest, difference
		c.periodEnds = received.Add(clockPeriod)
	}
	c.fastest = min(c.fastest, difference)
	return difference - min(c.fastest, c.earlier)
}
