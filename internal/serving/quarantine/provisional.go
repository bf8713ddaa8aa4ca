package quarantine

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A hold is provisional while its evidence does not amount to endingsToConfirm: a sound request
// may have been at runners that ended for other reasons. Its trials follow each other until one of
// them shows that the request or the part is sound, or their endings confirm the hold. They need
// neither the store nor an owner: a node that sends a trial tells the others, which then wait for
// the next one. While other runners end as well, sound work meets five endings by chance: no hold is
// confirmed then, and the trial that may confirm one waits until these endings are over. Two nodes that
// claim the same trial within the delay of a notice both send one.

const (
	// provisionalTrialInterval is the time from a trial of a provisional hold to the next one, if
	// nothing is known of the outcome before.
	provisionalTrialInterval = 700 * time.Millisecond
	// claimSpreadPerNode is the part of the time after which nodes claim a trial of a
	// provisional hold, for each node of the fleet. Few nodes claim it within the delay of a
	// notice.
	claimSpreadPerNode = 20 * time.Millisecond
	// minProvisionalWait is the shortest time after which a request with a provisional hold
	// should be sent again.
	minProvisionalWait = 150 * time.Millisecond
	// calmWait is the shortest time after which a request should be sent again whose hold waits
	// until other runners have stopped ending.
	calmWait = 500 * time.Millisecond
)

// wait returns how long a held request should wait before it is sent again.
func (h *Hold) wait(now time.Time) time.Duration {
	if h.AwaitsCalm {
		return calmWait
	}
	if h.Provisional {
		return max(minProvisionalWait, time.Duration(h.TrialAt-now.UnixMilli())*time.Millisecond)
	}
	return time.Duration(h.Until-now.UnixMilli()) * time.Millisecond
}

// mayClaimProvisional reports whether this node may claim a trial of a provisional hold now: the
// last one that it claimed was not sent, or the next one is due. The caller holds the mutex.
func (c *Coordinator) mayClaimProvisional(hold *Hold, service string, now time.Time) bool {
	if hold.AwaitsCalm && !c.background.calm(service, nil, now) {
		return false
	}
	state := c.trials[hold.Fingerprint]
	if state == nil || state.decided != hold.Decided {
		state = c.newTrialState(hold)
	}
	return state.returned || hold.trialDue(now) && !now.Before(state.claimAt)
}

// newTrialState sets the state of the trials of a provisional hold. The caller holds the mutex.
func (c *Coordinator) newTrialState(hold *Hold) *trialState {
	spread := claimSpreadPerNode * time.Duration(1+len(c.directory.Records()))
	state := &trialState{decided: hold.Decided, claimAt: time.UnixMilli(hold.TrialAt).Add(rand.N(spread))}
	c.setTrialState(hold.Fingerprint, state)
	return state
}

// ReturnTrials implements Guard.
func (c *Coordinator) ReturnTrials(work *Work) {
	for _, tried := range work.endTrials() {
		hold := c.table.holdOf(tried)
		c.mutex.Lock()
		if state := c.trials[tried]; state != nil && state.decided == hold.Decided {
			state.returned = state.claimedHere
		}
		c.mutex.Unlock()
	}
}

// claimProvisional makes work the trial of a provisional hold and tells other nodes. It returns
// false if the hold has changed meanwhile.
func (c *Coordinator) claimProvisional(work *Work, hold *Hold, now time.Time) bool {
	next := hold.claimed(now)
	c.mutex.Lock()
	unchanged := c.table.holdOf(hold.Fingerprint).Decided == hold.Decided
	claimed := unchanged && c.table.ApplyHold(next)
	if claimed {
		c.newTrialState(&next).claimedHere = true
	}
	c.mutex.Unlock()
	if !claimed {
		return false
	}
	work.trials = append(work.trials, hold.Fingerprint)
	klog.InfoS("trial of a provisional hold", "id", work.ID, "fingerprint", hold.Fingerprint, "part", hold.Part, "trial", next.Trials, "evidence", hold.Evidence)
	c.addToNotice(func(notice *wirev1.QuarantineNotice) { notice.Holds = append(notice.Holds, Encode(next)) })
	return true
}

// recordFailedTrials adds the ending of a trial's runner to the evidence of the provisional holds
// that were tried, and confirms those whose evidence suffices.
func (c *Coordinator) recordFailedTrials(tried []Fingerprint, ending *observedEnding) {
	for _, held := range tried {
		hold := c.table.holdOf(held)
		if !hold.Provisional {
			continue
		}
		weight := c.table.Weight(held, ending)
		if hold.Part != "" {
			weight = c.parts.Weight(held, ending)
		}
		next := hold.withFailedTrial(weight, c.disturbed(&hold, ending), ending.at)
		klog.InfoS("trial of a provisional hold ended its runner", "fingerprint", held, "part", hold.Part, "runner", ending.runner,
			"ranMs", ending.ran.Milliseconds(), "weight", weight, "evidence", next.Evidence, "confirmed", !next.Provisional, "awaitsCalm", next.AwaitsCalm)
		if !c.table.ApplyHold(next) {
			continue
		}
		c.distributeHold(next, "a trial ended its runner")
		if next.Part != "" {
			c.explainEndings(&next, ending.at)
		}
	}
}

// disturbed reports whether other runners have ended around the endings under a held request or
// part, of which the given one is the last.
func (c *Coordinator) disturbed(hold *Hold, ending *observedEnding) bool {
	endings := c.table.endingsUnder(hold.Fingerprint)
	if hold.Part != "" {
		endings = c.parts.endingsUnder(hold.Fingerprint)
	}
	if hold.AwaitsCalm { // the trial came after the disturbance of the earlier endings
		return !c.background.calm(ending.service, endings, ending.at)
	}
	return c.background.disturbed(ending.service, endings, ending.at)
}

// confirmedBy returns the confirmed hold in place of an active provisional one, if the endings under
// the held request or part suffice and no other runners ended around them (disturbed), and whether
// they do. The endings include those of runs that were under way when the hold was decided.
func (h *Hold) confirmedBy(evidence float64, disturbed bool, now time.Time) (Hold, bool) {
	if !h.Provisional || h.AwaitsCalm || h.Until <= now.UnixMilli() || disturbed || !amountsTo(evidence, endingsToConfirm) {
		return Hold{}, false
	}
	next := *h
	next.Decided, next.Evidence = max(now.UnixMilli(), h.Decided+1), evidence
	next.confirm(disturbed, now)
	next.Until = now.Add(time.Duration(next.Length) * time.Millisecond).UnixMilli()
	return next, true
}

// withFailedTrial returns the hold after the runner of a trial has ended. The next trial is due at
// once, or when no other runners end (disturbed); a confirmed hold lasts its whole length from then on.
func (h *Hold) withFailedTrial(weight float64, disturbed bool, now time.Time) Hold {
	next := *h
	next.Decided = max(now.UnixMilli(), h.Decided+1)
	next.Evidence += weight
	next.confirm(disturbed, now)
	if !next.Provisional {
		next.Until = now.Add(time.Duration(next.Length) * time.Millisecond).UnixMilli()
	}
	return next
}
