package zoneload

import (
	"math"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

const (
	// arrivalSmoothing is the time constant of the moving average of arrivals.
	arrivalSmoothing = 500 * time.Millisecond
	// arrivalParts is the number of parts of 1 to which arrivals a second are rounded.
	arrivalParts = 10
)

// arrivals estimates the online requests a second of each service that the edges of each
// zone start. Its zero value is ready to use.
type arrivals struct {
	rates map[subset.ServiceZone]*rate
}

// rate is a moving average.
type rate struct {
	perSecond float64
	// pending is the number of arrivals since the last update.
	pending int
}

// add counts started requests.
func (a *arrivals) add(key subset.ServiceZone, started int) {
	if started == 0 {
		return
	}
	if a.rates == nil {
		a.rates = map[subset.ServiceZone]*rate{}
	}
	if a.rates[key] == nil {
		a.rates[key] = &rate{}
	}
	a.rates[key].pending += started
}

// update moves the averages towards the arrivals since the last update. It drops averages
// that are rounded to 0.
func (a *arrivals) update(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/arrivalSmoothing.Seconds())
	for key, current := range a.rates {
		current.perSecond += weight * (float64(current.pending)/elapsed.Seconds() - current.perSecond)
		current.pending = 0
		if math.Round(arrivalParts*current.perSecond) == 0 {
			delete(a.rates, key)
		}
	}
}

// perSecond returns the rounded average.
func (a *arrivals) perSecond(key subset.ServiceZone) float64 {
	if current := a.rates[key]; current != nil {
		return math.Round(arrivalParts*current.perSecond) / arrivalParts
	}
	return 0
}
