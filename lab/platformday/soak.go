package platformday

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// A soak sends requests on persistent connections while several concurrent loops run
// random disruptions: signals to nodes, restarts, and changes of the configuration, the
// store and the runners. The seed determines the random choices.

// SoakOptions configures a soak. Soak overwrites Crashes, MixedVersions and SoftwareVersions.
type SoakOptions struct {
	Options
	// Kept is the number of clients with a persistent connection.
	Kept int
	// Disturbers is the number of concurrent loops of disruptions.
	Disturbers int
	// EdgeKills adds a loop of disruptions that kill and suspend several edges at once, reset
	// connections to runners, and let runners refuse long requests early or start again at their
	// addresses.
	EdgeKills bool
	// LeaderChanges adds a loop of disruptions that suspend, kill and stop one storage node after the
	// other, each of which may lead the queue shards.
	LeaderChanges bool
	// OutOfStep adds a loop of disruptions that let an edge fall behind while a runner of another version
	// joins, and steers callers to it. Soak adds it for outOfStepShare of all seeds.
	OutOfStep bool
	// PowerLosses adds a loop that ends all nodes at once, with the disk of one storage node, and
	// checks what was accepted. Soak sets it for powerLossShare of all seeds.
	PowerLosses bool
	// HastyRestarts makes all losses of power those after which nodes start before their earlier
	// processes have ended.
	HastyRestarts bool
}

const (
	// maxRequestPause is the longest pause between two requests of a client. It is short
	// so that requests are in flight whenever a node stops.
	maxRequestPause = 120 * time.Millisecond
	// maxDisruptionPause is the longest pause between two disruptions of one loop.
	maxDisruptionPause = 1200 * time.Millisecond
	// stopTimeout is the time in which a node has to exit after SIGTERM: StopSeconds of
	// its settings (prepareNode) and one second more.
	stopTimeout = 9 * time.Second
	// crashShare is the fraction of soaks with a request that crashes runners.
	crashShare = 0.5
	// resumingShare is the number of clients with a persistent connection for each client that
	// resumes its streams.
	resumingShare = 4
	// crashInterval is the time between two sends of that request.
	crashInterval = 400 * time.Millisecond
	// crashingPartShare is the fraction of soaks with a part of prompts that crashes runners,
	// and crashingPartRate the number of requests with it per second.
	crashingPartShare = 0.5
	crashingPartRate  = 4
	// crashingPart is that part, which follows the first part of the other requests.
	crashingPart = "crashes"
)

// crashBody is the body of the request that crashes runners.
var crashBody = []byte("crashes the runner that begins to run it")

// soak is a running soak.
type soak struct {
	*Day
	options SoakOptions
	// claimedNodes holds the nodes that a disruption has claimed. Only one storage node
	// may be claimed at a time, since the deployment tolerates the loss of one disk.
	claimMutex     sync.Mutex
	claimedNodes   map[*process]bool
	storageClaimed bool
	// silencedAt is when connections to runners were last silenced, guarded by claimMutex.
	silencedAt    time.Time
	configVersion int
	configMutex   sync.Mutex
	// disruptions is read-locked by each disruption of a node or of the store, and locked from before a
	// loss of power until the nodes have recovered from it.
	disruptions sync.RWMutex
}

