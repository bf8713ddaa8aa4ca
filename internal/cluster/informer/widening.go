package informer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// widenInterval is how often a node checks whether it needs more or fewer runners.
const widenInterval = time.Second

// widen enlarges this node's subset of the runners while choices of a runner find no free
// slot, and reduces it again later, until the context ends. If a relay picks the subset,
// widen has the selection requested again.
func (i *Informer) widen(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, widenInterval)
		fullChoices := i.Runners.DrainFullChoices()
		factor, changed := i.runners.widen(fullChoices > 0, time.Now())
		if !changed {
			continue
		}
		klog.InfoS("widening factor of the runner subset changed", "factor", factor, "choicesWithoutRoom", fullChoices)
		if follower := i.follower.Load(); follower != nil {
			follower.RenewInterest()
		}
	}
}

// widen records whether a choice since the last call found no free slot; this has no effect
// if the node knows all runners. It returns the factor by which this node's subset is
// enlarged, and whether the factor has changed. If the cache holds the entries of all
// runners, it applies the changed subset at once.
func (c *runnerCache) widen(slotsMissing bool, now time.Time) (factor int, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed = c.widening.Update(slotsMissing && c.isPartial(), now)
	if changed && c.selector != nil {
		if change, subsetChanged := c.selector.SetInterest(c.widenedInterestLocked()); subsetChanged && !c.selectedByRelay && c.revision > 0 {
			c.applyChange(change, c.revision, "widened", now)
		}
	}
	return c.widening.Factor(), changed
}

// isPartial reports whether the set contains fewer runners than the rounded total of all
// runners. The mutex is held.
func (c *runnerCache) isPartial() bool {
	listed, _ := c.set.Count()
	return listed < c.set.Total()
}

// widenedInterest returns this node's interest, enlarged by the current factor.
func (c *runnerCache) widenedInterest() subset.Interest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.widenedInterestLocked()
}

// widenedInterestLocked is widenedInterest with the mutex held.
func (c *runnerCache) widenedInterestLocked() subset.Interest {
	return c.interest.Scaled(c.widening.Factor())
}

// wideningFactor returns the factor by which this node's subset is enlarged.
func (c *runnerCache) wideningFactor() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.widening.Factor()
}
