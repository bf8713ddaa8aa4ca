package platformday

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// maxKillPause is the longest pause between two disruptions of killEdgesRepeatedly.
	maxKillPause = 700 * time.Millisecond
	// maxEdgeOutage is the longest time for which killed or suspended edges are away.
	maxEdgeOutage = 1500 * time.Millisecond
	// earlyRefusals and lateRefusalsBesides are the fractions of requests that a runner refuses
	// before it reads their bodies, and before whose responses it sends a refusal without a name.
	earlyRefusals       = 0.4
	lateRefusalsBesides = 0.2
)

// killEdgesRepeatedly kills and suspends edges, several at once, while runners refuse requests, end,
// and lose connections, until the context ends.
func (s *soak) killEdgesRepeatedly(ctx context.Context, random *rand.Rand) {
	disruptions := []func(ctx context.Context, random *rand.Rand){
		s.killEdges, s.killEdges, s.suspendEdges, s.resetRunnerConnections, s.refuseEarly, s.refuseEarly, s.crashRunners,
	}
	for ctx.Err() == nil {
		s.runDisruption(ctx, random, disruptions[random.IntN(len(disruptions))])
		sleepUpTo(ctx, random, maxKillPause)
	}
}

// onFreeEdges claims some free edges, and runs a disruption on each of them at the same time.
func (s *soak) onFreeEdges(random *rand.Rand, disruption func(p *process)) {
	var edges tasks.Group
	for range 1 + random.IntN(s.Edges) {
		p, release := s.claimNode("edge", random)
		if p == nil {
			break
		}
		edges.Go(func() {
			defer release()
			disruption(p)
		})
	}
	edges.Wait()
}

// killEdges kills some edges at the same moment, and starts them again at their addresses.
func (s *soak) killEdges(ctx context.Context, random *rand.Rand) {
	outage := time.Duration(random.Float64() * float64(maxEdgeOutage))
	s.onFreeEdges(random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		pause.For(ctx, outage)
		if err := s.start(p); err != nil {
			s.tally.RecordViolation("%s does not start: %v", p.name, err)
		}
	})
}

// suspendEdges suspends some edges at the same moment, and resumes them.
func (s *soak) suspendEdges(ctx context.Context, random *rand.Rand) {
	outage := time.Duration(random.Float64() * float64(maxEdgeOutage))
	s.onFreeEdges(random, func(p *process) {
		s.sendSignal(p, syscall.SIGSTOP)
		pause.For(ctx, outage)
		s.sendSignal(p, syscall.SIGCONT)
	})
}

// resetRunnerConnections resets the open connections to a runner.
func (s *soak) resetRunnerConnections(_ context.Context, random *rand.Rand) {
	if !s.claimSilence() {
		return
	}
	s.mutex.Lock()
	runner := s.runners[random.IntN(len(s.runners))]
	s.mutex.Unlock()
	s.report("%d connections to runner %s are reset", runner.ResetConnections(), runner.ID)
}

// refuseEarly makes two runners refuse requests before they have read the bodies, and send refusals
// that name no request.
func (s *soak) refuseEarly(ctx context.Context, random *rand.Rand) {
	s.injectRunnerFaults(ctx, random, "refuses early", standin.RunnerFault{EarlyRefusal: earlyRefusals, LateRefusal: lateRefusalsBesides})
}
