package zoneload

import (
	"math"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const (
	// planHorizon is the time over which a plan looks ahead. It covers the age of a digest
	// and the time until the next digests show the effect of the plan.
	planHorizon = 500 * time.Millisecond
	// minArrivals is the smallest number of arrivals a second of a zone that sends
	// requests to others.
	minArrivals = 0.5
	// levelSteps and inflowSteps are the numbers of halvings in the searches for the
	// common expected time and for the inflow of one zone.
	levelSteps  = 40
	inflowSteps = 20
)

// noRunnersTime is the expected time to the first event in a zone without runners.
const noRunnersTime = time.Minute

// ZoneLoad is the load of one service in one zone.
type ZoneLoad struct {
	Zone string
	// Runners is the number of runners that accept work, and Slots the sum of their slots.
	Runners, Slots float64
	// Running is the number of requests at these runners, and Batch how many of them are
	// batch items.
	Running, Batch float64
	// Arrivals is the number of online requests a second that the edges of the zone send,
	// to runners in any zone.
	Arrivals float64
	// Contention is how long work takes at the runners, relative to the usual time; 0 if
	// unknown.
	Contention float64
}

// Share is the probability with which an edge sends a request to another zone.
type Share struct {
	Zone        string
	Probability float64
}

// Model predicts the latency of a service.
type Model struct {
	runnerset.Latency
	// Hold is the expected time for which a request occupies a slot.
	Hold time.Duration
}

// Plan returns the probabilities with which an edge in the zone own sends a request to each
// other zone, without those that are 0. The load that a zone cannot serve within the
// horizon goes to the zones with room, so that their expected times to the first event
// rise to a common level (water-filling). A zone whose expected time exceeds this level by
// less than the cost of crossing keeps its requests. The load that all zones together send
// to a zone does not exceed its room, because each zone computes the same flows.
func Plan(zones []ZoneLoad, model Model, own string) []Share {
	forecasts := forecastAll(zones, model)
	self := -1
	for i := range forecasts {
		if forecasts[i].load.Zone == own {
			self = i
		}
	}
	if self < 0 || forecasts[self].excess == 0 || forecasts[self].load.Arrivals < minArrivals {
		return nil
	}
	level := findLevel(forecasts)
	sent := level.outflow(&forecasts[self])
	if sent <= 0 {
		return nil
	}
	var shares []Share
	for i, inflow := range level.inflows {
		if probability := sent / level.total * inflow / forecasts[self].load.Arrivals; probability > 0 {
			shares = append(shares, Share{Zone: forecasts[i].load.Zone, Probability: probability})
		}
	}
	return shares
}

// forecast is the state of a zone at the end of the horizon if no requests cross.
type forecast struct {
	load  ZoneLoad
	model Model
	// slowdown is the contention relative to the mean of all zones.
	slowdown float64
	// online is the number of online requests that run or wait.
	online float64
	// excess is the load that exceeds the slots, and room the load that the zone can take
	// from others, in online requests a second. One of them is 0.
	excess, room float64
	// expected is the expected time to the first event, in seconds.
	expected float64
}

// forecastAll computes the forecasts of all zones. Zones with invalid figures are left out.
func forecastAll(zones []ZoneLoad, model Model) []forecast {
	mean := meanContention(zones)
	model.Hold = max(model.Hold, minHold)
	forecasts := make([]forecast, 0, len(zones))
	for _, load := range zones {
		if !load.valid() {
			continue
		}
		f := forecast{load: load, model: model, slowdown: 1}
		if load.Contention > 0 && mean > 0 {
			f.slowdown = load.Contention / mean
		}
		f.compute()
		forecasts = append(forecasts, f)
	}
	return forecasts
}

// valid reports whether all figures are finite and not negative.
func (z *ZoneLoad) valid() bool {
	for _, figure := range []float64{z.Runners, z.Slots, z.Running, z.Batch, z.Arrivals, z.Contention} {
		if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
			return false
		}
	}
	return true
}

// online returns the number of online requests that run or wait.
func (z *ZoneLoad) online() float64 { return max(0, z.Running-z.Batch) }

// meanContention returns the mean contention of the zones that report it, weighted by their
// slots; 0 if there is none.
func meanContention(zones []ZoneLoad) float64 {
	sum, slots := 0.0, 0.0
	for i := range zones {
		if zone := &zones[i]; zone.valid() && zone.Contention > 0 {
			sum += zone.Contention * zone.Slots
			slots += zone.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return sum / slots
}

// compute sets online, excess, room and expected. Requests end at the rate at which full
// slots become free. A decrease of the load is not counted as room before it has happened.
func (f *forecast) compute() {
	horizon := planHorizon.Seconds()
	now := f.load.online()
	ending := min(now, f.load.Slots) / (f.model.Hold.Seconds() * f.slowdown)
	f.online = max(0, now+(f.load.Arrivals-ending)*horizon)
	f.excess = min(max(0, f.online-f.load.Slots)/horizon, f.load.Arrivals)
	f.room = max(0, f.load.Slots-max(now, f.online)) / horizon
	f.expected = f.expectedTime(0)
}

// expectedTime returns the expected time to the first event, in seconds, with an inflow of
// requests a second from other zones. It does not decrease with the inflow. The requests of
// a zone are assumed to be spread evenly over its runners, and items give way to them.
func (f *forecast) expectedTime(inflow float64) float64 {
	slots := f.load.Slots
	if slots == 0 || f.load.Runners == 0 {
		return noRunnersTime.Seconds()
	}
	online := f.online + inflow*planHorizon.Seconds()
	running := min(online+f.load.Batch, slots)
	expected := f.model.Idle.Seconds() + f.model.PerRequest.Seconds()*running/f.load.Runners
	if online > slots {
		expected += f.model.SlotWait.Seconds() * (online - slots) / slots
	}
	expected *= f.slowdown
	if online+f.load.Batch > slots && f.load.Batch > 0 {
		expected += f.model.Preemption.Seconds()
	}
	return expected
}

// inflowUpTo returns the largest inflow, within the room of the zone, with which the
// expected time does not exceed a level.
func (f *forecast) inflowUpTo(level float64) float64 {
	if f.room == 0 || f.expected > level {
		return 0
	}
	if f.expectedTime(f.room) <= level {
		return f.room
	}
	low, high := 0.0, f.room
	for range inflowSteps {
		if middle := (low + high) / 2; f.expectedTime(middle) <= level {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
