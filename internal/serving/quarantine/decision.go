package quarantine

import "time"

const (
	// EndingsToHold is the number of different starts of runners that have to end while
	// running a request before the request is held. Fewer endings do not identify the cause,
	// since a runner runs several requests, and requests that broke together may be
	// retried together. The hold is provisional: one run after the other may show that the
	// request is sound.
	EndingsToHold = 3
	// endingsToConfirm is the number of endings from which on a hold is not provisional.
	endingsToConfirm = 5
	// endingTTL is how long an ending counts. It covers retries by callers after some
	// minutes.
	endingTTL = 10 * time.Minute
	// suspectRunTime is how long after its first event a run is suspected if its runner
	// ends. A request that crashes runners does so early in its run.
	suspectRunTime = time.Second
	// initialHoldDuration is the duration of the first hold of a request. Each further
	// hold is holdGrowthFactor times as long, up to maxHoldDuration.
	initialHoldDuration = 5 * time.Minute
	maxHoldDuration     = 24 * time.Hour
	holdGrowthFactor    = 12
	// firstTrialDelay is the time from a provisional hold to its first trial. Runs that were under
	// way when the hold was decided show by then whether their runners end too.
	firstTrialDelay = 500 * time.Millisecond
)

// IsSuspectRun reports whether a broken run is suspected of having ended its runner:
// either it had no event yet, or its first event came less than suspectRunTime ago.
// FirstEvent is the time of the first event; zero if there was none.
func IsSuspectRun(firstEvent, now time.Time) bool {
	return firstEvent.IsZero() || now.Sub(firstEvent) < suspectRunTime
}

// mustHold reports whether a request has to be held, given the evidence of the runners
// that ended while running it within endingTTL, and its previous hold: the evidence
// amounts to EndingsToHold and the previous hold is not active. Previous is the zero Hold
// if there was none.
func mustHold(evidence float64, previous Hold, now time.Time) bool {
	return amountsTo(evidence, EndingsToHold) && previous.Until <= now.UnixMilli()
}

// mayBeCause reports whether a request may have caused the endings that are attributed
// to another, held request, so that they count against it as well. The argument is the
// request's number of endings. A request that would be held after one more ending ran
// on almost all of the same runners, so either request may be the cause. Requests with
// fewer endings are bystanders.
func mayBeCause(endings int) bool { return endings >= EndingsToHold-1 }

// nextHold returns a new hold of a request on some evidence. Previous is the request's
// previous hold; the zero Hold if there was none. Disturbed states that other runners end as well
// (background.disturbed). The duration grows from one hold to the next and
// starts again at initialHoldDuration after a lifted hold, whose Length is 0. The new
// hold supersedes the previous one even if the clock was set back.
func nextHold(fingerprint Fingerprint, evidence float64, previous Hold, disturbed bool, now time.Time) Hold {
	length := initialHoldDuration
	if previous.Length > 0 {
		length = min(holdGrowthFactor*time.Duration(previous.Length)*time.Millisecond, maxHoldDuration)
	}
	hold := Hold{
		Fingerprint: fingerprint, Decided: max(now.UnixMilli(), previous.Decided+1), Until: now.Add(length).UnixMilli(),
		Length: length.Milliseconds(), Evidence: evidence,
	}
	hold.confirm(disturbed, now)
	hold.delayFirstTrial(now)
	return hold
}

// delayFirstTrial puts off the first trial of a provisional hold.
func (h *Hold) delayFirstTrial(now time.Time) {
	if h.Provisional {
		h.TrialAt = now.Add(firstTrialDelay).UnixMilli()
	}
}

// confirm confirms a hold if its evidence suffices and no other runners end, and makes it
// provisional otherwise, with a trial that is due at once. While other runners end (disturbed), the
// trial that may confirm the hold waits until they have stopped.
func (h *Hold) confirm(disturbed bool, now time.Time) {
	h.Provisional, h.AwaitsCalm, h.TrialAt = true, false, now.UnixMilli()
	if disturbed {
		h.AwaitsCalm = amountsTo(h.Evidence, endingsToConfirm-1)
		h.Evidence = min(h.Evidence, endingsToConfirm-1)
		return
	}
	if !amountsTo(h.Evidence, endingsToConfirm) {
		return
	}
	h.Provisional, h.TrialAt = false, 0
	if h.Part != "" {
		h.Trials, h.TrialAt = 0, nextTrial(0, now)
	}
}

// hasFailedTrial reports whether the hold of a request is active and a trial of it was sent, after
// which the hold went on.
func (h Hold) hasFailedTrial(now time.Time) bool {
	return h.Trials > 0 && h.Until > now.UnixMilli()
}

// liftedHold returns the lifted hold that supersedes the current hold of a request, so
// that a peer that still has the current hold cannot restore it. It returns false if
// there is no current hold or if it is lifted already. An expired hold can be lifted.
func liftedHold(current Hold, now time.Time) (Hold, bool) {
	if current.Until == 0 {
		return Hold{}, false
	}
	return Hold{Fingerprint: current.Fingerprint, Decided: max(now.UnixMilli(), current.Decided+1)}, true
}

// avoidedRunners returns the runners that a suspected request should avoid: those that
// run another suspected request of this node, since an ending would count against both.
// Attempts counts the node's running attempts of suspected requests, by runner and
// fingerprint.
func avoidedRunners(attempts map[string]map[Fingerprint]int, fingerprint Fingerprint) map[string]bool {
	avoided := map[string]bool{}
	for runner, suspects := range attempts {
		if len(suspects) > 1 || suspects[fingerprint] == 0 {
			avoided[runner] = true
		}
	}
	return avoided
}
