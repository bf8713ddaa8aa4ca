package zoneload

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const (
	// maxStep is the largest change of a probability with one digest, so that a single
	// wrong digest has a small effect.
	maxStep = 0.25
	// fadeStart is the age of a digest from which its probabilities fall, linearly to 0 at
	// digestLifetime. It is the time in which a sender sends two changed digests.
	fadeStart = 400 * time.Millisecond
)

// crossing is the state of one service on an edge: the probabilities with which requests
// are sent to other zones. It is not changed after it is stored.
type crossing struct {
	targets []target
	// at is the time of receipt of the digest from which the targets were computed.
	at time.Time
	// own is the load of the edge's zone in this digest.
	own ZoneLoad
}

// target is another zone, the probability with which requests are sent there, and its
// runners with free slots.
type target struct {
	Share
	free []runnerset.FreeRunner
}

// fade returns the factor of the probabilities at an age of their digest.
func fade(age time.Duration) float64 {
	if age <= fadeStart {
		return 1
	}
	return max(0, float64(digestLifetime-age)/float64(digestLifetime-fadeStart))
}

// next returns the state after a digest, except for own. planned is the plan for the digest.
// Each probability moves towards its planned value by at most maxStep. The probability of a
// zone without a row in the digest is 0 at once. The sum of the probabilities is at most 1.
func (c *crossing) next(rows []serviceRow, planned []Share, now time.Time) *crossing {
	result := &crossing{at: now}
	sum := 0.0
	for i := range rows {
		row := &rows[i]
		probability := stepTowards(c.probability(row.load.Zone, now), probabilityIn(planned, row.load.Zone))
		if probability == 0 {
			continue
		}
		result.targets = append(result.targets, target{Share: Share{Zone: row.load.Zone, Probability: probability}, free: row.free})
		sum += probability
	}
	for i := range result.targets {
		result.targets[i].Probability /= max(1, sum)
	}
	return result
}

// stepTowards returns the value after a step of at most maxStep.
func stepTowards(from, to float64) float64 {
	return min(max(to, from-maxStep), from+maxStep)
}

// probabilityIn returns the probability of a zone in a plan.
func probabilityIn(planned []Share, zone string) float64 {
	for _, share := range planned {
		if share.Zone == zone {
			return share.Probability
		}
	}
	return 0
}

// probability returns the probability of a zone at a time.
func (c *crossing) probability(zone string, now time.Time) float64 {
	if c == nil {
		return 0
	}
	for i := range c.targets {
		if c.targets[i].Zone == zone {
			return c.targets[i].Probability * fade(now.Sub(c.at))
		}
	}
	return 0
}

// total returns the probability at a time with which a request is sent to any other zone.
func (c *crossing) total(now time.Time) float64 {
	if c == nil {
		return 0
	}
	sum := 0.0
	for i := range c.targets {
		sum += c.targets[i].Probability
	}
	return sum * fade(now.Sub(c.at))
}

// draw returns the target for a random number from 0 to 1; nil if the request stays in the
// zone.
func (c *crossing) draw(random float64, now time.Time) *target {
	if c == nil {
		return nil
	}
	factor := fade(now.Sub(c.at))
	for i := range c.targets {
		if random -= c.targets[i].Probability * factor; random < 0 {
			return &c.targets[i]
		}
	}
	return nil
}
