package queue

import "time"

const (
	// defaultSecondsPerEvent and defaultEventsPerToken apply until the first run is
	// observed, and are the initial values of the moving averages.
	defaultSecondsPerEvent = 0.025
	defaultEventsPerToken  = 1.0 / 6
	// defaultOutputTokens is the expected output of items whose submitter gave no
	// estimate.
	defaultOutputTokens = 1200
	// smoothingFactor is the weight of a new observation in the moving averages.
	smoothingFactor = 0.05
	// minEventsRatio and maxEventsRatio bound an item's estimated number of events, as
	// multiples of the average, because submitters' estimates are often inaccurate.
	minEventsRatio = 0.4
	maxEventsRatio = 2.0
)

// durationEstimator estimates run durations from moving averages of earlier runs.
type durationEstimator struct {
	// secondsPerEvent is the average time per event, and eventsPerToken the average
	// number of events per output token that the submitters expected. Both are 0 until
	// the first run is observed.
	secondsPerEvent float64
	eventsPerToken  float64
	// averageEvents is the average number of events of an item. It is 0 until the first
	// run is observed that produced an item's whole output.
	averageEvents float64
}

// observe updates the averages with the run that completed an item's output. Events is the
// number of events of this run; a run without events changes nothing.
func (p *durationEstimator) observe(entry *ItemEntry, events int64, duration time.Duration) {
	if events <= 0 {
		return
	}
	if p.secondsPerEvent == 0 {
		p.secondsPerEvent, p.eventsPerToken = defaultSecondsPerEvent, defaultEventsPerToken
	}
	p.secondsPerEvent += smoothingFactor * (duration.Seconds()/float64(events) - p.secondsPerEvent)
	if entry.Output.LastEventID > 0 {
		return // the run resumed earlier output, so its events are not the item's total
	}
	if p.averageEvents == 0 {
		p.averageEvents = float64(events)
	}
	p.averageEvents += smoothingFactor * (float64(events) - p.averageEvents)
	if entry.ExpectedTokens > 0 {
		p.eventsPerToken += smoothingFactor * (float64(events)/float64(entry.ExpectedTokens) - p.eventsPerToken)
	}
}

// remaining estimates the time to produce the rest of an item's output, at least the time
// of one event.
func (p *durationEstimator) remaining(entry *ItemEntry) time.Duration {
	perEvent, perToken := p.secondsPerEvent, p.eventsPerToken
	if perEvent == 0 {
		perEvent, perToken = defaultSecondsPerEvent, defaultEventsPerToken
	}
	output := float64(entry.ExpectedTokens)
	if output == 0 {
		output = defaultOutputTokens
	}
	expected := output * perToken
	if p.averageEvents > 0 {
		expected = min(max(expected, minEventsRatio*p.averageEvents), maxEventsRatio*p.averageEvents)
	}
	left := max(expected-float64(entry.Output.LastEventID), 1)
	return time.Duration(left * perEvent * float64(time.Second))
}
