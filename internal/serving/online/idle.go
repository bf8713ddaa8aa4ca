package online

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const (
	// idleCheckInterval is the interval at which an attempt is checked whose runner sends nothing
	// more of a stream.
	idleCheckInterval = 100 * time.Millisecond
	// minWithdrawnIdleTime is the idle timeout of a stream that could go on only at its own
	// runner, on another connection, once only lastUseMargin remains for that.
	minWithdrawnIdleTime = 300 * time.Millisecond
	lastUseMargin        = 500 * time.Millisecond
)

// idleWatch ends an attempt whose runner sends nothing for too long. It is safe for concurrent
// use.
type idleWatch struct {
	timeout time.Duration
	// isLastChance reports whether the attempt, once its stream has begun, should end now because
	// a later retry could not be sent any more.
	isLastChance func() bool
	// end ends the attempt; it is called at most once.
	end func()

	mutex sync.Mutex
	timer *time.Timer
	// silentSince is when the runner was last heard; zero while the watch is paused or stopped.
	silentSince time.Time
	// silentBefore is how long the runner had been silent when the watch was paused.
	silentBefore time.Duration
	// streamBegun is set once an event was received, and ended once the attempt was ended.
	streamBegun, ended bool
}

// startIdleWatch returns a watch that has just heard from the runner.
func startIdleWatch(timeout time.Duration, isLastChance func() bool, end func()) *idleWatch {
	w := &idleWatch{timeout: timeout, isLastChance: isLastChance, end: end, silentSince: time.Now()}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// check ends the attempt if its runner has been silent for too long.
func (w *idleWatch) check() {
	if w.expired() {
		w.end()
	}
}

// expired reports whether the attempt is to be ended, and stops the watch in that case.
func (w *idleWatch) expired() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.silentSince.IsZero() {
		return false
	}
	silent := time.Since(w.silentSince)
	if silent >= w.timeout || w.streamBegun && silent >= minWithdrawnIdleTime && w.isLastChance() {
		w.silentSince, w.ended = time.Time{}, true
		return true
	}
	w.timer.Reset(w.nextCheck(silent))
	return false
}

// nextCheck returns the time until the next check of a runner that has been silent for a time.
// The mutex is held.
func (w *idleWatch) nextCheck(silent time.Duration) time.Duration {
	if !w.streamBegun {
		return w.timeout - silent
	}
	return min(idleCheckInterval, w.timeout-silent)
}

// pause stops the watch for a time that is not the runner's.
func (w *idleWatch) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.silentSince.IsZero() {
		w.silentBefore = time.Since(w.silentSince)
	}
	w.silentSince = time.Time{}
	w.timer.Stop()
}

// resume continues the watch after a pause. Progress states that the runner was heard: otherwise its
// silence goes on.
func (w *idleWatch) resume(progress bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	if progress {
		w.silentBefore, w.streamBegun = 0, true
	}
	w.silentSince = time.Now().Add(-w.silentBefore)
	w.timer.Reset(max(0, w.nextCheck(w.silentBefore)))
}

// stop stops the watch.
func (w *idleWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.silentSince = time.Time{}
	w.timer.Stop()
}

// isLastChance reports whether a stream at a runner can go on nowhere but there, and can be sent
// there only for a little longer.
func isLastChance(runners *runnerset.Set, runner *runnerset.Runner) bool {
	if runner.AcceptsWork() || !runner.RecentlyWithdrawn() || runner.UsableFor() > lastUseMargin {
		return false
	}
	return !runners.VersionAcceptsWork(runner.Service, runner.SoftwareVersion())
}
