package zoneload

import (
	"cmp"
	"math"
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// namingUtilization is the share of a zone's slots that online requests have to use before
// digests name runners with free slots. With less, no zone needs another.
const namingUtilization = 0.5

// RunnerContention returns how long work takes at a runner relative to the usual time, and
// whether the runner reports it.
type RunnerContention func(runner *runnerset.Runner, now time.Time) (value float64, reported bool)

// zoneSums accumulates the load of one service's runners in one zone.
type zoneSums struct {
	zone string
	// listed, accepting and reported count the listed runners, those of them that accept
	// work, and those of these whose load other nodes report to this node.
	listed, accepting, reported int
	slots                       int
	running, batch              float64
	// contention is the sum of the contentions of the runners that report it, weighted by
	// their slots, and contentionSlots the sum of these slots.
	contention, contentionSlots float64
	free                        []freeRunner
}

// freeRunner is a runner with slots that online requests do not use.
type freeRunner struct {
	id string
	// slots is the number of slots without online requests, and empty the number of those
	// without batch items.
	slots, empty int
}

// sumService computes the sums of each zone over the runners of a service.
func sumService(runners *runnerset.Set, service string, contention RunnerContention, now time.Time) []*zoneSums {
	var zones []*zoneSums
	for _, runner := range runners.Service(service) {
		if !runner.Listed() {
			continue
		}
		index := slices.IndexFunc(zones, func(sums *zoneSums) bool { return sums.zone == runner.Zone })
		if index < 0 {
			index, zones = len(zones), append(zones, &zoneSums{zone: runner.Zone})
		}
		zones[index].add(runner, runners.ReceivesReports(runner), contention, now)
	}
	return zones
}

// add adds a listed runner. reported is set if other nodes report its load to this node.
func (z *zoneSums) add(runner *runnerset.Runner, reported bool, contention RunnerContention, now time.Time) {
	z.listed++
	if !runner.AcceptsWork() {
		return
	}
	z.accepting++
	slots := runner.SlotCount()
	z.slots += slots
	if contention != nil {
		if value, known := contention(runner, now); known {
			z.contention += value * float64(slots)
			z.contentionSlots += float64(slots)
		}
	}
	if !reported {
		return
	}
	z.reported++
	counts := runner.RequestCounts(now)
	z.running += counts.Running
	z.batch += counts.Batch
	if free := slots - int(counts.Running-counts.Batch); free > 0 {
		z.free = append(z.free, freeRunner{id: runner.ID, slots: free, empty: max(0, slots-int(counts.Running))})
	}
}

// unreported reports whether the zone has runners that accept work, and no other node reports
// its load at any of them to this node: they would appear idle.
func (z *zoneSums) unreported() bool { return z.accepting > 0 && z.reported == 0 }

// reportsContention reports whether a runner of the zone reports contention.
func (z *zoneSums) reportsContention() bool { return z.contentionSlots > 0 }

// filling reports whether online requests use at least namingUtilization of the slots.
func (z *zoneSums) filling() bool {
	return (z.running-z.batch)*z.scale() >= namingUtilization*float64(z.slots)
}

// scale returns the factor from the requests at reported runners to those at all runners.
func (z *zoneSums) scale() float64 {
	if z.reported == 0 {
		return 0
	}
	return float64(z.accepting) / float64(z.reported)
}

// row encodes the sums. withFree adds the runners with the most empty slots, then those
// with the most slots that preemption can free: an edge in another zone does not know the
// nodes that have to preempt, and these learn of its request later.
func (z *zoneSums) row(service string, arrivals float64, withFree bool) *wirev1.ServiceZoneLoad {
	row := &wirev1.ServiceZoneLoad{
		Service: service, Zone: z.zone, Runners: uint32(z.accepting), Slots: uint32(z.slots),
		Running: uint32(math.Round(z.running * z.scale())), Batch: uint32(math.Round(z.batch * z.scale())),
		Leaving: uint32(z.listed - z.accepting), ArrivalsPerSecond: arrivals,
	}
	if z.reportsContention() {
		row.ContentionPercent = uint32(max(1, math.Round(percent*z.contention/z.contentionSlots)))
	}
	if !withFree {
		return row
	}
	slices.SortFunc(z.free, func(a, b freeRunner) int {
		return cmp.Or(cmp.Compare(b.empty, a.empty), cmp.Compare(b.slots, a.slots), cmp.Compare(a.id, b.id))
	})
	for _, free := range z.free[:min(maxFreeRunners, len(z.free))] {
		row.Free = append(row.Free, &wirev1.FreeRunner{Runner: free.id, FreeSlots: uint32(free.slots)})
	}
	return row
}
