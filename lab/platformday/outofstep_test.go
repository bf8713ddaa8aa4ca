package platformday

import (
	"context"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// settledTime is longer than the history that a node needs in order to prove a version by its list.
const settledTime = 14 * time.Second

// Guards against texts of two versions during a release: one edge is out of step while runners of a new version join;
// streams of that version, which began at another edge, break off and are resumed at the edge that is behind.
func TestEdgeOutOfStepMixesNoVersions(t *testing.T) {
	t.Parallel() // most of the time is spent waiting
	program := build(t, t.TempDir())
	for _, how := range []outOfStep{
		{cutOff: time.Second}, {cutOff: 2200 * time.Millisecond},
		{standsStill: time.Second}, {standsStill: 2200 * time.Millisecond}, {standsStill: 5 * time.Second},
	} {
		t.Run(how.String(), func(t *testing.T) {
			t.Parallel()
			testOutOfStep(t, program, how)
		})
	}
}

func testOutOfStep(t *testing.T, program string, how outOfStep) {
	t.Helper()
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: program, Folder: folder, Seed: 1, Progress: os.Stderr, Edges: 2, Storages: 3, Runners: 4, SoftwareVersions: 1, Length: settledTime + how.cutOff + how.standsStill,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	edges := d.nodesOf("edge")
	endpoints, streams := &steeredEndpoints{}, &standin.StreamTally{}
	endpoints.steerTo(edges...)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers tasks.Group
	d.startResumingCallers(ctx, endpoints, streams, &callers)
	batch := &standin.BatchClient{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.BatchPrefix, Random: rand.New(rand.NewPCG(d.Seed, 99))}
	callers.Go(func() { d.batch(t.Context(), batch) })
	time.Sleep(settledTime)
	d.misleadEdge(edges[1], edges[:1], how, endpoints)
	time.Sleep(streamsBefore)
	cancel()
	callers.Wait()
	t.Logf("%v: %s", how, streams.Summary())
	if mixed := append(streams.Mixed, d.ledger.MixedRuns()...); len(mixed) > 0 {
		t.Errorf("%d texts of several versions, first: %s", len(mixed), mixed[0])
		t.Log(linesWith(folder, "origin of a resumed stream"))
	}
	if streams.Continued+streams.NotContinued < minResumed {
		t.Errorf("too few streams broke off: %s", streams.Summary())
	}
}

// While all runners have had one version for long, streams are not recorded. Nearly all that break off must go on all
// the same, also while the storage nodes or the store do not answer.
func TestUnrecordedStreamsGoOnWithoutStorageNodesOrStore(t *testing.T) {
	t.Parallel() // most of the time is spent waiting
	program := build(t, t.TempDir())
	for name, silence := range map[string]func(d *Day) (end func()){
		"storage nodes stand still": (*Day).suspendStorages,
		"store is silent": func(d *Day) func() {
			d.store.SetFault(standin.StoreFault{Silent: true})
			return func() { d.store.SetFault(standin.StoreFault{}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			d, err := open(t.Context(), Options{
				Program: program, Folder: folder, Seed: 1, Progress: os.Stderr, Edges: 5, Storages: 3, Runners: 8, SoftwareVersions: 1,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer d.close()
			time.Sleep(settledTime)
			streams := d.streamThrough(t.Context(), streamDisruption{name: name, begin: func(d *Day) func() {
				end := silence(d)
				restart := killNodes(threeEdges)(d)
				return func() {
					end()
					restart()
				}
			}})
			t.Logf("%s: %s", name, streams.Summary())
			resumed := streams.Continued + streams.NotContinued
			if resumed < minResumed || streams.ContinuedShare() < 0.95 || len(streams.Mixed) > 0 {
				t.Errorf("too few streams went on: %s", streams.Summary())
				t.Log(linesWith(folder, "origin of a resumed stream"))
			}
		})
	}
}
