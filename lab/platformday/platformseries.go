package platformday

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// changeConfig writes several versions of the configuration in quick succession. The
// versions increase, also across concurrent disruptions.
func (s *soak) changeConfig(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(4) {
		s.configMutex.Lock()
		s.configVersion += 1 + random.IntN(3)
		s.report("configuration %d", s.configVersion)
		s.store.PutConfig(standin.DayConfig(host, s.configVersion))
		s.configMutex.Unlock()
		sleepUpTo(ctx, random, 300*time.Millisecond)
	}
}

// injectStoreFault injects a random fault of the store for up to two seconds.
func (s *soak) injectStoreFault(ctx context.Context, random *rand.Rand) {
	faults := []standin.StoreFault{{Silent: true}, {Busy: true}, {Reset: true}, {Slow: 300 * time.Millisecond}, {LoseWrites: true}, {Throttle: true}}
	fault := faults[random.IntN(len(faults))]
	s.report("the store: %+v", fault)
	s.store.SetFault(fault)
	sleepUpTo(ctx, random, 2*time.Second)
	s.store.SetFault(standin.StoreFault{})
}

// silenceStore makes about half of the open connections to the store silent, once or twice.
func (s *soak) silenceStore(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(2) {
		count := s.store.SilenceConnections(func([]byte) bool { return random.IntN(2) == 0 })
		s.report("%d connections to the store go silent", count)
		sleepUpTo(ctx, random, 2*time.Second)
	}
}

// minSilenceInterval is the minimum time between two disruptions that silence connections to
// runners. It is the timeout of a request, so that a request which may be retried loses at most
// one attempt to them.
const minSilenceInterval = standin.RequestTimeout

// claimSilence reports whether connections to runners may be silenced now.
func (s *soak) claimSilence() bool {
	s.claimMutex.Lock()
	defer s.claimMutex.Unlock()
	if time.Since(s.silencedAt) < minSilenceInterval {
		return false
	}
	s.silencedAt = time.Now()
	return true
}

// silenceRunners makes the open connections to one to three runners silent.
func (s *soak) silenceRunners(ctx context.Context, random *rand.Rand) {
	if !s.claimSilence() {
		return
	}
	for range 1 + random.IntN(3) {
		s.mutex.Lock()
		runner := s.runners[random.IntN(len(s.runners))]
		s.mutex.Unlock()
		s.report("%d connections to runner %s go silent", runner.SilenceConnections(), runner.ID)
		sleepUpTo(ctx, random, silenceRunnersPause)
	}
}

// silenceRunnersPause is the longest pause between two runners that silenceRunners chooses.
const silenceRunnersPause = 300 * time.Millisecond

// silenceAll makes all open connections to the store and to the runners silent, and then
// changes the configuration.
func (s *soak) silenceAll(ctx context.Context, random *rand.Rand) {
	if !s.claimSilence() {
		return
	}
	s.mutex.Lock()
	runners := slices.Clone(s.runners)
	s.mutex.Unlock()
	count := s.store.SilenceConnections(func([]byte) bool { return true })
	for _, runner := range runners {
		count += runner.SilenceConnections()
	}
	s.report("all %d connections to the store and to runners go silent", count)
	s.changeConfig(ctx, random)
}

// crashRunners crashes one or two runners; each is replaced after a delay.
func (s *soak) crashRunners(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(2) {
		if runner := s.claimRunner(random); runner != nil {
			runner.Crash()
			runner.OnCrash(runner)
		}
		sleepUpTo(ctx, random, 500*time.Millisecond)
	}
}

// lostResponseShare is the fraction of responses that a faulty runner loses.
const lostResponseShare = 0.3

// maxFaultLength is the longest time for which runners have a fault.
const maxFaultLength = 3 * time.Second

// loseResponses makes two runners lose responses for a time.
func (s *soak) loseResponses(ctx context.Context, random *rand.Rand) {
	s.injectRunnerFaults(ctx, random, "loses answers", standin.RunnerFault{LoseResponse: lostResponseShare})
}

// injectRunnerFaults gives a random runner and the newest one a fault for up to maxFaultLength.
func (s *soak) injectRunnerFaults(ctx context.Context, random *rand.Rand, description string, fault standin.RunnerFault) {
	s.mutex.Lock()
	chosen := []*standin.Runner{s.runners[random.IntN(len(s.runners))], s.runners[len(s.runners)-1]}
	s.mutex.Unlock()
	for _, runner := range chosen {
		s.report("runner %s %s", runner.ID, description)
		runner.SetFault(fault)
	}
	sleepUpTo(ctx, random, maxFaultLength)
	for _, runner := range chosen {
		runner.SetFault(standin.RunnerFault{})
	}
}

const (
	// lateRefusalShare is the fraction of soaks in which runners send refusals that name no request.
	lateRefusalShare = 0.5
	// lateRefusals is the fraction of such refusals before the responses of one runner.
	lateRefusals = 0.3
)

// sendLateRefusals makes one runner after the other send refusals that name no request, until the
// context ends.
func (s *soak) sendLateRefusals(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		runner := s.runners[random.IntN(len(s.runners))]
		s.mutex.Unlock()
		s.report("runner %s sends refusals that name no request", runner.ID)
		runner.SetFault(standin.RunnerFault{LateRefusal: lateRefusals})
		sleepUpTo(ctx, random, maxFaultLength)
		runner.SetFault(standin.RunnerFault{})
	}
}

// drainTime is how long a draining runner serves before it stops.
const drainTime = 3 * time.Second

// drainRunners drains, stops and replaces a runner.
func (s *soak) drainRunners(ctx context.Context, random *rand.Rand) {
	runner := s.claimRunner(random)
	if runner == nil {
		return
	}
	s.report("runner %s leaves", runner.ID)
	runner.Drain()
	time.Sleep(drainTime)
	runner.Stop()
	runner.OnCrash(runner)
}

// claimRunner claims a random runner that was not claimed before, or returns nil.
func (s *soak) claimRunner(random *rand.Rand) *standin.Runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range len(s.runners) {
		if runner := s.runners[random.IntN(len(s.runners))]; runner.ClaimEnd() {
			return runner
		}
	}
	return nil
}
