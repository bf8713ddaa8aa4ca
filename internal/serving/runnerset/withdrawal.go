package runnerset

import (
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
)

const (
	// withdrawnShare is the share of the drain time for which a withdrawn runner may be used,
	// counted from the earliest time at which it can have been withdrawn. The rest of the drain
	// time is for the request to reach the runner.
	withdrawnShare = 0.85
	// removedGrace is the longest time for which a removed runner may be used: it may have ended. A
	// live runner can drop out of the list while the store is down, until its next heartbeat.
	removedGrace = 800 * time.Millisecond
)

// withdrawal is the change by which a runner that accepted work is listed as leaving or is removed
// from the list. The runner goes on serving for the drain time, so that requests which can go
// nowhere else may still be sent to it for a part of that time.
type withdrawal struct {
	// leaving is set if the runner is listed as leaving, and not set if it was removed.
	leaving bool
	// contentsAge is the time since the list was last known to be current; the runner accepted
	// work then.
	contentsAge time.Duration
	// drain is how long a withdrawn runner goes on serving; 0 if unknown.
	drain time.Duration
}

// usableTime returns for how long from now the runner may still be used.
func (w withdrawal) usableTime() time.Duration {
	if w.drain == 0 {
		return removedGrace
	}
	limit := time.Duration(withdrawnShare * float64(w.drain))
	usable := max(0, limit-w.contentsAge)
	switch {
	case w.leaving:
		return usable
	case usable == 0: // the contact with the store was interrupted
		return min(removedGrace, limit)
	default:
		return min(removedGrace, usable)
	}
}

// lastUse is the time until which a withdrawn runner may be used. The zero value allows no use.
type lastUse struct {
	until atomic.Int64 // by boottime.Now, in nanoseconds; 0 if the runner was not withdrawn
}

// allowFor allows the use for a time from now.
func (u *lastUse) allowFor(usable time.Duration) {
	u.until.Store(boottime.Now().Add(usable).UnixNano())
}

// end ends the use at once.
func (u *lastUse) end() { u.until.Store(0) }

// remaining returns for how long the runner may still be used; 0 or less if it may not.
func (u *lastUse) remaining() time.Duration {
	until := u.until.Load()
	if until == 0 {
		return 0
	}
	return time.Duration(until - boottime.Now().UnixNano())
}

// allowed reports whether the runner may still be used.
func (u *lastUse) allowed() bool { return u.remaining() > 0 }
