package informer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// widenInterval is how often a node looks whether it wants more runners, or fewer.
const widenInterval = time.Second

// widen asks for more runners while choices find no free slot among those known, until
// the context ends.
func (i *Informer) widen(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, widenInterval)
		fullChoices := i.Runners.TakeFullChoices()
		factor, changed := i.runners.widen(fullChoices > 0, time.Now())
		if !changed {
			continue
		}
		klog.InfoS("draw of runners changed", "factor", factor, "choicesWithoutRoom", fullChoices)
		if follower := i.follower.Load(); follower != nil {
			follower.RenewInterest()
		}
	}
}

// widen takes whether a choice found no free slot since the last call. It returns by
// how much this node's subset is larger than usual, and whether that has changed.
func (c *runnerCache) widen(slotsMissing bool, now time.Time) (factor int, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed = c.widening.Note(slotsMissing && c.knowsPart(), now)
	if changed && c.selector != nil {
		if change, other := c.selector.Want(c.wantedNow()); other && !c.selected && c.revision > 0 {
			c.handOn(change, c.revision, "widened", now)
		}
	}
	return c.widening.Factor(), changed
}

// knowsPart reports whether this node knows a part of the runners only.
func (c *runnerCache) knowsPart() bool {
	listed, _ := c.set.Count()
	return listed < c.set.Total()
}

// wanted returns the runners that this node wants to know now.
func (c *runnerCache) wanted() subset.Interest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wantedNow()
}

// wantedNow is wanted with the mutex held.
func (c *runnerCache) wantedNow() subset.Interest {
	return c.interest.Widened(c.widening.Factor())
}

func (c *runnerCache) factor() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.widening.Factor()
}
