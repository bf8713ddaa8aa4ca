package runnerset

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// InFlight is one request of this node at a runner.
type InFlight struct {
	set    *Set
	runner *Runner
	batch  bool
	sent   time.Time
	// unread are its prompt tokens that the runner has to read; 0 once it has.
	unread int
	// expected is the time to its first event that was expected when it was sent.
	expected time.Duration
	// load is what the runner had then; queued is true if that filled its slots.
	load   enginemodel.EngineLoad
	queued bool
	// ahead is the share of the slots that had to come free for it first.
	ahead float64
	// firstEvent is when its first event came; zero before.
	firstEvent time.Time
	once       sync.Once
}

// Begin counts a request that is about to be sent. End must be called.
func (s *Set) Begin(runner *Runner, prompt Prompt, batch bool, now time.Time) *InFlight {
	runner.mutex.Lock()
	unread := runner.kept.missing(prompt)
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
	runner.kept.touch(prompt.SharedParts, now)
	runner.mutex.Unlock()
	s.notifyOwnLoad(runner, prompt.SharedParts)
	return f
}

// RecordEvent records that an event has come, the first or a later one.
func (f *InFlight) RecordEvent(now time.Time) { f.runner.lastEvent.Store(int64(now.Sub(processStart))) }

// RecordFirstEvent records that the first event, or the answer, has come.
func (f *InFlight) RecordFirstEvent(now time.Time) {
	f.RecordEvent(now)
	took := now.Sub(f.sent)
	switch {
	case !f.queued:
		f.runner.model.ObserveFirst(f.load, took)
	case f.ahead > 0:
		f.runner.model.ObserveWait(f.ahead, took-f.runner.model.First(f.load))
	}
	f.runner.mutex.Lock()
	f.firstEvent = now
	if f.sent.After(f.runner.newestAnswered) {
		f.runner.newestAnswered = f.sent
	}
	f.noteRead()
	f.runner.ejection.end()
	f.runner.noteSlowness(float64(took) / float64(f.expected))
	f.runner.mutex.Unlock()
	f.set.notifyOwnLoad(f.runner, nil)
}

// RecordDelay records that the request waited until now without a first event.
func (f *InFlight) RecordDelay(now time.Time) {
	f.runner.mutex.Lock()
	defer f.runner.mutex.Unlock()
	if sample := float64(now.Sub(f.sent)) / float64(f.expected); sample > f.runner.slowness {
		f.runner.noteSlowness(sample)
	}
}

// End ends the count, once. A request that ends without a first event though it is
// long overdue counts as a failure of the runner.
func (f *InFlight) End() {
	f.once.Do(func() {
		now := time.Now()
		f.runner.mutex.Lock()
		if f.runner.waiting[f] && f.passedOver() && firstEventFailed(now.Sub(f.sent), f.expected) {
			f.runner.ejection.fail(now)
		}
		if !f.firstEvent.IsZero() && !f.batch { // what it waited for a slot is no part of it
			f.runner.model.ObserveHold(now.Sub(f.firstEvent) + f.runner.model.First(f.load))
		}
		f.noteRead()
		f.runner.own.Running--
		if f.batch {
			f.runner.own.Batch--
		}
		f.runner.mutex.Unlock()
		f.set.notifyOwnLoad(f.runner, nil)
	})
}

// noteRead takes the request's tokens from those not read. The runner's mutex is held.
func (f *InFlight) noteRead() {
	f.runner.own.Unread -= f.unread
	f.unread = 0
	delete(f.runner.waiting, f)
}

// passedOver reports whether the request waits by the runner's fault. The runner's
// mutex is held.
func (f *InFlight) passedOver() bool {
	return passedOver(f.sent, f.runner.lastEventTime(), f.runner.newestAnswered)
}
