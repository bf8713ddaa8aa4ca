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

// lastRunnerClients is the number of clients that each read one short stream after the other.
const lastRunnerClients = 48

// Streams at the only runner of their software version must go on there if the runner begins to
// leave and its connections go silent, in either order: it serves on for its drain time, on new
// connections.
func TestStreamsGoOnAtALastRunnerThatLeavesAndGoesSilent(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second func(last *standin.Runner)
		between       time.Duration
	}{
		{"leaves first", (*standin.Runner).Drain, silenceAllOf, 10 * time.Millisecond},
		{"goes silent first", silenceAllOf, (*standin.Runner).Drain, 150 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkStreamsOfLastRunner(t, func(last *standin.Runner) {
				test.first(last)
				time.Sleep(test.between)
				test.second(last)
			})
		})
	}
}

func silenceAllOf(runner *standin.Runner) { runner.SilenceConnections() }

// checkStreamsOfLastRunner checks that no stream is cut while the only runner of a software version
// is disrupted.
func checkStreamsOfLastRunner(t *testing.T, disrupt func(last *standin.Runner)) {
	t.Helper()
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr, Edges: 2, Storages: 3, Runners: 4, SoftwareVersions: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	d.crashRunners(1) // it comes back with the other version
	time.Sleep(runnerRestartDelay + 10*listingTime)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients tasks.Group
	for number := range lastRunnerClients {
		client := d.persistentClient(rand.New(rand.NewPCG(d.Seed, uint64(number))))
		clients.Go(func() { client.Run(ctx, fmt.Sprintf("last%d", number)) })
	}
	time.Sleep(streamsBefore)
	disrupt(d.runner(0))
	time.Sleep(disruptionLength)
	cancel()
	clients.Wait()
	if len(d.tally.Violations) > 0 {
		t.Errorf("%v\n%s", d.tally.Violations, logsOf(d.tally.Violations, folder))
	}
}
