package runnerset

import (
	"sync"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// InFlight is a request that this node has sent to a runner.
type InFlight struct {
	set    *Set
	runner *Runner
	batch  bool
	sent   time.Time
	// unread is the number of prompt tokens of the request that the runner has yet to
	// process; 0 once the first event has arrived or the request has ended.
	unread int
	// tokens is the memory that the request needs; see Set.memoryTokens.
	tokens int
	// events is the number of events that have arrived.
	events atomic.Int64
	// expected is the time to the first event that was expected when the request was
	// sent, without regard to the runner's slowness.
	expected firstEventTime
	// contention is the one that was assumed when the request was sent.
	contention contentionEstimate
	// load is the estimated load of the runner when the request was sent.
	load enginemodel.EngineLoad
	// queued is set if the requests at the runner, including batch items, were estimated
	// to occupy all slots.
	queued bool
	// ahead is the number of other requests that had to end first, divided by the number
	// of slots; see slotsToFree.
	ahead float64
	// firstEvent is when the first event arrived; zero before.
	firstEvent time.Time
	once       sync.Once
}

// Begin counts a request that is about to be sent, and records that its prompt will be in
// the runner's prefix cache. The caller must call End.
func (s *Set) Begin(runner *Runner, prompt Prompt, batch bool, now time.Time) *InFlight {
	return s.begin(runner, prompt, batch, nil, now)
}

// BeginChosen does the same as Begin for an online request and its choice. The times that
// are learnt from the request refer to the load that led to the choice.
func (s *Set) BeginChosen(choice *Choice, prompt Prompt, now time.Time) *InFlight {
	return s.begin(choice.Runner, prompt, false, choice.namedLoad, now)
}

// begin implements Begin. known is the load of the runner; nil if it is to be estimated.
func (s *Set) begin(runner *Runner, prompt Prompt, batch bool, known *load, now time.Time) *InFlight {
	runner.mutex.Lock()
	unread := runner.prefixes.uncached(prompt)
	estimate := runner.estimate(now)
	if known != nil {
		estimate = *known
	}
	f := &InFlight{
		set: s, runner: runner, unread: unread, sent: now, batch: batch,
		expected: expectedFirstEvent(runner.model, estimate, runner.slots(), unread),
		load:     enginemodel.EngineLoad{Tokens: estimate.unread + float64(unread), Running: estimate.running},
		queued:   estimate.running+1 > runner.slots(), contention: runner.contention.estimate(now),
		tokens: s.memoryTokens(runner.Service, prompt, batch),
	}
	_, f.ahead = slotsToFree(estimate, runner.slots())
	runner.own.Running++
	runner.own.Unread += unread
	runner.ownTokens += f.tokens
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
func (f *InFlight) RecordEvent(now time.Time) {
	f.runner.lastEvent.Store(int64(now.Sub(processStart)))
	f.events.Add(1)
}

// RecordFirstEvent records the arrival of the first event, or of the response if it is
// not a stream. It adds a sample to the runner's slowness and ends the runner's ejection.
// It also adds a sample to the latency model: the time to the first event if a slot was
// free, or the wait if other requests had to end first.
func (f *InFlight) RecordFirstEvent(now time.Time) {
	f.RecordEvent(now)
	f.runner.mutex.Lock()
	f.observeFirstEvent(now)
	f.firstEvent = now
	if f.sent.After(f.runner.newestStarted) {
		f.runner.newestStarted = f.sent
	}
	f.clearUnread()
	f.runner.ejection.end()
	f.runner.mutex.Unlock()
	f.set.notifyOwnLoad(f.runner, nil)
}

// observeFirstEvent adds samples to the latency model and to the runner's slowness when
// the first event has arrived. The model gets the times at a contention of 1, and the
// slowness excludes contention. Otherwise contention would count twice, once as learnt
// and once as reported. The caller holds the runner's mutex.
func (f *InFlight) observeFirstEvent(now time.Time) {
	applied := contentionDuring(f.contention, f.runner.contention.estimate(now))
	usual := time.Duration(float64(now.Sub(f.sent)) / applied)
	switch {
	case !f.queued:
		f.runner.model.ObserveFirstEvent(f.load, usual)
	case f.ahead > 0:
		f.runner.model.ObserveWait(f.ahead, usual-f.runner.model.ExpectedFirstEvent(f.load))
	}
	f.runner.updateSlowness(f.slownessSample(now))
}

// slownessSample returns the time since the request was sent, divided by the time that was
// expected to its first event, at the contention that applied. The caller holds the
// runner's mutex.
func (f *InFlight) slownessSample(now time.Time) float64 {
	applied := contentionDuring(f.contention, f.runner.contention.estimate(now))
	return float64(now.Sub(f.sent)) / float64(f.expected.at(applied))
}

// RecordDelay records that the request has waited until now without a first event. The
// wait becomes a sample of the runner's slowness if it is longer than the slowness
// suggests.
func (f *InFlight) RecordDelay(now time.Time) {
	f.runner.mutex.Lock()
	defer f.runner.mutex.Unlock()
	if sample := f.slownessSample(now); sample > f.runner.slowness {
		f.runner.updateSlowness(sample)
	}
}

// End removes the request from the counts; only the first call has an effect. If the
// request is stalled, and its first event has not arrived within failedFactor times the
// expected time, End records a failure of the runner. After a first event, the duration
// of an online request becomes a sample of the hold time.
func (f *InFlight) End() {
	f.once.Do(func() {
		now := time.Now()
		f.runner.mutex.Lock()
		if f.runner.waiting[f] && f.stalled() && firstEventFailed(now.Sub(f.sent), f.expectedWhenSent()) {
			f.runner.ejection.fail(now)
		}
		if !f.firstEvent.IsZero() && !f.batch { // the wait for a slot is not part of the hold time
			held := float64(now.Sub(f.firstEvent)) / f.runner.contention.longRun(now)
			f.runner.model.ObserveHold(time.Duration(held) + f.runner.model.ExpectedFirstEvent(f.load))
		}
		f.clearUnread()
		f.set.outputs.observe(outputKind{f.runner.Service, f.batch}, f.events.Load())
		f.runner.ownTokens -= f.tokens
		f.runner.own.Running--
		if f.batch {
			f.runner.own.Batch--
		}
		f.runner.mutex.Unlock()
		f.set.notifyOwnLoad(f.runner, nil)
	})
}

// clearUnread subtracts the request's prompt tokens from the runner's unprocessed tokens,
// and removes the request from the waiting ones. The caller holds the runner's mutex.
func (f *InFlight) clearUnread() {
	f.runner.own.Unread -= f.unread
	f.unread = 0
	delete(f.runner.waiting, f)
}

// expectedWhenSent returns the expected time to the first event, at the contention that
// was assumed when the request was sent.
func (f *InFlight) expectedWhenSent() time.Duration { return f.expected.at(f.contention.value) }

// stalled calls the function stalled for this request. The caller holds the runner's
// mutex.
func (f *InFlight) stalled() bool {
	return stalled(f.sent, f.runner.lastEventTime(), f.runner.newestStarted)
}
