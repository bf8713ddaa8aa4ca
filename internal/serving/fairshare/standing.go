package fairshare

import (
	"math"
	"time"
)

// State compares a tenant's requests of a service to the tenant's share of the slots.
type State int

const (
	// Under: the share has room for one more request. The tenant is not refused for fullness
	// while another tenant is over its share.
	Under State = iota
	// At: the requests are near the share.
	At
	// Over: the requests would occupy clearly more than the share.
	Over
)

const (
	// controlPeriod is the time within which the requests of a tenant over its share are
	// reduced to the share. It is longer than the age of a digest with its reports, so that
	// stale figures do not make the division oscillate.
	controlPeriod = time.Second
	// chanceArrivals is the number of arrivals in a window that do not count as a burst.
	chanceArrivals = 2
	// toleranceOver is the part of the tolerance that applies to a tenant that was over its
	// share before, so that chance does not end a restriction that is needed.
	toleranceOver = 0.5
	// usedPartBefore is the part of its share that a tenant has to use to become over its
	// share, and usedPartOver the part that it has to use to remain so.
	usedPartBefore = 0.5
	usedPartOver   = 0.125
	// controlledPart limits controlPeriod to a part of the duration of requests, so that the
	// requests in flight always count, and errors of the estimated duration matter less.
	controlledPart = 0.8
	// maxFactor limits Standing.Factor for shares near 0.
	maxFactor = 100
)

// Load is the load of one tenant's requests of a service.
type Load struct {
	// InFlight is the number of requests between their arrival and their end.
	InFlight float64
	// ArrivalsPerSecond includes refused requests.
	ArrivalsPerSecond float64
}

// wanted returns the number of slots that the arriving requests would occupy if none were
// refused. duration is the mean time that a request occupies a slot.
func (l Load) wanted(duration time.Duration) float64 { return l.ArrivalsPerSecond * duration.Seconds() }

// Standing is how a tenant's requests compare to its share.
type Standing struct {
	State State
	// Share is the tenant's share, and Use the number of its requests in flight, in slots.
	Share, Use float64
	// Factor is the number of slots that the arriving requests would occupy, divided by
	// the share.
	Factor float64
	// Within is the fraction of the arriving requests that the share has room for; 1 unless
	// the tenant is over its share.
	Within float64
}

// standingOf returns the standing of a tenant with the given share.
//
// A tenant is over its share if its arriving requests would occupy more than the share and
// the variation of their number, and they occupy a part of it already. The arrivals count
// because requests in flight are reduced by the refusals themselves, and because a tenant
// whose burst has ended must not be restricted until its last request ends. The requests in
// flight count because a tenant with short requests occupies fewer slots than its arrivals
// suggest. wasOver is true if the tenant was over its share before.
func standingOf(load Load, share float64, duration time.Duration, wasOver bool) Standing {
	standing := Standing{Share: share, Use: load.InFlight, Within: 1, State: At}
	wanted := load.wanted(duration)
	standing.Factor = min(maxFactor, wanted/max(share, 1.0/maxFactor))
	excess, usedPart := tolerance(share, duration), usedPartBefore
	if wasOver {
		excess, usedPart = toleranceOver*excess, usedPartOver
	}
	exceeds := wanted > share+excess
	switch {
	case exceeds && load.InFlight > usedPart*share:
		standing.State = Over
		standing.Within = withinShare(load, share, duration)
	case !exceeds && load.InFlight+1 <= max(1, share):
		standing.State = Under
	}
	return standing
}

// tolerance returns by how many slots arrivals may exceed a share by chance: by chanceArrivals
// in the window, since small tenants have few, and by the standard deviation of their number.
func tolerance(share float64, duration time.Duration) float64 {
	oneArrival := duration.Seconds() / arrivalWindow.Seconds()
	return chanceArrivals*oneArrival + math.Sqrt(share*oneArrival)
}

// withinShare returns the fraction of arriving requests with which the requests in flight
// reach the share within a period: those that end in the period leave room for others.
func withinShare(load Load, share float64, duration time.Duration) float64 {
	period := min(controlPeriod.Seconds(), controlledPart*duration.Seconds())
	remaining := load.InFlight * (1 - period/duration.Seconds())
	return min(1, max(0, share-remaining)/(load.ArrivalsPerSecond*period))
}
