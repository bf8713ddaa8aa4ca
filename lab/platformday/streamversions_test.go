package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// resumingCallers is the number of callers that each read one stream after the other.
	resumingCallers = 48
	// streamsBefore is the time for which streams run before a disruption.
	streamsBefore = 1200 * time.Millisecond
	// disruptionLength is the time from a disruption to its end.
	disruptionLength = 3 * time.Second
	// minResumed is the number of resumed streams from which their share is compared.
	minResumed = 12
)

// streamDisruption breaks streams off. It returns a function that ends it.
type streamDisruption struct {
	name string
	// allNodes states that the nodes that could know the versions are disrupted, so that no
	// share of the streams has to go on.
	allNodes bool
	begin    func(d *Day) (end func())
}

// killNodes kills the nodes that match, and starts them again at the end.
func killNodes(matches func(p *process, number int) bool) func(d *Day) func() {
	return func(d *Day) func() {
		var killed []*process
		var kills tasks.Group
		for number, p := range d.nodes {
			if matches(p, number) {
				killed = append(killed, p)
				kills.Go(func() { d.signal(p, syscall.SIGKILL) })
			}
		}
		kills.Wait()
		return func() {
			for _, p := range killed {
				if err := d.start(p); err != nil {
					d.tally.RecordViolation("%s does not start: %v", p.name, err)
				}
			}
		}
	}
}

// crashRunners crashes runners that did not end before. Each comes back with another version.
func (d *Day) crashRunners(numbers ...int) {
	for _, number := range numbers {
		if runner := d.runner(number); runner.ClaimEnd() {
			runner.Crash()
			runner.OnCrash(runner)
		}
	}
}

// drainReplaced makes runners leave that did not end before. Each is replaced by one of another
// version.
func (d *Day) drainReplaced(numbers ...int) {
	for _, number := range numbers {
		runner := d.runner(number)
		if !runner.ClaimEnd() {
			continue
		}
		runner.Drain()
		d.runAfter(drainTime, func() {
			runner.Stop()
			runner.OnCrash(runner)
		})
	}
}

func isEdge(p *process, _ int) bool { return p.role == "edge" }

// threeEdges matches three of five edges.
func threeEdges(_ *process, number int) bool { return number < 3 }

func restartNodes(matches func(p *process, number int) bool) func(d *Day) func() {
	return func(d *Day) func() {
		killNodes(matches)(d)()
		return func() {}
	}
}

var streamDisruptions = []streamDisruption{
	{name: "60% of the edges are killed", begin: killNodes(threeEdges)},
	{name: "all edges are killed and started", begin: restartNodes(isEdge)},
	{name: "all nodes of a zone are killed", begin: killNodes(func(_ *process, number int) bool { return number%zoneCount == 0 })},
	{name: "60% of the edges are killed without the store", begin: func(d *Day) func() {
		d.store.SetFault(standin.StoreFault{Silent: true})
		end := killNodes(threeEdges)(d)
		return func() {
			d.store.SetFault(standin.StoreFault{})
			end()
		}
	}},
	{name: "runners crash", begin: func(d *Day) func() {
		d.crashRunners(0, 2) // one of each version
		return func() {}
	}},
	{name: "60% of the edges are killed after runners of one version began to leave", begin: func(d *Day) func() {
		d.drainReplaced(1, 5)
		time.Sleep(listingTime)
		return killNodes(threeEdges)(d)
	}},
	{name: "all nodes are killed and started", allNodes: true, begin: restartNodes(func(*process, int) bool { return true })},
}

// A stream must never go on at a runner of another software version than the one that began it,
// whether the system or its caller resumes it; and while runners of its version serve, the share of
// resumed streams that go on must be at least half of the share of new streams that begin.
func TestStreamsGoOnAtTheirSoftwareVersion(t *testing.T) { testStreamsGoOn(t, 2) }

// While all runners have one version, streams must go on in the same way.
func TestStreamsGoOnWithOneSoftwareVersion(t *testing.T) { testStreamsGoOn(t, 1) }

func testStreamsGoOn(t *testing.T, softwareVersions int) {
	t.Helper()
	t.Parallel() // most of the time is spent waiting
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr, Edges: 5, Storages: 3, Runners: 8, SoftwareVersions: softwareVersions,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	for _, disruption := range streamDisruptions {
		streams := d.streamThrough(t.Context(), disruption)
		t.Logf("%s: %s", disruption.name, streams.Summary())
		if len(streams.Mixed) > 0 {
			t.Errorf("%s: %d streams with several versions, first: %s", disruption.name, len(streams.Mixed), streams.Mixed[0])
		}
		resumed := streams.Continued + streams.NotContinued
		if !disruption.allNodes && resumed >= minResumed && streams.ContinuedShare() < streams.BegunShare()/2 {
			t.Errorf("%s: too few streams went on: %s", disruption.name, streams.Summary())
		}
		if err := d.awaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.tally.Violations) > 0 {
		t.Errorf("%v", d.tally.Violations)
	}
	if t.Failed() {
		t.Log(logTails(folder))
	}
}

// streamThrough runs callers that resume their streams through a disruption, and returns the
// outcomes of their streams.
func (d *Day) streamThrough(ctx context.Context, disruption streamDisruption) *standin.StreamTally {
	ctx, cancel := context.WithCancel(ctx)
	streams := &standin.StreamTally{}
	var callers tasks.Group
	d.startResumingCallers(ctx, d, streams, &callers)
	time.Sleep(streamsBefore)
	d.report("%s", disruption.name)
	end := disruption.begin(d)
	time.Sleep(disruptionLength)
	end()
	cancel()
	callers.Wait()
	return streams
}

// startResumingCallers starts callers that read one stream after the other at the given edges, and resume
// those that break off, until the context ends.
func (d *Day) startResumingCallers(ctx context.Context, edges standin.Endpoints, streams *standin.StreamTally, callers *tasks.Group) {
	for number := range resumingCallers {
		client := &standin.ResumingClient{
			Endpoints: edges, Tally: d.tally, Streams: streams, Host: host, Prefix: standin.EventsPrefix,
			Random: rand.New(rand.NewPCG(d.Seed, uint64(number))),
		}
		callers.Go(func() { client.Run(ctx, fmt.Sprintf("%x-%d", time.Now().UnixNano(), number)) })
	}
}
