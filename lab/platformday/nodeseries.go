package platformday

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// disrupt runs random disruptions one after the other until the context ends.
func (s *soak) disrupt(ctx context.Context, random *rand.Rand) {
	disruptions := []func(ctx context.Context, random *rand.Rand){
		s.stopEdges, s.stopEdges, s.reloadEdge, s.reloadEdge, s.stopRepeatedly, s.killWhileStopping, s.suspend, s.stopStorage, s.killStorageTwice, s.wipeDisk,
		s.changeConfig, s.changeConfig, s.injectStoreFault, s.crashRunners, s.drainRunners, s.loseResponses,
		s.silenceStore, s.silenceRunners, s.silenceAll,
	}
	for ctx.Err() == nil {
		s.runDisruption(ctx, random, disruptions[random.IntN(len(disruptions))])
		sleepUpTo(ctx, random, maxDisruptionPause)
	}
}

// runDisruption runs a disruption, unless the power is lost: then it first waits until the nodes have
// recovered.
func (s *soak) runDisruption(ctx context.Context, random *rand.Rand, disruption func(ctx context.Context, random *rand.Rand)) {
	s.disruptions.RLock()
	defer s.disruptions.RUnlock()
	if ctx.Err() == nil {
		disruption(ctx, random)
	}
}

// sleepUpTo sleeps for a random duration of at most longest, or until the context ends.
func sleepUpTo(ctx context.Context, random *rand.Rand, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.Float64() * float64(longest))):
	}
}

// claimNode claims a random free node of a role for a disruption. It returns the node
// and a function that releases it, or nil if no node may be claimed.
func (s *soak) claimNode(role string, random *rand.Rand) (*process, func()) {
	s.claimMutex.Lock()
	defer s.claimMutex.Unlock()
	storage := role == "storage"
	if storage && s.storageClaimed {
		return nil, nil
	}
	var free []*process
	for _, p := range s.currentNodes() {
		if p.role == role && !s.claimedNodes[p] {
			free = append(free, p)
		}
	}
	// One edge stays unclaimed, so that clients always have an available edge.
	if len(free) == 0 || !storage && len(free) == 1 {
		return nil, nil
	}
	chosen := free[random.IntN(len(free))]
	s.claimedNodes[chosen] = true
	s.storageClaimed = s.storageClaimed || storage
	return chosen, func() {
		s.claimMutex.Lock()
		defer s.claimMutex.Unlock()
		delete(s.claimedNodes, chosen)
		if storage {
			s.storageClaimed = false
		}
	}
}

// onFreeNode runs a disruption on a free node of a role, if there is one, and restarts
// the node if its process has ended.
func (s *soak) onFreeNode(role string, random *rand.Rand, disruption func(p *process)) {
	p, release := s.claimNode(role, random)
	if p == nil {
		return
	}
	defer release()
	disruption(p)
	select {
	case <-p.incarnation.ended:
		if err := s.start(p); err != nil {
			s.tally.RecordViolation("%s does not start: %v", p.name, err)
		}
	default: // the process is still running
	}
	if role == "storage" {
		time.Sleep(diskCatchUpTime)
	}
}

// diskCatchUpTime is the time for a storage node to catch up before another storage node
// is disrupted.
const diskCatchUpTime = 3 * time.Second

// stop sends SIGTERM to a node and waits for its exit.
func (s *soak) stop(p *process) {
	s.awaitExit(p, s.sendSignal(p, syscall.SIGTERM))
}

// stackDumpTime is the time for which a process may write its goroutines to its log after
// SIGQUIT.
const stackDumpTime = time.Second

// awaitExit waits for the exit of a process that is to stop. A process that still runs
// after stopTimeout is a violation. It has to write its goroutines to its log, and is killed.
func (s *soak) awaitExit(p *process, current *incarnation) {
	select {
	case <-current.ended:
		return
	case <-time.After(stopTimeout):
	}
	s.tally.RecordViolation("%s still runs %v after it was asked to stop; its threads: %s", p.name, stopTimeout, threadStates(current.command.Process.Pid))
	s.sendSignal(p, syscall.SIGQUIT)
	select {
	case <-current.ended:
	case <-time.After(stackDumpTime):
	}
	s.signal(p, syscall.SIGKILL)
}

func (s *soak) stopEdges(_ context.Context, random *rand.Rand) { s.onFreeNode("edge", random, s.stop) }

func (s *soak) stopStorage(_ context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, s.stop)
}

// reloadEdge sends SIGHUP to an edge one to four times. In half of the cases it then stops
// the edge; otherwise it checks that the edge keeps running.
func (s *soak) reloadEdge(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		for range 1 + random.IntN(4) {
			s.sendSignal(p, syscall.SIGHUP)
			sleepUpTo(ctx, random, 100*time.Millisecond)
		}
		if random.IntN(2) == 0 {
			s.stop(p)
			return
		}
		// The claim keeps other disruptions away: an exit in this time is a violation.
		select {
		case <-ctx.Done():
		case <-time.After(idleStopTime):
		}
	})
}

// idleStopTime is longer than a node without requests takes to stop.
const idleStopTime = 4 * time.Second

// stopRepeatedly sends SIGTERM to an edge, followed by further SIGTERM and SIGHUP signals.
func (s *soak) stopRepeatedly(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		current := s.sendSignal(p, syscall.SIGTERM)
		for range 1 + random.IntN(3) {
			sleepUpTo(ctx, random, 400*time.Millisecond)
			s.sendSignal(p, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
		}
		s.awaitExit(p, current)
	})
}

// killWhileStopping kills an edge some time after it got SIGTERM.
func (s *soak) killWhileStopping(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		s.sendSignal(p, syscall.SIGTERM)
		sleepUpTo(ctx, random, 3*time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// suspend suspends a node for up to two seconds and resumes it. In one of three cases it
// also sends SIGTERM while the node is suspended.
func (s *soak) suspend(ctx context.Context, random *rand.Rand) {
	s.onFreeNode([]string{"edge", "storage"}[random.IntN(2)], random, func(p *process) {
		s.sendSignal(p, syscall.SIGSTOP)
		sleepUpTo(ctx, random, 2*time.Second)
		stopped := random.IntN(3) == 0
		var current *incarnation
		if stopped {
			current = s.sendSignal(p, syscall.SIGTERM)
		}
		s.sendSignal(p, syscall.SIGCONT)
		if stopped {
			s.awaitExit(p, current)
		}
	})
}

// killStorageTwice kills a storage node, and again soon after its restart.
func (s *soak) killStorageTwice(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		if err := s.start(p); err != nil {
			s.tally.RecordViolation("%s does not start: %v", p.name, err)
			return
		}
		sleepUpTo(ctx, random, time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// wipeDisk kills a storage node and deletes its data. Other storage nodes are not
// disrupted until this one has caught up.
func (s *soak) wipeDisk(_ context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		s.report("%s loses its disk", p.name)
		if err := os.RemoveAll(p.dataFolder); err != nil {
			s.tally.RecordViolation("%s: %v", p.name, err)
		}
	})
}
