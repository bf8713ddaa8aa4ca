package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A trial sends one held request to a runner, to see whether the request or the held part of its
// prompt still crashes runners. The trials of a confirmed hold are rare, and the node that sends one
// has to claim it in the store first, so that there is one in the whole fleet; without the store
// there is none.

const (
	// maxTrialClaimDelay bounds the random delay after which a node claims a trial that is due.
	// All nodes know the time of the trial; most of them learn of the claim of another node
	// within the delay.
	maxTrialClaimDelay = 30 * time.Second
	// trialGrantTTL is how long a claimed trial waits for a request.
	trialGrantTTL = time.Minute
	// maxTrialStates is the maximum number of holds whose trials this node tracks. At the
	// maximum all are forgotten.
	maxTrialStates = 2 * maxHolds
)

// trialDelays are the times from a confirmed hold of a part, or from its last trial, to the next
// trial. A part that has failed all trials stays held until its hold expires.
var trialDelays = []time.Duration{5 * time.Minute, time.Hour, 12 * time.Hour}

// nextTrial returns when the next trial of a part is due, in Unix milliseconds, given the number
// of its trials so far; 0 if there is none.
func nextTrial(trials int, now time.Time) int64 {
	if trials < 0 || trials >= len(trialDelays) {
		return 0
	}
	return now.Add(trialDelays[trials]).UnixMilli()
}

// trialDue reports whether a trial of the hold is due.
func (h *Hold) trialDue(now time.Time) bool { return h.TrialAt > 0 && h.TrialAt <= now.UnixMilli() }

// claimed returns the hold after a trial was claimed.
func (h *Hold) claimed(now time.Time) Hold {
	next := *h
	next.Decided = max(now.UnixMilli(), h.Decided+1)
	next.Trials++
	next.TrialAt = nextTrial(next.Trials, now)
	if h.Provisional {
		next.TrialAt = now.Add(provisionalTrialInterval).UnixMilli()
	}
	return next
}

// trialState is the state of the trials of one hold on this node.
type trialState struct {
	// decided identifies the hold to which the state belongs.
	decided int64
	// claimAt is when this node claims the trial.
	claimAt time.Time
	// grantedAt is when this node claimed the trial for a request; zero if it has not, or if a
	// request has taken it.
	grantedAt time.Time
	// claimedHere is set if this node claimed the last trial of a provisional hold, and returned
	// if it did not send it.
	claimedHere, returned bool
}

// isTrialOf reports whether the work is the trial of a held request or part.
func (w *Work) isTrialOf(held Fingerprint) bool { return slices.Contains(w.trials, held) }

// endTrials ends the trials of which the work is one, so that it is not sent again, and returns
// what was tried.
func (w *Work) endTrials() []Fingerprint {
	tried := w.trials
	w.trials = nil
	return tried
}

// mayTry reports whether work may be the trial of a hold now.
func (c *Coordinator) mayTry(work *Work, hold *Hold, now time.Time) bool {
	if work.isTrialOf(hold.Fingerprint) {
		return true
	}
	if !work.MayTry {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if hold.Provisional {
		return c.mayClaimProvisional(hold, work.Service, now)
	}
	return c.takeGrant(work, hold, now)
}

// setTrialState sets the state of a hold's trials. The caller holds the mutex.
func (c *Coordinator) setTrialState(held Fingerprint, state *trialState) {
	if len(c.trials) >= maxTrialStates {
		clear(c.trials)
	}
	c.trials[held] = state
}

// takeGrant reports whether work takes the trial of a confirmed hold, which this node has claimed.
// It claims a trial that is due in the background, so that a later request takes it. The caller
// holds the mutex.
func (c *Coordinator) takeGrant(work *Work, hold *Hold, now time.Time) bool {
	state := c.trials[hold.Fingerprint]
	if state != nil && !state.grantedAt.IsZero() {
		taken := now.Sub(state.grantedAt) < trialGrantTTL
		state.grantedAt = time.Time{}
		if taken {
			work.trials = append(work.trials, hold.Fingerprint)
		}
		return taken
	}
	if !hold.trialDue(now) || c.store == nil {
		return false
	}
	if state == nil || state.decided != hold.Decided {
		c.setTrialState(hold.Fingerprint, &trialState{decided: hold.Decided, claimAt: now.Add(rand.N(maxTrialClaimDelay))})
		return false
	}
	if !now.Before(state.claimAt) {
		state.claimAt = now.Add(maxTrialClaimDelay) // the next claim, if this one fails
		c.wantedTrials = append(c.wantedTrials, *hold)
		c.trialClaims.Trigger()
	}
	return false
}

// claimTrials claims the trials that are wanted, and grants them to this node's next requests.
func (c *Coordinator) claimTrials(ctx context.Context) {
	c.mutex.Lock()
	wanted := c.wantedTrials
	c.wantedTrials = nil
	c.mutex.Unlock()
	for _, hold := range wanted {
		now := time.Now()
		next := hold.claimed(now)
		claimed := c.store.Claim(ctx, hold, next)
		klog.InfoS("trial of a held part of prompts", "part", hold.Part, "fingerprint", hold.Fingerprint, "trial", next.Trials, "claimed", claimed)
		if !claimed || !c.table.ApplyHold(next) {
			continue
		}
		c.mutex.Lock()
		c.setTrialState(hold.Fingerprint, &trialState{decided: next.Decided, grantedAt: now})
		c.mutex.Unlock()
		c.addToNotice(func(notice *wirev1.QuarantineNotice) { notice.Holds = append(notice.Holds, Encode(next)) })
	}
}
