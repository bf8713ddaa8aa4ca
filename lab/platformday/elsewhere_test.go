package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// leavingStreams is the number of streams whose callers go on at another edge.
	leavingStreams = 16
	// slowEventInterval makes a stream last 6 s.
	slowEventInterval = 200 * time.Millisecond
	// edgeDisruption is how long the first edge has no processor time, or too little.
	edgeDisruption = 1600 * time.Millisecond
	// scarceShare is the share of a processor of an edge with too little processor time.
	scarceShare = 0.05
)

// elsewhereTest has two edges. Callers begin their streams at the first, leave, and go on at the second.
type elsewhereTest struct {
	*Day
	first, second standin.NodeClient
}

// run reads the streams: two events at the first edge, two further ones at the second. The
// disruption of the first edge begins before the callers leave it.
func (test *elsewhereTest) run(ctx context.Context, disrupt func()) {
	var begun, readers tasks.Group
	left := make(chan struct{})
	for number := range leavingStreams {
		stream := fmt.Sprint("stream", number)
		begin, leave := context.WithCancel(ctx)
		began := make(chan struct{})
		readers.Go(func() {
			test.first.ReadPart(begin, standin.StreamPart{Stream: stream, ID: stream + ".0", Until: 30})
		})
		begun.Go(func() {
			defer close(began)
			for ctx.Err() == nil && !test.hasSent(stream+".0", 2) {
				time.Sleep(listingTime / 10)
			}
		})
		readers.Go(func() {
			<-began
			<-left
			leave()
			test.second.ReadPart(ctx, standin.StreamPart{Stream: stream, ID: stream + ".1", Resumes: stream + ".0", After: 2, Until: 4})
		})
	}
	begun.Wait()
	disrupt()
	close(left)
	readers.Wait()
}

// hasSent reports whether a runner has sent an event of a request.
func (test *elsewhereTest) hasSent(id string, event int64) bool {
	runs := test.ledger.Runs(id)
	return len(runs) > 0 && runs[0].Sent >= event
}

// firstRunsEnded reports whether all runs at the first edge have ended.
func (test *elsewhereTest) firstRunsEnded() bool {
	for number := range leavingStreams {
		runs := test.ledger.Runs(fmt.Sprintf("stream%d.0", number))
		if len(runs) == 0 || runs[0].EndedAt.IsZero() {
			return false
		}
	}
	return true
}

// TestFirstRunEndsWhenItsCallerGoesOnElsewhere guards against rule TWICE: a caller goes on with its
// stream at another edge, while the first edge has no processor time, or too little. The first run
// has to end as soon as that edge runs, and not with its stream.
func TestFirstRunEndsWhenItsCallerGoesOnElsewhere(t *testing.T) {
	program := build(t, t.TempDir())
	for name, disrupt := range map[string]func(ctx context.Context, d *Day){
		"live": func(context.Context, *Day) {},
		"suspended": func(_ context.Context, d *Day) {
			d.sendSignal(d.nodes[0], syscall.SIGSTOP)
			d.runAfter(edgeDisruption, func() { d.sendSignal(d.nodes[0], syscall.SIGCONT) })
		},
		"little processor time": func(ctx context.Context, d *Day) {
			limited, cancel := context.WithTimeout(ctx, edgeDisruption)
			d.background.Go(func() {
				defer cancel()
				d.limitProcessor(limited, d.nodes[0], scarceShare)
			})
			d.background.Go(func() { d.loadEdge(limited, 0) })
			time.Sleep(edgeDisruption / 2) // until the share is used up
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := open(t.Context(), Options{
				Program: program, Folder: t.TempDir(), Seed: 1, Progress: os.Stderr, Edges: 2, Storages: 3, Runners: 6, EventInterval: slowEventInterval,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer d.close()
			test := &elsewhereTest{Day: d, first: standin.NodeClient{Address: d.nodes[0].callerAddress, Host: host}, second: standin.NodeClient{Address: d.nodes[1].callerAddress, Host: host}}
			test.run(t.Context(), func() { disrupt(t.Context(), d) })
			eventually.Require(t, "the first runs end", test.firstRunsEnded)
			for _, overlap := range d.ledger.Overlaps() {
				t.Logf("%s: %v at %s after %s had begun", overlap.Stream, overlap.Length.Round(time.Millisecond), overlap.First.Runner, overlap.Second.Runner)
				if overlap.FirstCompleted {
					t.Errorf("%s: the first run went on to its end", overlap.Stream)
				}
			}
		})
	}
}

// loadEdge sends requests to an edge on many connections until the context ends.
func (d *Day) loadEdge(ctx context.Context, number int) {
	var clients tasks.Group
	for client := range resumingCallers {
		persistent := d.persistentClient(rand.New(rand.NewPCG(d.Seed, uint64(client))))
		persistent.Endpoints = oneEndpoint(d.nodes[number].callerAddress)
		clients.Go(func() { persistent.Run(ctx, fmt.Sprintf("load%d", client)) })
	}
	clients.Wait()
}

// oneEndpoint is the address of the only node that callers use.
type oneEndpoint string

// Addresses implements standin.Endpoints.
func (e oneEndpoint) Addresses() []string { return []string{string(e)} }
