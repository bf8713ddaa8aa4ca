package quarantine

import "time"

const (
	// EndingsToHold is the number of different runners that have to end while running
	// a request before it is held. Fewer endings are ambiguous: several requests run at
	// a runner, and requests that broke together may be retried at the same runner.
	EndingsToHold = 3
	// endingTTL is how long an ending counts. Callers may retry after minutes.
	endingTTL = 10 * time.Minute
	// suspectRunTime is how long after its first event a run may still be the cause
	// of its runner's end: a crashing request crashes the runner early in its run.
	suspectRunTime = time.Second
	// initialHoldDuration is the duration of the first hold of a request. Each further
	// hold is holdGrowthFactor times as long, up to maxHoldDuration.
	initialHoldDuration = 5 * time.Minute
	maxHoldDuration     = 24 * time.Hour
	holdGrowthFactor    = 12
)

// IsSuspectRun reports whether a run may have caused the end of its runner, which
// holds only for a run that has just begun. FirstEvent is the time of the run's first
// event; zero if there was none.
func IsSuspectRun(firstEvent, now time.Time) bool {
	return firstEvent.IsZero() || now.Sub(firstEvent) < suspectRunTime
}

// mustHold reports whether a request has to be held: enough different runners have
// ended while running it within endingTTL, and it has no active hold.
func mustHold(endings int, last Hold, now time.Time) bool {
	return endings >= EndingsToHold && last.Until <= now.UnixMilli()
}

// mayBeCause reports whether endings that are attributed to a held request count
// against another request as well, given the other's number of endings. They do if
// one more ending would hold it: it then ran at almost all of the same runners, and
// either request may be the cause. Requests with fewer endings are bystanders.
func mayBeCause(endings int) bool { return endings >= EndingsToHold-1 }

// nextHold returns the hold that follows the last one of a request; last is the zero
// Hold if there was none. Durations grow, since each expired hold may cost another
// runner; the first is short in case the request was held by mistake. Its decision
// time is later than the last hold's, even if the clock went back.
func nextHold(fingerprint Fingerprint, last Hold, now time.Time) Hold {
	length := initialHoldDuration
	if last.Length > 0 {
		length = min(holdGrowthFactor*time.Duration(last.Length)*time.Millisecond, maxHoldDuration)
	}
	decided := max(now.UnixMilli(), last.Decided+1)
	return Hold{Fingerprint: fingerprint, Decided: decided, Until: now.Add(length).UnixMilli(), Length: length.Milliseconds()}
}

// liftedHold returns the hold that ends the last one early: its Until is 0, and it is
// decided later, so that a peer that still has the last one cannot restore it. It
// returns false if there is no hold to end.
func liftedHold(last Hold, now time.Time) (Hold, bool) {
	if last.Until == 0 {
		return Hold{}, false
	}
	return Hold{Fingerprint: last.Fingerprint, Decided: max(now.UnixMilli(), last.Decided+1)}, true
}

// avoidedRunners returns the runners that a suspect is not sent to: those at which
// another suspect of this node runs, since an ending would count against both.
// Attempts counts the running attempts of this node's suspects, by runner.
func avoidedRunners(attempts map[string]map[Fingerprint]int, fingerprint Fingerprint) map[string]bool {
	avoided := map[string]bool{}
	for runner, suspects := range attempts {
		if len(suspects) > 1 || suspects[fingerprint] == 0 {
			avoided[runner] = true
		}
	}
	return avoided
}
