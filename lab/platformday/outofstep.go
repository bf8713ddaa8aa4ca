package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// An edge is out of step if it does not learn for some time that runners of a new software version have
// joined, because it is cut off from the store or stands still. The storage nodes, which hold the
// records of streams, stand still while the edge is asked to resume streams of the new version.

// outOfStep is how an edge falls behind while runners of a new version join: the store is silent to it
// for a time, in which it runs (cutOff) or its process is suspended (standsStill). One of them is 0.
type outOfStep struct{ cutOff, standsStill time.Duration }

const (
	// listingTime is longer than a change of the list of runners takes to reach the nodes.
	listingTime = 150 * time.Millisecond
	// newVersionRunners is the number of runners of the new version that join.
	newVersionRunners = 4
	// newVersionTime is the time from the start of these runners to the end of the streams. It is
	// enough for the other edges to use them, and seldom for the edge that is behind to learn of
	// them from other nodes.
	newVersionTime = 350 * time.Millisecond
	// storageStandstill is how long the storage nodes stand still after the streams broke off.
	storageStandstill = 2500 * time.Millisecond
)

// steeredEndpoints are the edges to which callers are steered.
type steeredEndpoints struct{ addresses atomic.Pointer[[]string] }

// Addresses implements standin.Endpoints.
func (e *steeredEndpoints) Addresses() []string { return *e.addresses.Load() }

func (e *steeredEndpoints) steerTo(edges ...*process) {
	var addresses []string
	for _, edge := range edges {
		addresses = append(addresses, edge.callerAddress)
	}
	e.addresses.Store(&addresses)
}

// joinNewVersion starts runners of a second software version.
func (d *Day) joinNewVersion() {
	d.mutex.Lock()
	d.SoftwareVersions = 2
	d.mutex.Unlock()
	for number := d.Runners; number < d.Runners+newVersionRunners; number++ {
		generation := (number / zoneCount) % 2 // versionOf is then the second version
		if err := d.startRunner(number, 1-generation); err != nil {
			d.report("runner %d does not start: %v", number, err)
		}
	}
}

// misleadEdge lets streams of a new version begin at other edges while one edge falls behind, breaks them
// off, and steers their callers to the edge that is behind while the storage nodes stand still.
func (d *Day) misleadEdge(behind *process, others []*process, how outOfStep, endpoints *steeredEndpoints) {
	endpoints.steerTo(others...)
	d.store.SetMachineFault(behind.name, standin.StoreFault{Silent: true})
	if how.standsStill > 0 {
		d.sendSignal(behind, syscall.SIGSTOP)
	}
	time.Sleep(how.cutOff + how.standsStill - newVersionTime)
	d.joinNewVersion()
	time.Sleep(newVersionTime)
	resumeStorages := d.suspendStorages()
	d.report("the streams of %s break off", others[0].name)
	var kills tasks.Group
	for _, edge := range others {
		kills.Go(func() { d.signal(edge, syscall.SIGKILL) })
	}
	kills.Wait()
	endpoints.steerTo(behind)
	if how.standsStill > 0 {
		time.Sleep(listingTime) // the callers have asked
		d.sendSignal(behind, syscall.SIGCONT)
	}
	time.Sleep(storageStandstill)
	resumeStorages()
	d.store.SetMachineFault(behind.name, standin.StoreFault{})
	for _, edge := range others {
		if err := d.start(edge); err != nil {
			d.tally.RecordViolation("%s does not start: %v", edge.name, err)
		}
	}
}

// suspendStorages suspends the storage nodes. It returns a function that resumes them.
func (d *Day) suspendStorages() (end func()) {
	for _, storage := range d.nodesOf("storage") {
		d.sendSignal(storage, syscall.SIGSTOP)
	}
	return func() {
		for _, storage := range d.nodesOf("storage") {
			d.sendSignal(storage, syscall.SIGCONT)
		}
	}
}

// String describes how the edge falls behind.
func (o outOfStep) String() string {
	if o.cutOff > 0 {
		return fmt.Sprintf("an edge is cut off from the store for %v", o.cutOff)
	}
	return fmt.Sprintf("an edge stands still for %v", o.standsStill)
}

const (
	// outOfStepShare is the fraction of soaks in which edges are out of step.
	outOfStepShare = 0.3
	// steeredClients is the number of clients whose streams are resumed at such an edge, and
	// steeredTime is how long they are steered there.
	steeredClients = 4
	steeredTime    = 1500 * time.Millisecond
	// maxStandstill is the longest time for which such an edge is cut off or stands still.
	maxStandstill = 5 * time.Second
)

// keepEdgesOutOfStep repeatedly lets an edge fall behind while a runner of another version joins, breaks
// off streams elsewhere, and steers their callers to the edge, until the context ends.
func (s *soak) keepEdgesOutOfStep(ctx context.Context, streams *standin.StreamTally, random *rand.Rand) {
	endpoints := &steeredEndpoints{}
	endpoints.steerTo(s.nodesOf("edge")...)
	var clients tasks.Group
	defer clients.Wait()
	for number := range steeredClients {
		client := &standin.ResumingClient{
			Endpoints: endpoints, Tally: s.tally, Streams: streams, Host: host, Prefix: standin.EventsPrefix,
			Random: rand.New(rand.NewPCG(random.Uint64(), uint64(number))),
		}
		clients.Go(func() { client.Run(ctx, fmt.Sprintf("steered%d", number)) })
	}
	for joined := 0; ctx.Err() == nil; joined++ {
		sleepUpTo(ctx, random, maxDisruptionPause)
		s.runDisruption(ctx, random, func(ctx context.Context, random *rand.Rand) {
			s.letEdgeFallBehind(ctx, random, endpoints, s.Runners+joined)
		})
		endpoints.steerTo(s.nodesOf("edge")...)
	}
}

// letEdgeFallBehind cuts an edge off from the store, or suspends it as well, while the runner of the given
// number joins and another edge is killed. The callers ask the edge that is behind then.
func (s *soak) letEdgeFallBehind(ctx context.Context, random *rand.Rand, endpoints *steeredEndpoints, number int) {
	length := newVersionTime + time.Duration(random.Float64()*float64(maxStandstill))
	s.onFreeNode("edge", random, func(behind *process) {
		suspended := random.IntN(2) == 0
		s.store.SetMachineFault(behind.name, standin.StoreFault{Silent: true})
		defer s.store.SetMachineFault(behind.name, standin.StoreFault{})
		if suspended {
			s.sendSignal(behind, syscall.SIGSTOP)
			defer s.sendSignal(behind, syscall.SIGCONT)
		}
		pause.For(ctx, length-newVersionTime)
		if err := s.startRunner(number, random.IntN(s.SoftwareVersions)); err != nil {
			s.report("runner %d does not start: %v", number, err)
		}
		pause.For(ctx, newVersionTime)
		s.onFreeNode("edge", random, func(other *process) {
			s.signal(other, syscall.SIGKILL)
			endpoints.steerTo(behind)
			if suspended {
				s.sendSignal(behind, syscall.SIGCONT)
			}
			pause.For(ctx, steeredTime)
			if err := s.start(other); err != nil {
				s.tally.RecordViolation("%s does not start: %v", other.name, err)
			}
		})
	})
}
