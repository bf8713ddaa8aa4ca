package queue

import "time"

const (
	// assumedPerEvent (seconds) and assumedPerToken (events) are assumed before
	// anything is learnt.
	assumedPerEvent = 0.025
	assumedPerToken = 1.0 / 6
	// assumedOutput is assumed of items without an estimate, in tokens.
	assumedOutput = 1200
	paceWeight    = 0.05
	// minEvents and maxEvents bound the estimate of a single item, as multiples of the
	// average: it is often far off.
	minEvents = 0.4
	maxEvents = 2.0
)

// pace is what is learnt of the time that items take, in moving averages.
type pace struct {
	// perEvent is the seconds that an event takes, perToken how many events a token of
	// the estimate makes; both 0 before anything is learnt.
	perEvent float64
	perToken float64
	// events is how many an item has on average; 0 before anything is learnt.
	events float64
}

// observe learns from an item whose run had so many events in a time.
func (p *pace) observe(entry *ItemEntry, events int64, took time.Duration) {
	if events <= 0 {
		return
	}
	if p.perEvent == 0 {
		p.perEvent, p.perToken = assumedPerEvent, assumedPerToken
	}
	p.perEvent += paceWeight * (took.Seconds()/float64(events) - p.perEvent)
	if entry.Output.LastEventID > 0 {
		return // the run was a part of the item
	}
	if p.events == 0 {
		p.events = float64(events)
	}
	p.events += paceWeight * (float64(events) - p.events)
	if entry.Expected > 0 {
		p.perToken += paceWeight * (float64(events)/float64(entry.Expected) - p.perToken)
	}
}

// remaining estimates how long the rest of an item takes.
func (p *pace) remaining(entry *ItemEntry) time.Duration {
	perEvent, perToken := p.perEvent, p.perToken
	if perEvent == 0 {
		perEvent, perToken = assumedPerEvent, assumedPerToken
	}
	output := float64(entry.Expected)
	if output == 0 {
		output = assumedOutput
	}
	expected := output * perToken
	if p.events > 0 {
		expected = min(max(expected, minEvents*p.events), maxEvents*p.events)
	}
	left := max(expected-float64(entry.Output.LastEventID), 1)
	return time.Duration(left * perEvent * float64(time.Second))
}
