package runnerset

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// InFlight is a request that this node has sent to a runner.
type InFlight struct {
	set    *Set
	runner *Runner
	batch  bool
	sent   time.Time
	// unread is the number of its prompt tokens that the runner has yet to process; 0
	// once the first event has arrived.
	unread int
	// expected is the time to the first event that was expected when it was sent.
	expected time.Duration
	// load is the load of the runner when it was sent, this request's tokens included;
	// queued is set if no slot was free.
	load   enginemodel.EngineLoad
	queued bool
	// ahead is the number of requests that had to end first, as a share of the slots.
	ahead float64
	// firstEvent is when the first event arrived; zero before.
	firstEvent time.Time
	once       sync.Once
}

// Begin counts a request that is about to be sent. The caller must call End.
func (s *Set) Begin(runner *Runner, prompt Prompt, batch bool, now time.Time) *InFlight {
	runner.mutex.Lock()
	unread := runner.prefixes.uncached(prompt)
	estimate := runner.estimate(now)
	f := &InFlight{
		set: s, runner: runner, unread: unread, sent: now, batch: batch,
		expected: expectedFirstEvent(runner.model, estimate, runner.slots(), unread),
		load:     enginemodel.EngineLoad{Tokens: estimate.unread + float64(unread), Running: estimate.running},
		queued:   estimate.running+1 > runner.slots(),
	}
	_, f.ahead = slotsToFree(estimate, runner.slots())
	runner.own.Running++
	runner.own.Unread += unread
	if runner.waiting == nil {
		runner.waiting = map[*InFlight]bool{}
	}
	runner.waiting[f] = true
	if batch {
		runner.own.Batch++
	}
	runner.prefixes.touch(prompt.SharedParts, now)
	runner.mutex.Unlock()
	s.notifyOwnLoad(runner, prompt.SharedParts)
	return f
}

// RecordEvent records the arrival of an event, which may be the first or a later one.
func (f *InFlight) RecordEvent(now time.Time) { f.runner.lastEvent.Store(int64(now.Sub(processStart))) }

// RecordFirstEvent records the arrival of the first event, or of the response if it is
// not a stream.
func (f *InFlight) RecordFirstEvent(now time.Time) {
	f.RecordEvent(now)
	took := now.Sub(f.sent)
	switch {
	case !f.queued:
		f.runner.model.ObserveFirstEvent(f.load, took)
	case f.ahead > 0:
		f.runner.model.ObserveWait(f.ahead, took-f.runner.model.ExpectedFirstEvent(f.load))
	}
	f.runner.mutex.Lock()
	f.firstEvent = now
	if f.sent.After(f.runner.newestStarted) {
		f.runner.newestStarted = f.sent
	}
	f.clearUnread()
	f.runner.ejection.end()
	f.runner.updateSlowness(float64(took) / float64(f.expected))
	f.runner.mutex.Unlock()
	f.set.notifyOwnLoad(f.runner, nil)
}

// RecordDelay records that the request has waited until now without a first event.
func (f *InFlight) RecordDelay(now time.Time) {
	f.runner.mutex.Lock()
	defer f.runner.mutex.Unlock()
	if sample := float64(now.Sub(f.sent)) / float64(f.expected); sample > f.runner.slowness {
		f.runner.updateSlowness(sample)
	}
}

// End removes the request from the counts; only the first call has an effect. A request
// that ends without a first event although it is long overdue counts as a failure of the
// runner.
func (f *InFlight) End() {
	f.once.Do(func() {
		now := time.Now()
		f.runner.mutex.Lock()
		if f.runner.waiting[f] && f.stalled() && firstEventFailed(now.Sub(f.sent), f.expected) {
			f.runner.ejection.fail(now)
		}
		if !f.firstEvent.IsZero() && !f.batch { // the wait for a slot is not part of the hold time
			f.runner.model.ObserveHold(now.Sub(f.firstEvent) + f.runner.model.ExpectedFirstEvent(f.load))
		}
		f.clearUnread()
		f.runner.own.Running--
		if f.batch {
			f.runner.own.Batch--
		}
		f.runner.mutex.Unlock()
		f.set.notifyOwnLoad(f.runner, nil)
	})
}

// clearUnread removes the request's prompt tokens from the unprocessed ones. The caller
// holds the runner's mutex.
func (f *InFlight) clearUnread() {
	f.runner.own.Unread -= f.unread
	f.unread = 0
	delete(f.runner.waiting, f)
}

// stalled reports whether the delay of the first event is the runner's fault. The caller
// holds the runner's mutex.
func (f *InFlight) stalled() bool {
	return stalled(f.sent, f.runner.lastEventTime(), f.runner.newestStarted)
}
