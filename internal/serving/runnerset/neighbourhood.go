package runnerset

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// neighbourhood is the runners of a service in a zone, and how full those of them
// are expected to be whose users do not report to this node: as the mean of the
// reported runners of the neighbourhood (of all of them where it has none), moved
// towards what its runners lately reported of themselves. Without reports a runner
// is not idle: taken for idle, such runners would be chosen before all that are
// known to be half full.
type neighbourhood struct {
	// reportedMean is the mean utilization (requests per slot) of the runners whose
	// users report, as the bits of a float64; see updateNeighbourhoods.
	reportedMean atomic.Uint64

	mutex sync.Mutex
	// answered is the moving average of what runners reported in answers to this
	// node: the requests of others per slot.
	answered   float64
	answeredAt time.Time
}

const (
	// answeredLifetime is how long the runners' own reports count; they fade linearly.
	// The mean over several runners is steadier than one runner's report.
	answeredLifetime = 2 * runnerReportLifetime
	// answeredWeight is the weight of a new sample.
	answeredWeight = 0.3
	// maxUtilization bounds a sample: a runner may queue several times its slots.
	maxUtilization = 1.5
	// refreshInterval is how often the means are worked out; a choice every few
	// milliseconds would read all runners twice.
	refreshInterval = 20 * time.Millisecond
)

// observe takes a runner's report: the requests of others there per slot.
func (n *neighbourhood) observe(utilization float64, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	utilization = min(utilization, maxUtilization)
	if now.Sub(n.answeredAt) > answeredLifetime {
		n.answered = utilization
	} else {
		n.answered += answeredWeight * (utilization - n.answered)
	}
	n.answeredAt = now
}

// expected returns how many requests per slot others are expected to have at an
// unreported runner of the neighbourhood.
func (n *neighbourhood) expected(now time.Time) float64 {
	reported := math.Float64frombits(n.reportedMean.Load())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.answeredAt.IsZero() {
		return reported
	}
	fresh := max(0, 1-float64(now.Sub(n.answeredAt))/float64(answeredLifetime))
	return reported + fresh*(n.answered-reported)
}

// mean is a running mean.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(value float64) {
	m.sum += value
	m.count++
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.count)) }

// neighbourhoodRefresh is when the neighbourhoods of a service were last worked out,
// and whether the users of any of its runners report to this node.
type neighbourhoodRefresh struct {
	mutex       sync.Mutex
	at          time.Time
	anyReported bool
}

// updateNeighbourhoods works out the mean utilization of each neighbourhood of a
// service, if it is time to. It reports whether the users of any runner report to
// this node.
func (s *Set) updateNeighbourhoods(list []*Runner, now time.Time) bool {
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
	means := map[*neighbourhood]*mean{}
	all := &mean{}
	for _, runner := range list {
		if means[runner.neighbourhood] == nil {
			means[runner.neighbourhood] = &mean{}
		}
		if runner.AcceptsWork() && s.receivesReports(runner) {
			utilization := runner.reportedUtilization(now)
			means[runner.neighbourhood].add(utilization)
			all.add(utilization)
		}
	}
	for place, reported := range means {
		value := reported.value()
		if reported.count == 0 {
			// Taken for emptier than those reported, its runners would draw what the near
			// ones have no free slots for, from all nodes at once.
			value = all.value()
		}
		place.reportedMean.Store(math.Float64bits(value))
	}
	refresh.anyReported = all.count > 0
	return refresh.anyReported
}

// reportedUtilization is the requests of all nodes at the runner per slot.
func (r *Runner) reportedUtilization(now time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return countReported(r.own, r.peers, now).running / r.slots()
}
