package zoneload

// waterLevel is the result of the water-filling: the flows between zones at the common
// level of the expected time to the first event.
type waterLevel struct {
	// low and high are levels directly below and above the common level, in seconds.
	low, high float64
	// inflows are the requests a second that each zone receives, in the order of the
	// forecasts, and total is their sum.
	inflows []float64
	total   float64
	// marginal is the part of the excess that a zone sends if its excess is wanted at low
	// but not at high.
	marginal float64
}

// findLevel finds the level at which the load that zones send is the load that other zones
// accept. With a rising level, zones accept more, and fewer zones gain by sending.
func findLevel(forecasts []forecast) waterLevel {
	// No zone accepts requests at the first low level.
	level := waterLevel{low: -noRunnersTime.Seconds(), inflows: make([]float64, len(forecasts))}
	for i := range forecasts {
		level.high = max(level.high, forecasts[i].expected)
	}
	for range levelSteps {
		middle := (level.low + level.high) / 2
		if accepted(forecasts, middle, nil) < offered(forecasts, middle) {
			level.low = middle
		} else {
			level.high = middle
		}
	}
	atLow, atHigh := make([]float64, len(forecasts)), make([]float64, len(forecasts))
	acceptedLow, acceptedHigh := accepted(forecasts, level.low, atLow), accepted(forecasts, level.high, atHigh)
	offeredLow, offeredHigh := offered(forecasts, level.low), offered(forecasts, level.high)
	level.total = min(offeredLow, acceptedHigh)
	if offeredLow > offeredHigh {
		level.marginal = max(0, level.total-offeredHigh) / (offeredLow - offeredHigh)
	}
	part := 0.0 // of the difference between atLow and atHigh
	if acceptedHigh > acceptedLow {
		part = (level.total - acceptedLow) / (acceptedHigh - acceptedLow)
	}
	for i := range level.inflows {
		level.inflows[i] = atLow[i] + part*(atHigh[i]-atLow[i])
	}
	return level
}

// accepted returns the sum of the inflows of all zones up to a level, in requests a second,
// and stores the inflow of each zone in inflows unless it is nil.
func accepted(forecasts []forecast, level float64, inflows []float64) float64 {
	sum := 0.0
	for i := range forecasts {
		inflow := forecasts[i].inflowUpTo(level)
		if inflows != nil {
			inflows[i] = inflow
		}
		sum += inflow
	}
	return sum
}

// offered returns the sum of the excess of the zones that gain by sending it to zones with
// an expected time at the level, in requests a second.
func offered(forecasts []forecast, level float64) float64 {
	sum := 0.0
	for i := range forecasts {
		if forecasts[i].gains(level) {
			sum += forecasts[i].excess
		}
	}
	return sum
}

// gains reports whether a request of the zone is served sooner in a zone at the level, by
// more than the cost of crossing.
func (f *forecast) gains(level float64) bool {
	return f.expected-f.model.Crossing.Seconds() > level
}

// outflow returns the part of a zone's excess that it sends to others, in requests a
// second.
func (l *waterLevel) outflow(f *forecast) float64 {
	switch {
	case l.total == 0:
		return 0
	case f.gains(l.high):
		return f.excess
	case f.gains(l.low):
		return l.marginal * f.excess
	}
	return 0
}
