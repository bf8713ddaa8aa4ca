package platformday

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// disturb plays series until the context ends.
func (s *soak) disturb(ctx context.Context, random *rand.Rand) {
	series := []func(ctx context.Context, random *rand.Rand){
		s.stopEdges, s.stopEdges, s.hangUp, s.hangUp, s.stopInARow, s.killWhileStopping, s.freeze, s.stopStorage, s.killStorageTwice, s.wipe,
		s.changeConfig, s.changeConfig, s.troubleStore, s.crashRunners, s.drainRunners, s.loseAnswers,
	}
	for ctx.Err() == nil {
		series[random.IntN(len(series))](ctx, random)
		wait(ctx, random, seriesPause)
	}
}

// wait waits for a drawn part of a time.
func wait(ctx context.Context, random *rand.Rand, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.Float64() * float64(longest))):
	}
}

// claimNode claims a node of a role for a series; nil if all are claimed. The result gives
// it back.
func (s *soak) claimNode(role string, random *rand.Rand) (*process, func()) {
	s.busyMutex.Lock()
	defer s.busyMutex.Unlock()
	storage := role == "storage"
	if storage && s.diskTaken {
		return nil, nil
	}
	var free []*process
	for _, p := range s.nodes {
		if p.role == role && !s.busy[p] {
			free = append(free, p)
		}
	}
	// One edge is left alone at any time: callers need somewhere to go.
	if len(free) == 0 || !storage && len(free) == 1 {
		return nil, nil
	}
	chosen := free[random.IntN(len(free))]
	s.busy[chosen] = true
	s.diskTaken = s.diskTaken || storage
	return chosen, func() {
		s.busyMutex.Lock()
		defer s.busyMutex.Unlock()
		delete(s.busy, chosen)
		if storage {
			s.diskTaken = false
		}
	}
}

// onFreeNode plays a series on a node of a role, if one is free, and starts the node
// again if it has ended.
func (s *soak) onFreeNode(role string, random *rand.Rand, series func(p *process)) {
	p, release := s.claimNode(role, random)
	if p == nil {
		return
	}
	defer release()
	series(p)
	select {
	case <-p.life.ended:
		if err := s.start(p); err != nil {
			s.tally.RecordViolation("%s does not start: %v", p.name, err)
		}
	default: // it still runs
	}
	if role == "storage" {
		time.Sleep(diskTime)
	}
}

// diskTime is how long a disk that is back has to catch up before the next is taken.
const diskTime = 3 * time.Second

// stop asks a node to stop and waits until it is gone, which it has to be within
// its time.
func (s *soak) stop(p *process) {
	s.awaitEnd(p, s.ask(p, syscall.SIGTERM))
}

func (s *soak) awaitEnd(p *process, current *life) {
	select {
	case <-current.ended:
	case <-time.After(stopTime):
		s.tally.RecordViolation("%s still runs %v after it was asked to stop", p.name, stopTime)
		s.signal(p, syscall.SIGKILL)
	}
}

func (s *soak) stopEdges(_ context.Context, random *rand.Rand) { s.onFreeNode("edge", random, s.stop) }

func (s *soak) stopStorage(_ context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, s.stop)
}

// hangUp sends SIGHUP several times, now and then right before a stop.
func (s *soak) hangUp(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		for range 1 + random.IntN(4) {
			s.ask(p, syscall.SIGHUP)
			wait(ctx, random, 100*time.Millisecond)
		}
		if random.IntN(2) == 0 {
			s.stop(p)
			return
		}
		// Nobody else asks the node to stop meanwhile: if it stopped, it would be by itself.
		select {
		case <-ctx.Done():
		case <-time.After(stopsWithin):
		}
	})
}

// stopsWithin is longer than a node takes to stop that has nothing to do.
const stopsWithin = 4 * time.Second

// stopInARow asks a node to stop several times, with SIGHUP between.
func (s *soak) stopInARow(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		current := s.ask(p, syscall.SIGTERM)
		for range 1 + random.IntN(3) {
			wait(ctx, random, 400*time.Millisecond)
			s.ask(p, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
		}
		s.awaitEnd(p, current)
	})
}

// killWhileStopping kills a node that was asked to stop.
func (s *soak) killWhileStopping(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("edge", random, func(p *process) {
		s.ask(p, syscall.SIGTERM)
		wait(ctx, random, 3*time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// freeze makes a node stand still, and asks it to stop meanwhile now and then.
func (s *soak) freeze(ctx context.Context, random *rand.Rand) {
	s.onFreeNode([]string{"edge", "storage"}[random.IntN(2)], random, func(p *process) {
		s.ask(p, syscall.SIGSTOP)
		wait(ctx, random, 2*time.Second)
		stopped := random.IntN(3) == 0
		var current *life
		if stopped {
			current = s.ask(p, syscall.SIGTERM)
		}
		s.ask(p, syscall.SIGCONT)
		if stopped {
			s.awaitEnd(p, current)
		}
	})
}

func (s *soak) killStorageTwice(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		if err := s.start(p); err != nil {
			s.tally.RecordViolation("%s does not start: %v", p.name, err)
			return
		}
		wait(ctx, random, time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// wipe takes a disk. It is the only one that may be lost until it has caught up.
func (s *soak) wipe(_ context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		s.say("%s loses its disk", p.name)
		if err := os.RemoveAll(p.data); err != nil {
			s.tally.RecordViolation("%s: %v", p.name, err)
		}
	})
}
