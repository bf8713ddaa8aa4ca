package platformday

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
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
	// busy are nodes that a disturber has claimed; disks are claimed one at a time, since
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
	var group tasks.Group
	run := func(work func(random *rand.Rand)) {
		drawn := fork()
		group.Go(func() { work(drawn) })
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
		s.tally.RecordViolation("%d taken items have no result", open)
	}
	if ended := s.ledger.Crashes(crashBody); crashes && ended > standin.CrashesAllowed {
		s.tally.RecordViolation("%d runners ended under one request, allowed are %d", ended, standin.CrashesAllowed)
	}
	once := &standin.Callers{Ledger: s.ledger, Tally: s.tally, Prefix: standin.OncePrefix, Once: true}
	once.CheckRuns()
	s.say("%s; runners ended under one request: %d", s.tally.Summary(), s.ledger.Crashes(crashBody))
}
