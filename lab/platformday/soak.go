package platformday

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// A soak plays a deployment whose callers keep their connections until the node
// behind them is gone, while several disturbers at once play series of signals,
// restarts and changes that overlap. All is drawn from the seed.

// SoakOptions of a soak. Crashes is set by the soak itself.
type SoakOptions struct {
	Options
	// Kept is how many callers keep a connection of their own.
	Kept int
	// Disturbers is how many series run at the same time.
	Disturbers int
}

const (
	// keptPause is how long a caller rests between two requests, at the most: some
	// are on their way whenever a node stops.
	keptPause = 120 * time.Millisecond
	// seriesPause is the longest pause between two series of a disturber.
	seriesPause = 1200 * time.Millisecond
	// stopTime is how long a stopped node has to end, a second more than its settings
	// say (prepare).
	stopTime = 9 * time.Second
	// crashShare of a seed's soaks have a request that crashes runners.
	crashShare = 0.5
	// crashInterval is how often such a request comes again.
	crashInterval = 400 * time.Millisecond
)

// crashBody is of the request that crashes runners.
var crashBody = []byte("crashes the runner that begins to run it")

// soak is a running soak.
type soak struct {
	*Day
	options SoakOptions
	// busy are nodes that a disturber has taken; disks are taken one at a time, since
	// the deployment bears the loss of one.
	busyMutex sync.Mutex
	busy      map[*process]bool
	diskTaken bool
	version   int
	versions  sync.Mutex
}

// Soak plays one soak and returns what callers saw.
func Soak(ctx context.Context, options SoakOptions) (*standin.Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options.Crashes = func(body []byte) bool { return bytes.Equal(body, crashBody) }
	d, err := open(ctx, options.Options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.close()
	s := &soak{Day: d, options: options, busy: map[*process]bool{}, version: 3}
	s.play(ctx)
	return d.tally, nil
}

func (s *soak) play(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	soakContext, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	var group sync.WaitGroup
	run := func(work func(random *rand.Rand)) {
		drawn := fork()
		group.Add(1)
		go func() {
			defer group.Done()
			work(drawn)
		}()
	}
	for number := range s.options.Kept {
		run(func(random *rand.Rand) { s.keep(soakContext, number, random) })
	}
	batch := &standin.BatchClient{Front: s, Ledger: s.ledger, Tally: s.tally, Host: host, Prefix: standin.BatchPrefix, Random: fork()}
	run(func(*rand.Rand) { s.batch(ctx, batch) })
	crashes := random.Float64() < crashShare
	if crashes {
		run(func(random *rand.Rand) { s.crashing(soakContext, random) })
	}
	for range s.options.Disturbers {
		run(func(random *rand.Rand) { s.disturb(soakContext, random) })
	}
	group.Wait()
	s.check(batch, crashes)
}

func (s *soak) check(batch *standin.BatchClient, crashes bool) {
	if open := batch.Open(); open > 0 {
		s.tally.Broke("%d taken items have no result", open)
	}
	if ended := s.ledger.Crashes(crashBody); crashes && ended > standin.CrashesAllowed {
		s.tally.Broke("%d runners ended under one request, allowed are %d", ended, standin.CrashesAllowed)
	}
	once := &standin.Callers{Ledger: s.ledger, Tally: s.tally, Prefix: standin.OncePrefix, Once: true}
	once.CheckRuns()
	s.say("%s; runners ended under one request: %d", s.tally.Summary(), s.ledger.Crashes(crashBody))
}

// keep is one caller that keeps its connection.
func (s *soak) keep(ctx context.Context, number int, random *rand.Rand) {
	kept := &standin.Kept{
		Callers: standin.Callers{Front: s, Ledger: s.ledger, Tally: s.tally, Host: host, Prefix: standin.EventsPrefix, Random: random},
		Pause:   keptPause,
		Excused: s.excused,
	}
	if number%3 == 2 {
		kept.Prefix, kept.Once = standin.OncePrefix, true
	}
	kept.Run(ctx, fmt.Sprintf("kept%d", number))
}

// excused reports whether the node at an address was killed, stood still or ran out
// of time to stop after a moment.
func (s *soak) excused(address string, since time.Time) bool {
	for _, p := range s.nodes {
		if p.callers == address {
			return p.harmedSince(since.Add(-time.Second))
		}
	}
	return true
}

// crashing sends the request that crashes runners again and again, at any edge.
func (s *soak) crashing(ctx context.Context, random *rand.Rand) {
	for try := 0; ctx.Err() == nil; try++ {
		if addresses := s.Addresses(); len(addresses) > 0 {
			single := standin.Single{Address: addresses[random.IntN(len(addresses))], Host: host}
			single.Request(standin.EventsPrefix+"x", fmt.Sprintf("crash%d", try), crashBody)
		}
		select {
		case <-ctx.Done():
		case <-time.After(crashInterval):
		}
	}
}

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
func wait(ctx context.Context, random *rand.Rand, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.Float64() * float64(most))):
	}
}

