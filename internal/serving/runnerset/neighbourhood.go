package runnerset

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// zoneUtilization estimates the utilization of the unreported runners of a service in a
// zone, which are the runners whose load other nodes do not report to this node. The
// utilization is the number of requests per slot. The estimate is the mean utilization of
// the reported runners in the zone (of the reported runners in all zones, if the zone has
// none), moved towards the load that the zone's runners recently reported themselves.
// Without the estimate, unreported runners would appear idle and attract requests.
type zoneUtilization struct {
	// reportedMean is the mean utilization of the reported runners, as the bits of a
	// float64; see refreshZoneUtilizations.
	reportedMean atomic.Uint64

	mutex sync.Mutex
	// selfReported is the moving average of the requests of other nodes per slot, from
	// the loads that runners report in their responses to this node. selfReportedAt is
	// when its last sample was added; zero if there is none.
	selfReported   float64
	selfReportedAt time.Time
}

const (
	// selfReportedLifetime is how long selfReported is used after its last sample; its
	// weight falls linearly to zero. It is longer than the lifetime of a single report,
	// because a mean over several runners varies less.
	selfReportedLifetime = 2 * runnerReportLifetime
	// selfReportedWeight is the weight of a new sample in the moving average.
	selfReportedWeight = 0.3
	// maxUtilization limits a sample of selfReported, since a runner may queue several
	// times as many requests as it has slots.
	maxUtilization = 1.5
	// refreshInterval is the minimum time between two computations of a service's means,
	// since each of them reads all runners of the service.
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

// expected returns the expected utilization of an unreported runner by the requests of
// other nodes.
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

// utilizationRefresh records when reportedMean was last computed for the zones of a
// service, and whether the service had any reported runner then.
type utilizationRefresh struct {
	mutex       sync.Mutex
	refreshedAt time.Time
	anyReported bool
}

// refreshZoneUtilizations computes reportedMean for each zone of a service, at most once
// per refreshInterval; list holds all runners of the service. Only runners that accept
// work count. It reports whether any of them is a reported runner, as of the last
// computation.
func (s *Set) refreshZoneUtilizations(list []*Runner, now time.Time) bool {
	if len(list) == 0 {
		return false
	}
	refresh := list[0].refresh
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	if now.Sub(refresh.refreshedAt) < refreshInterval && now.Sub(refresh.refreshedAt) >= 0 {
		return refresh.anyReported
	}
	refresh.refreshedAt = now
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
			// A zone without reported runners gets the mean of all zones. If its
			// runners appeared idle, all nodes would send their excess requests there
			// at once.
			value = all.value()
		}
		zone.reportedMean.Store(math.Float64bits(value))
	}
	refresh.anyReported = all.count > 0
	return refresh.anyReported
}

// reportedUtilization returns the runner's utilization by the requests of this node and
// those that other nodes report.
func (r *Runner) reportedUtilization(now time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return countReported(r.own, r.peers, now).running / r.slots()
}
