package runnerset

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// zoneUtilization estimates the utilization of the unreported runners of a service in a
// zone, which are those whose load other nodes do not report to this node. The estimate
// is the mean utilization of the reported runners in the zone (of all zones, if the zone
// has none), moved towards the load that the zone's runners recently reported
// themselves. If unreported runners were assumed to be idle, they would be preferred to
// all that are known to be half full.
type zoneUtilization struct {
	// reportedMean is the mean utilization (requests per slot) of the reported runners,
	// as the bits of a float64; see refreshZoneUtilizations.
	reportedMean atomic.Uint64

	mutex sync.Mutex
	// selfReported is the moving average of the load in runners' responses to this node:
	// the requests of other nodes per slot.
	selfReported   float64
	selfReportedAt time.Time
}

const (
	// selfReportedLifetime is how long the average of the runners' own reports is used;
	// its weight falls linearly to zero. It is longer than the lifetime of a single
	// report, because a mean over several runners varies less.
	selfReportedLifetime = 2 * runnerReportLifetime
	// selfReportedWeight is the weight of a new sample in the moving average.
	selfReportedWeight = 0.3
	// maxUtilization bounds a sample, since a runner may queue several times as many
	// requests as it has slots.
	maxUtilization = 1.5
	// refreshInterval is the minimum time between two computations of the means, which
	// read all runners of a service.
	refreshInterval = 20 * time.Millisecond
)

// observe adds a sample from a runner's report: the requests of other nodes per slot.
func (n *zoneUtilization) observe(utilization float64, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	utilization = min(utilization, maxUtilization)
	if now.Sub(n.selfReportedAt) > selfReportedLifetime {
		n.selfReported = utilization
	} else {
		n.selfReported += selfReportedWeight * (utilization - n.selfReported)
	}
	n.selfReportedAt = now
}

// expected returns the expected number of requests of other nodes per slot at an
// unreported runner.
func (n *zoneUtilization) expected(now time.Time) float64 {
	reported := math.Float64frombits(n.reportedMean.Load())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.selfReportedAt.IsZero() {
		return reported
	}
	fresh := max(0, 1-float64(now.Sub(n.selfReportedAt))/float64(selfReportedLifetime))
	return reported + fresh*(n.selfReported-reported)
}

// mean accumulates an arithmetic mean.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(value float64) {
	m.sum += value
	m.count++
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.count)) }

// utilizationRefresh holds when the zone utilizations of a service were last computed,
// and whether the service has any reported runner.
type utilizationRefresh struct {
	mutex       sync.Mutex
	at          time.Time
	anyReported bool
}

// refreshZoneUtilizations computes the mean utilization of a service in each zone, at
// most once per refreshInterval. It reports whether the service has any reported runner.
func (s *Set) refreshZoneUtilizations(list []*Runner, now time.Time) bool {
	if len(list) == 0 {
		return false
	}
	refresh := list[0].refresh
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	if now.Sub(refresh.at) < refreshInterval && now.Sub(refresh.at) >= 0 {
		return refresh.anyReported
	}
	refresh.at = now
	means := map[*zoneUtilization]*mean{}
	all := &mean{}
	for _, runner := range list {
		if means[runner.zoneUtilization] == nil {
			means[runner.zoneUtilization] = &mean{}
		}
		if runner.AcceptsWork() && s.receivesReports(runner) {
			utilization := runner.reportedUtilization(now)
			means[runner.zoneUtilization].add(utilization)
			all.add(utilization)
		}
	}
	for zone, reported := range means {
		value := reported.value()
		if reported.count == 0 {
			// A zone without reported runners gets the mean of all zones. With a lower
			// estimate, all nodes at once would send it the requests for which nearer
			// runners have no free slot.
			value = all.value()
		}
		zone.reportedMean.Store(math.Float64bits(value))
	}
	refresh.anyReported = all.count > 0
	return refresh.anyReported
}

// reportedUtilization returns the reported requests of all nodes at the runner per slot.
func (r *Runner) reportedUtilization(now time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return countReported(r.own, r.peers, now).running / r.slots()
}
