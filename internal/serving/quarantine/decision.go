package quarantine

import "time"

const (
	// EndingsToHold is under how many runners' ends a request is held. One end does
	// not say which of the requests at a runner caused it, two mislead when requests
	// that broke together are sent on together.
	EndingsToHold = 3
	// endingLife is how long an ending counts: the same request may come again
	// after minutes.
	endingLife = 10 * time.Minute
	// blameTime is how long after its first event a run may still be what ended its
	// runner: such a request crashes a runner as it begins to run.
	blameTime = time.Second
	// firstHold is how long a request is held at first, longestHold at most; each
	// hold of the same request is holdGrowth times as long as the one before.
	firstHold   = 5 * time.Minute
	longestHold = 24 * time.Hour
	holdGrowth  = 12
)

// IsSuspectRun decides whether the end of a runner may be laid to a run there: only to one
// that had hardly begun. FirstEvent is when the run's first event came, zero if none
// has.
func IsSuspectRun(firstEvent, now time.Time) bool {
	return firstEvent.IsZero() || now.Sub(firstEvent) < blameTime
}

// mustHold decides whether a request is held: enough different runners have ended
// under it within endingLife, and no hold is in force. With fewer it could be a
// bystander at the same runners; more would cost another runner.
func mustHold(endings int, last Hold, now time.Time) bool {
	return endings >= EndingsToHold && last.Until <= now.UnixMilli()
}

// mayBeCause decides whether the ends that another request is held for count against
// one as well, which has some endings already. They do if one more end would hold it:
// it was at about as many of the runners that ended, and which of the two caused them
// can't be known. All others were bystanders.
func mayBeCause(endings int) bool { return endings >= EndingsToHold-1 }

// nextHold decides for how long a request is held, after the last hold of it; the
// zero Hold if there was none. It is held longer each time, since each hold that ends
// costs a runner again. The first is short for the sake of a request that was held by
// mistake. It is decided after the last one, also if the time of day went back.
func nextHold(fingerprint Fingerprint, last Hold, now time.Time) Hold {
	length := firstHold
	if last.Length > 0 {
		length = min(holdGrowth*time.Duration(last.Length)*time.Millisecond, longestHold)
	}
	decided := max(now.UnixMilli(), last.Decided+1)
	return Hold{Fingerprint: fingerprint, Decided: decided, Until: now.Add(length).UnixMilli(), Length: length.Milliseconds()}
}

// release decides how a hold ends early: by a hold until 0, decided after it, which a
// peer that has not received it can't undo. False if there is none to end.
func release(last Hold, now time.Time) (Hold, bool) {
	if last.Until == 0 {
		return Hold{}, false
	}
	return Hold{Fingerprint: last.Fingerprint, Decided: max(now.UnixMilli(), last.Decided+1)}, true
}

// avoidedRunners decides which runners a suspect is not sent to: those at which
// another suspect of this node runs. Two at one runner would both be counted for its
// end. Attempts are those of this node's suspects, how many of each by runner.
func avoidedRunners(attempts map[string]map[Fingerprint]int, fingerprint Fingerprint) map[string]bool {
	avoided := map[string]bool{}
	for runner, suspects := range attempts {
		if len(suspects) > 1 || suspects[fingerprint] == 0 {
			avoided[runner] = true
		}
	}
	return avoided
}