// take takes a node of a role for a series; nil if all are taken. The result gives
// it back.
func (s *soak) take(role string, random *rand.Rand) (*process, func()) {
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

// with plays a series on a node of a role, if one is free, and starts the node
// again if it has ended.
func (s *soak) with(role string, random *rand.Rand, series func(p *process)) {
	p, release := s.take(role, random)
	if p == nil {
		return
	}
	defer release()
	series(p)
	select {
	case <-p.life.ended:
		if err := s.start(p); err != nil {
			s.tally.Broke("%s does not start: %v", p.name, err)
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
		s.tally.Broke("%s still runs %v after it was asked to stop", p.name, stopTime)
		s.signal(p, syscall.SIGKILL)
	}
}

func (s *soak) stopEdges(_ context.Context, random *rand.Rand) { s.with("edge", random, s.stop) }

func (s *soak) stopStorage(_ context.Context, random *rand.Rand) { s.with("storage", random, s.stop) }

// hangUp sends SIGHUP several times, now and then right before a stop.
func (s *soak) hangUp(ctx context.Context, random *rand.Rand) {
	s.with("edge", random, func(p *process) {
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
	s.with("edge", random, func(p *process) {
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
	s.with("edge", random, func(p *process) {
		s.ask(p, syscall.SIGTERM)
		wait(ctx, random, 3*time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// freeze makes a node stand still, and asks it to stop meanwhile now and then.
func (s *soak) freeze(ctx context.Context, random *rand.Rand) {
	s.with([]string{"edge", "storage"}[random.IntN(2)], random, func(p *process) {
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
	s.with("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		if err := s.start(p); err != nil {
			s.tally.Broke("%s does not start: %v", p.name, err)
			return
		}
		wait(ctx, random, time.Second)
		s.signal(p, syscall.SIGKILL)
	})
}

// wipe takes a disk. It is the only one that may be lost until it has caught up.
func (s *soak) wipe(_ context.Context, random *rand.Rand) {
	s.with("storage", random, func(p *process) {
		s.signal(p, syscall.SIGKILL)
		s.say("%s loses its disk", p.name)
		if err := os.RemoveAll(p.data); err != nil {
			s.tally.Broke("%s: %v", p.name, err)
		}
	})
}

// changeConfig writes several versions of the configuration in quick succession.
func (s *soak) changeConfig(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(4) {
		s.versions.Lock()
		s.version += 1 + random.IntN(3)
		s.say("configuration %d", s.version)
		s.store.PutConfig(standin.DayConfig(host, s.version))
		s.versions.Unlock()
		wait(ctx, random, 300*time.Millisecond)
	}
}

// troubleStore gives the store a fault for a while.
func (s *soak) troubleStore(ctx context.Context, random *rand.Rand) {
	faults := []standin.StoreFault{{Silent: true}, {Busy: true}, {Reset: true}, {Slow: 300 * time.Millisecond}, {LoseWrites: true}, {Throttle: true}}
	fault := faults[random.IntN(len(faults))]
	s.say("the store: %+v", fault)
	s.store.SetFault(fault)
	wait(ctx, random, 2*time.Second)
	s.store.SetFault(standin.StoreFault{})
}

// crashRunners ends runners in a row; each is back after a while.
func (s *soak) crashRunners(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(2) {
		if runner := s.drawRunner(random); runner != nil {
			runner.Crash()
			runner.OnCrash(runner)
		}
		wait(ctx, random, 500*time.Millisecond)
	}
}

// lostShare of its answers are lost by a runner that has run the requests.
const lostShare = 0.3

// loseAnswers makes some runners lose answers for a while.
func (s *soak) loseAnswers(ctx context.Context, random *rand.Rand) {
	s.mutex.Lock()
	chosen := []*standin.Runner{s.runners[random.IntN(len(s.runners))], s.runners[len(s.runners)-1]}
	s.mutex.Unlock()
	for _, runner := range chosen {
		s.say("runner %s loses answers", runner.ID)
		runner.SetFault(standin.RunnerFault{LoseAnswer: lostShare})
	}
	wait(ctx, random, 3*time.Second)
	for _, runner := range chosen {
		runner.SetFault(standin.RunnerFault{})
	}
}

// drainTime is how long a runner serves on after it has said that it leaves.
const drainTime = 3 * time.Second

func (s *soak) drainRunners(ctx context.Context, random *rand.Rand) {
	runner := s.drawRunner(random)
	if runner == nil {
		return
	}
	s.say("runner %s leaves", runner.ID)
	runner.Drain()
	time.Sleep(drainTime)
	runner.Stop()
	runner.OnCrash(runner)
}

// drawRunner draws a runner that nothing has happened to yet.
func (s *soak) drawRunner(random *rand.Rand) *standin.Runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range len(s.runners) {
		if runner := s.runners[random.IntN(len(s.runners))]; runner.Claim() {
			return runner
		}
	}
	return nil
}
