package runnerset

import (
	"sync"
	"time"
)

// Neighbourhood names the runners of one service in one zone.
type Neighbourhood struct{ Service, Zone string }

// crowd is how full the runners of a neighbourhood were by what they themselves
// told in answers to this node. It stands in for the use of those runners that
// no other node tells this one of: what is not known is not empty.
type crowd struct {
	mutex sync.Mutex
	// share of a runner's slots, queue included, that others have.
	share float64
	at    time.Time
}

const (
	// crowdLife is how long a share counts; it fades linearly. The mean over many
	// runners is steadier than what one runner told, which counts toldLife.
	crowdLife = 2 * toldLife
	// crowdWeight is the weight of a new sample.
	crowdWeight = 0.3
	// crowdMost bounds a sample: a runner may queue several times its slots.
	crowdMost = 1.5
)

// observe takes what a runner told.
func (c *crowd) observe(share float64, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	faded := c.faded(now)
	c.share = faded + crowdWeight*(min(share, crowdMost)-faded)
	if c.at.IsZero() {
		c.share = min(share, crowdMost)
	}
	c.at = now
}

// expected returns the share that others are expected to have.
func (c *crowd) expected(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faded(now)
}

func (c *crowd) faded(now time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.share * max(0, 1-float64(now.Sub(c.at))/float64(crowdLife))
}
