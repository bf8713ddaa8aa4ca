package nethttp

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// overloadInterval is the interval at which the share of admitted connections changes.
	overloadInterval = 100 * time.Millisecond
	// overloadDelay is the delay of this process from which on it is overloaded, if the delay
	// is sustained.
	overloadDelay = 40 * time.Millisecond
	// shareDecrease is the factor by which the share of admitted connections shrinks in each
	// interval of overload, and shareIncrease the amount by which it grows in any other.
	shareDecrease = 0.85
	shareIncrease = 0.03
	// usualRateWeight is the weight of an interval in the usual rate of new connections, which
	// changes over about half a minute.
	usualRateWeight = 1.0 / 300
	// usualRateFactor is the multiple of the usual rate that is always admitted. An overload
	// without more new connections than usual is not relieved by turning them away: other
	// nodes are as likely to be overloaded.
	usualRateFactor = 1.5
	// learnIntervals is the number of intervals after the start in which the usual rate is
	// learnt, and no connection is turned away: a process that has just started is short of
	// processor time, and all connections are new to it.
	learnIntervals = 100
	// minUsualRate is the lowest usual rate that is assumed, in connections per second.
	minUsualRate = 5.0
)

// OverloadGate decides which new connections are admitted while the process is overloaded
// because most new connections of many clients come to it. Clients whose connection is closed
// unread retry at another node, while a request that was read would wait for too long. The zero
// value admits all connections; it is safe for concurrent use.
type OverloadGate struct {
	arrived atomic.Int64  // new connections in this interval
	shed    atomic.Uint64 // the share of connections that are not admitted, in millionths

	// share is the share of admitted connections, and usualRate the usual number of new
	// connections per second. Only update uses them.
	share     float64
	usualRate float64
	intervals int // since the start
}

const millionths = 1e6

// Admit reports whether a new connection is admitted. It accepts a nil receiver, which admits
// all.
func (g *OverloadGate) Admit() bool {
	if g == nil {
		return true
	}
	g.arrived.Add(1)
	shed := g.shed.Load()
	return shed == 0 || rand.Uint64N(millionths) >= shed
}

// Shedding reports whether some new connections are not admitted.
func (g *OverloadGate) Shedding() bool { return g.shed.Load() > 0 }

// Run updates the gate until the context ends. Sustained returns by how much the process was
// delayed at least once in each recent interval.
func (g *OverloadGate) Run(ctx context.Context, sustained func() time.Duration) {
	g.share = 1
	ticker := time.NewTicker(overloadInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.update(float64(g.arrived.Swap(0))/now.Sub(last).Seconds(), sustained() >= overloadDelay)
		last = now
	}
}

// update changes the share of admitted connections after an interval with the given rate of new
// connections per second.
func (g *OverloadGate) update(rate float64, overloaded bool) {
	g.intervals++
	switch {
	case g.intervals <= learnIntervals:
		g.share = 1
	case overloaded:
		g.share *= shareDecrease
	default:
		g.share = min(1, g.share+shareIncrease)
	}
	if usual := usualRateFactor * g.usualRate; rate > 0 {
		g.share = max(g.share, min(1, usual/rate))
	}
	weight := max(usualRateWeight, 1/float64(g.intervals))
	g.usualRate = max(minUsualRate, g.usualRate+weight*(rate-g.usualRate))
	g.shed.Store(uint64((1 - g.share) * millionths))
}
