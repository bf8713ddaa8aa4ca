package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// smallMemory is the memory of the smallest machine of the users, in MiB.
	smallMemory = 144
	// endlessTime is how long all runners send bytes without end.
	endlessTime = 6 * time.Second
	// endlessPerSecond is the number of requests on each route meanwhile, and endlessItems that of batch
	// items.
	endlessPerSecond = 60
	endlessJobs      = 12
	itemsOfJob       = 40
)

// TestBytesWithoutEndLeaveMemory guards against a node that keeps what runners send without end, runs out of
// memory, and ends the requests of others with it (LOST): the process of each node stays within the memory
// of its settings, and serves again as soon as the runners do.
func TestBytesWithoutEndLeaveMemory(t *testing.T) {
	program := build(t, t.TempDir())
	for _, form := range []standin.EndlessForm{standin.EndlessHead, standin.EndlessEvent, standin.EndlessEvents} {
		t.Run(string(form), func(t *testing.T) {
			t.Parallel()
			d, err := open(t.Context(), Options{
				Program: program, Folder: t.TempDir(), Seed: 1, Progress: os.Stderr, Edges: 2, Storages: 3, Runners: 24, MemoryMegabytes: smallMemory,
				Length: endlessTime, PerSecond: endlessPerSecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer d.close()
			d.playEndless(t, form)
			for _, violation := range d.tally.Violations {
				t.Error(violation)
			}
			for _, node := range d.nodes {
				peak, err := node.peakMegabytes()
				t.Logf("%s: %d MiB at the peak", node.name, peak)
				if err != nil || peak > smallMemory {
					t.Errorf("%s: %d MiB at the peak, its machine has %d, %v", node.name, peak, smallMemory, err)
				}
			}
		})
	}
}

// playEndless sends requests and batch items while all runners send bytes without end, and waits until
// the items have results after that.
func (d *Day) playEndless(t *testing.T, form standin.EndlessForm) {
	t.Helper()
	batch := &standin.BatchClient{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.BatchPrefix, Random: rand.New(rand.NewPCG(d.Seed, 1))}
	client := &standin.StreamClient{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.EventsPrefix}
	for _, runner := range d.runners {
		runner.SetFault(standin.RunnerFault{Endless: form})
	}
	var senders tasks.Group
	if form != standin.EndlessEvents { // events are passed on to callers, and are not what these expect
		senders.Go(func() { d.sendRequests(t.Context(), client, 0) })
	}
	ends := time.Now().Add(endlessTime)
	for number := range endlessJobs {
		ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
		batch.Submit(ctx, fmt.Sprintf("endless%02d", number), itemsOfJob)
		cancel()
	}
	senders.Wait()
	time.Sleep(time.Until(ends))
	for _, runner := range d.runners {
		runner.SetFault(standin.RunnerFault{})
	}
	for deadline := time.Now().Add(resultsTimeout); batch.OpenItems() > 0 && time.Now().Before(deadline); time.Sleep(pollInterval) {
		batch.ReadAll(t.Context())
	}
	if open := batch.OpenItems(); open > 0 {
		t.Errorf("%d items have no result", open)
	}
}
