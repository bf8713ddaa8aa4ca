package runnerset

import (
	"time"
)

// Contention is how long work takes at a runner, relative to the usual time at the same
// runner: 1 is as usual, 2 is twice as long. Other workloads on the runner's machine
// cause it, and it changes within tenths of a second. Runners report it in their
// responses; nodes pass on the reports that they have received themselves.

const (
	// contentionLifetime is how long the last report is used; its weight falls linearly
	// to zero.
	contentionLifetime = 300 * time.Millisecond
	// contentionAverageTime is the time constant of the moving average of the reports,
	// and contentionAverageLifetime is how long the average is used after the last
	// report.
	contentionAverageTime     = 10 * time.Second
	contentionAverageLifetime = time.Minute
	// maxContentionWeight limits the weight of a report in the average, so that a single
	// report after a long time does not determine it.
	maxContentionWeight = 0.1
	// Reports are clamped to minContention and maxContention.
	minContention = 0.5
	maxContention = 10.0
	// contendedThreshold is the contention from which contendedCost is added for batch
	// items.
	contendedThreshold = 1.5
)

// ContentionReport is a contention that a runner has reported.
type ContentionReport struct {
	// Value is 0 if there is no report.
	Value float64
	// Age is the time since this node or a peer received the report from the runner.
	Age time.Duration
}

// contentionSample is a contention that a runner has reported; value is 0 if there is none.
type contentionSample struct {
	value float64
	at    time.Time
}

// contentionState is what a node knows about the contention of a runner. The zero value
// belongs to a runner that does not report any.
type contentionState struct {
	// newest is the newest report that the node knows, and received the newest one that
	// the runner sent to this node. Only the latter is passed on to peers: the age of a
	// report excludes its transfer time, so a report that nodes passed on repeatedly would
	// never expire.
	newest, received contentionSample
	// average is the moving average of all known reports over time; 0 before the first.
	average float64
}

// contentionEstimate is the contention that is assumed for a runner at some time.
type contentionEstimate struct {
	// value is 1 if the contention is unknown.
	value float64
	// weight is the weight of the newest report in the value, from 0 to 1; the other
	// part is the average.
	weight float64
	// reported is set if the runner reports its contention.
	reported bool
}

// recordReceived records a report from the runner itself.
func (c *contentionState) recordReceived(value float64, now time.Time) {
	c.received = contentionSample{clampContention(value), now}
	c.record(value, now)
}

func clampContention(value float64) float64 { return min(max(value, minContention), maxContention) }

// record records a report that a node received from the runner at the given time. It
// ignores reports that are not newer than the newest one.
func (c *contentionState) record(value float64, at time.Time) {
	if c.newest.value > 0 && !at.After(c.newest.at) {
		return
	}
	value = clampContention(value)
	// The weight of a report is proportional to the time since the previous one. Otherwise
	// the average would be too low, since a contended runner gets fewer requests and so
	// sends fewer reports, and a report from several peers would count several times.
	weight := float64(at.Sub(c.newest.at)) / float64(contentionAverageTime)
	if c.average == 0 || at.Sub(c.newest.at) > contentionAverageLifetime {
		c.average, weight = 1, maxContentionWeight
	}
	c.average += min(weight, maxContentionWeight) * (value - c.average)
	c.newest = contentionSample{value, at}
}

// known reports whether the runner reports its contention.
func (c *contentionState) known(now time.Time) bool {
	return c.newest.value > 0 && c.age(now) <= contentionAverageLifetime
}

// age returns the age of the newest report.
func (c *contentionState) age(now time.Time) time.Duration { return max(0, now.Sub(c.newest.at)) }

// longRun returns the average contention, which applies to work that takes much longer
// than contentionLifetime; 1 if it is unknown.
func (c *contentionState) longRun(now time.Time) float64 {
	if !c.known(now) {
		return 1
	}
	return c.average
}

// estimate returns the contention that is assumed at the given time: the newest report, of
// which the weight falls with its age, and otherwise the average.
func (c *contentionState) estimate(now time.Time) contentionEstimate {
	if !c.known(now) {
		return contentionEstimate{value: 1}
	}
	weight := max(0, 1-float64(c.age(now))/float64(contentionLifetime))
	return contentionEstimate{value: c.average + weight*(c.newest.value-c.average), weight: weight, reported: true}
}

// toPassOn returns the report to send to peers: the newest one that the runner sent to
// this node, without a value if it has expired.
func (c *contentionState) toPassOn(now time.Time) ContentionReport {
	age := max(0, now.Sub(c.received.at))
	if c.received.value == 0 || age >= contentionLifetime {
		return ContentionReport{}
	}
	return ContentionReport{Value: c.received.value, Age: age}
}

// contentionDuring returns the contention that applied to work between two estimates, one
// at its start and one at its end: their mean, weighted by the weights of the reports.
func contentionDuring(start, end contentionEstimate) float64 {
	weights := start.weight + end.weight
	if weights == 0 {
		return end.value
	}
	return (start.weight*start.value + end.weight*end.value) / weights
}

// firstEventTime is an expected time to the first event, in two parts.
type firstEventTime struct {
	// work is the time at the usual speed of the service's runners; contention multiplies
	// it. This includes the wait for other requests to end, and the network, of which the
	// time is assumed to be small. The contention is assumed to last until the first
	// event, which overestimates long waits.
	work time.Duration
	// preemption is the time to preempt batch items, which is mostly messages between
	// nodes; contention does not change it.
	preemption time.Duration
}

// at returns the expected time at a given contention.
func (t firstEventTime) at(contention float64) time.Duration {
	return time.Duration(float64(t.work)*contention) + t.preemption
}

// Contention returns the contention that is assumed for the runner, which is 1 if it is
// unknown, and whether the runner reports it.
func (r *Runner) Contention(now time.Time) (estimate float64, reported bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.contention.estimate(now)
	return current.value, current.reported
}

// OwnContention returns the newest contention that the runner reported to this node; it
// has no value if there is none or it has expired.
func (r *Runner) OwnContention(now time.Time) ContentionReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.contention.toPassOn(now)
}
