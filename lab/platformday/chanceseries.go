package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// waveShare is the fraction of soaks in which sound runners crash in waves.
	waveShare = 0.4
	// wavePause is the longest pause between two waves.
	wavePause = 1500 * time.Millisecond
	// lateRouteShare is the fraction of soaks in which jobs come on routes that the storage nodes
	// do not know yet.
	lateRouteShare = 0.4
	// lateRouteWait is how long the results of such a job are awaited.
	lateRouteWait = 5 * time.Second
)

// crashInWaves crashes one runner in each of several waves, whatever it runs, until the context
// ends.
func (s *soak) crashInWaves(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		if runner := s.claimRunner(random); runner != nil {
			runner.Crash()
			runner.OnCrash(runner)
		}
		sleepUpTo(ctx, random, wavePause)
	}
}

// addLateRoutes adds batch routes while the store is silent to the storage nodes, and sends a job to
// each, until the context ends.
func (s *soak) addLateRoutes(ctx context.Context, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		sleepUpTo(ctx, random, 2*lateRouteWait)
		s.disruptions.RLock()
		s.addLateRoute(ctx, fmt.Sprintf("late%d", number))
		s.disruptions.RUnlock()
	}
}

// addLateRoute adds one route and sends a job to it. The configuration does not change until the
// job's items have results or lateRouteWait has passed: none may end without a run.
func (s *soak) addLateRoute(ctx context.Context, job string) {
	s.configMutex.Lock()
	defer s.configMutex.Unlock()
	s.configVersion++
	prefix := "/" + job + "/"
	s.report("configuration %d with a batch route, while the store is silent to the storage nodes", s.configVersion)
	s.setStorageFault(standin.StoreFault{Silent: true})
	s.store.PutConfig(standin.DayConfig(host, s.configVersion, prefix))
	time.Sleep(lateJobDelay)
	bodies := [][]byte{[]byte(job + " first"), []byte(job + " second")}
	addresses := s.Addresses()
	for until := time.Now().Add(lateRouteWait); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(maxRequestPause) {
		client := standin.NodeClient{Address: addresses[0], Host: host}
		if !client.SubmitTo(prefix, job, bodies) {
			continue
		}
		s.setStorageFault(standin.StoreFault{})
		s.awaitLateJob(client, job, len(bodies), until)
		break
	}
	s.setStorageFault(standin.StoreFault{})
}

// lateJobDelay is the time from the change of the configuration to the job on its route.
const lateJobDelay = 100 * time.Millisecond

// awaitLateJob reads a job's results until all are there or a time has passed, and records a
// violation if an item has ended without a run.
func (s *soak) awaitLateJob(client standin.NodeClient, job string, items int, until time.Time) {
	for time.Now().Before(until) {
		completed, dead := client.ListedItems(job)
		if dead > 0 {
			s.tally.RecordViolation("%d items of %s ended though their route is there", dead, job)
			return
		}
		if completed == items {
			return
		}
		time.Sleep(maxRequestPause)
	}
}

// setStorageFault sets the fault with which the store meets the storage nodes.
func (d *Day) setStorageFault(fault standin.StoreFault) {
	for _, p := range d.nodesOf("storage") {
		d.store.SetMachineFault(p.name, fault)
	}
}
