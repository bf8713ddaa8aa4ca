// Package platformday runs end-to-end fault tests of a platform deployment on loopback
// addresses: a day, which injects each kind of fault once, or a soak, which injects random
// overlapping faults. It starts edge and storage processes against the emulated store and
// runners of package standin, sends requests and jobs, and verifies the responses. The
// seed determines the random choices, such as the order of the faults.
package platformday

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// Options configures a day.
type Options struct {
	// Program is the path of the cobaltramp binary.
	Program string
	// StorageProgram is the path of the binary that runs the storage nodes, if it is another one.
	StorageProgram string
	// Spares is the number of storage nodes that are not started with the others.
	Spares int
	// DiskMegabytes is the size of the disk of a storage node in its settings; 0 stands for unknown.
	DiskMegabytes int
	// Folder is the folder for settings, data and logs.
	Folder string
	Seed   uint64
	// Length is the duration of the traffic.
	Length time.Duration
	// PerSecond is the number of requests per second on each route.
	PerSecond int
	// Progress receives a line for each event of the run; nil discards the lines.
	Progress io.Writer
	// Edges, Storages and Runners are the numbers of nodes and runners; 0 selects the
	// default.
	Edges, Storages, Runners int
	// Crashes reports whether a request with the body crashes each runner that runs it;
	// nil stands for no crashes. A new runner replaces a crashed one after a delay.
	Crashes func(body []byte) bool
	// Descriptors is the number of files that an edge may have open; 0 stands for no limit
	// of the lab's.
	Descriptors int
	// MemoryMegabytes is the memory of each node in its settings; 0 selects the default.
	MemoryMegabytes int
	// Threads is the number of threads that run the code of an edge at once; 0 stands for
	// one for each processor.
	Threads int
	// CrashesOnPart and EndsHeadCleanly are passed to the runners; see
	// standin.RunnerOptions.
	CrashesOnPart   func(part string) bool
	EndsHeadCleanly bool
	// KeepAddresses lets every second replacement of a runner start at the address of its
	// predecessor.
	KeepAddresses bool
	// UnequalRunners makes the runners differ in speed and report a contention that
	// varies.
	UnequalRunners bool
	// EventInterval is the time between the events of a runner's stream; 0 selects the default.
	EventInterval time.Duration
	// SoftwareVersions is the number of software versions of the runners, which serve side by
	// side; 0 counts as 1.
	SoftwareVersions int
	// MixedVersions enables all keys of the section routing on the nodes that have the
	// section, and gives half of the runners contention and a stated start time, as during
	// an update of both.
	MixedVersions bool
}

// Day is a running deployment with its emulated store and runners.
type Day struct {
	Options
	store   *standin.Store
	ledger  *standin.Ledger
	tally   *standin.Tally
	runners []*standin.Runner
	nodes   []*process
	// spares are storage nodes that have not been started; they are not among nodes. The mutex guards
	// both while the day runs.
	spares  []*process
	mutex   sync.Mutex
	started time.Time
	// background runs the readiness probes and delayed functions until lifetime ends.
	background tasks.Group
	lifetime   context.Context
	cancel     context.CancelFunc
	// processes tracks the running node processes.
	processes tasks.Group
	// subnet is the number of the loopback subnet of the nodes.
	subnet uint32
}

const (
	// defaultEventInterval is the time between two events of a runner that is not slow.
	defaultEventInterval = 15 * time.Millisecond
	// A deployment of this size tolerates the loss of one edge, one storage node and one
	// runner.
	defaultEdges, defaultStorages, defaultRunners = 2, 3, 4
	// zoneCount is the number of zones; nodes and runners are assigned to them in turn.
	zoneCount = 2
	// host is the host name in the requests.
	host = "day.example"
)

// Run runs a day and returns the tally of its requests and jobs, which includes the
// violations. The error reports that the run itself failed.
func Run(ctx context.Context, options Options) (*standin.Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := open(ctx, options)
	if err != nil {
		return nil, err
	}
	defer d.close()
	return d.tally, d.runTraffic(ctx)
}

// open starts the store, the runners and the nodes, and waits until all edges are ready.
// If it returns an error, everything has been stopped.
func open(ctx context.Context, options Options) (*Day, error) {
	options.Edges = cmp.Or(options.Edges, defaultEdges)
	options.Storages = cmp.Or(options.Storages, defaultStorages)
	options.Runners = cmp.Or(options.Runners, defaultRunners)
	options.EventInterval = cmp.Or(options.EventInterval, defaultEventInterval)
	d := &Day{Options: options, store: standin.NewStore(), ledger: standin.NewLedger(), tally: &standin.Tally{}, started: time.Now()}
	d.lifetime, d.cancel = context.WithCancel(ctx)
	// The process id is part of the number so that parallel test processes use different
	// subnets.
	d.subnet = (uint32(os.Getpid())*7 + startedDays.Add(1)) % loopbackSubnets
	if err := d.startAll(); err != nil {
		d.close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Day) startAll() error {
	d.store.PutConfig(standin.DayConfig(host, 3))
	for number := range d.Runners {
		if err := d.startRunner(number, 0); err != nil {
			return err
		}
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	d.background.Go(d.pollReadiness)
	return d.awaitReady()
}

func (d *Day) close() {
	d.cancel()
	d.background.Wait()
	d.killAll()
	d.processes.Wait()
	d.store.Close()
}

// report writes a line with the elapsed time to Progress.
func (d *Day) report(format string, args ...any) {
	if d.Progress != nil {
		fmt.Fprintf(d.Progress, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// runAfter calls a function after a delay, unless the day ends before.
func (d *Day) runAfter(delay time.Duration, do func()) {
	d.background.Go(func() {
		select {
		case <-d.lifetime.Done():
		case <-time.After(delay):
			do()
		}
	})
}