// Soak runs a soak and returns the tally of its requests and jobs, which includes the
// violations. The error reports that the soak itself failed.
func Soak(ctx context.Context, options SoakOptions) (*standin.Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options.Crashes = func(body []byte) bool { return bytes.Equal(body, crashBody) }
	options.CrashesOnPart = func(part string) bool { return part == crashingPart }
	options.EndsHeadCleanly = options.Seed%2 == 0
	options.MixedVersions, options.KeepAddresses = true, options.EdgeKills
	options.SoftwareVersions = softwareVersionsOf(options.Seed)
	if options.PowerLosses = options.PowerLosses || losesPower(options.Seed); options.PowerLosses {
		options.Spares, options.DiskMegabytes = powerLossSpares, diskMegabytesOf(options.Seed)
	}
	d, err := open(ctx, options.Options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.close()
	s := &soak{Day: d, options: options, claimedNodes: map[*process]bool{}, configVersion: 3}
	s.execute(ctx)
	return d.tally, nil
}

// softwareVersionsOf returns the number of software versions of the runners in a soak: one in a third
// of the soaks, otherwise two or three.
func softwareVersionsOf(seed uint64) int { return 1 + int(seed%3) }

// execute runs clients and disruptions until the soak ends, and then verifies the results.
func (s *soak) execute(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	soakContext, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	var group tasks.Group
	run := func(work func(random *rand.Rand)) {
		child := fork()
		group.Go(func() { work(child) })
	}
	for number := range s.options.Kept {
		run(func(random *rand.Rand) { s.runPersistentClient(soakContext, number, random) })
	}
	streams := &standin.StreamTally{}
	for number := range max(1, s.options.Kept/resumingShare) {
		run(func(random *rand.Rand) { s.runResumingClient(soakContext, number, streams, random) })
	}
	batch := &standin.BatchClient{Endpoints: s, Ledger: s.ledger, Tally: s.tally, Host: host, Prefix: standin.BatchPrefix, Random: fork()}
	if s.options.PowerLosses {
		batch.BodyBytes = itemBytesOf(s.Seed)
	}
	run(func(*rand.Rand) { s.batch(ctx, batch) })
	crashes := random.Float64() < crashShare
	if crashes {
		run(func(random *rand.Rand) { s.sendCrashingRequests(soakContext, random) })
	}
	partRandom := rand.New(rand.NewPCG(s.Seed, 3)) // apart, so that the other series of a seed stay the same
	if partRandom.Float64() < crashingPartShare {
		group.Go(func() { s.sendCrashingPart(soakContext, partRandom) })
	}
	waveRandom := rand.New(rand.NewPCG(s.Seed, 4)) // apart as well
	if waveRandom.Float64() < waveShare {
		group.Go(func() { s.crashInWaves(soakContext, waveRandom) })
	}
	lateRandom := rand.New(rand.NewPCG(s.Seed, 5))
	if lateRandom.Float64() < lateRouteShare {
		group.Go(func() { s.addLateRoutes(soakContext, lateRandom) })
	}
	refusalRandom := rand.New(rand.NewPCG(s.Seed, 6))
	if refusalRandom.Float64() < lateRefusalShare {
		group.Go(func() { s.sendLateRefusals(soakContext, refusalRandom) })
	}
	if s.options.EdgeKills {
		killRandom := rand.New(rand.NewPCG(s.Seed, 7))
		group.Go(func() { s.killEdgesRepeatedly(soakContext, killRandom) })
	}
	if s.options.LeaderChanges {
		leaderRandom := rand.New(rand.NewPCG(s.Seed, 8))
		group.Go(func() { s.changeLeaders(soakContext, leaderRandom) })
	}
	stepRandom := rand.New(rand.NewPCG(s.Seed, 10))
	if s.options.OutOfStep || stepRandom.Float64() < outOfStepShare {
		group.Go(func() { s.keepEdgesOutOfStep(soakContext, streams, stepRandom) })
	}
	if s.options.PowerLosses {
		lossRandom := rand.New(rand.NewPCG(s.Seed, 9))
		group.Go(func() { s.losePowerRepeatedly(ctx, soakContext, batch, lossRandom) })
	}
	for range s.options.Disturbers {
		run(func(random *rand.Rand) { s.disrupt(soakContext, random) })
	}
	group.Wait()
	s.checkConfiguration()
	s.check(batch, crashes)
	s.checkStreams(streams)
}

// checkStreams records a violation for each stream and item with output of several software versions.
func (s *soak) checkStreams(streams *standin.StreamTally) {
	for _, mixed := range append(streams.Mixed, s.ledger.MixedRuns()...) {
		s.tally.RecordViolation("%s", mixed)
	}
	s.report("resumed streams, %d software versions: %s", s.SoftwareVersions, streams.Summary())
}

// configTimeout is the longest time until the last configuration is in force on all edges. It
// includes the time for starting the edges that the last disruptions ended.
const configTimeout = 10 * time.Second

// checkConfiguration records a violation for each ready edge on which the last configuration
// is not in force within configTimeout.
func (s *soak) checkConfiguration() {
	s.configMutex.Lock()
	version := s.configVersion
	s.configMutex.Unlock()
	deadline := time.Now().Add(configTimeout)
	for _, address := range s.Addresses() {
		for !standin.ConfigInForce(address, host, version) {
			if time.Now().After(deadline) {
				s.tally.RecordViolation("%s does not serve configuration %d", address, version)
				break
			}
			time.Sleep(maxRequestPause)
		}
	}
}

// check records a violation for items without a result, for a request that crashed too
// many runners, and for repeated runs of a request that may run only once.
func (s *soak) check(batch *standin.BatchClient, crashes bool) {
	unanswered := batch.ReadEverywhere(context.Background())
	if s.options.PowerLosses && unanswered > 0 {
		s.tally.RecordViolation("%d reads of accepted jobs without an answer after the last loss of power", unanswered)
	}
	if open := batch.OpenItems(); open > 0 {
		s.tally.RecordViolation("%d taken items have no result", open)
	}
	if ended := s.ledger.Crashes(crashBody); crashes && ended > standin.MaxCrashes {
		s.tally.RecordViolation("%d runners ended under one request, allowed are %d", ended, standin.MaxCrashes)
	}
	if late := standin.LaterRuns(s.ledger.PartCrashes(crashingPart)); late > standin.MaxLaterRuns {
		s.tally.RecordViolation("%d runs with a part of prompts that crashes runners began late, allowed are %d", late, standin.MaxLaterRuns)
	}
	s.tally.Leaders = strings.Count(linesWith(s.Folder, leaderLine), "\n")
	once := &standin.StreamClient{Ledger: s.ledger, Tally: s.tally, Prefix: standin.OncePrefix, AtMostOnce: true}
	once.CheckRunCounts()
	s.report("%s; runners ended under one request: %d, under one part: %d", s.tally.Summary(), s.ledger.Crashes(crashBody), len(s.ledger.PartCrashes(crashingPart)))
}
