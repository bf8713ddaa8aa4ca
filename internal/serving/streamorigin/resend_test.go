package streamorigin

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
)

// Guards against streams that can't go on because they began before their node knew a storage
// node, as in the first seconds after all nodes start.
func TestRecordIsSentAgainUntilAHolderConfirmsIt(t *testing.T) {
	is := is.New(t)
	edges, disks := startFleet(t)
	edge := startNode(t, "edge-c", "")
	edge.runners.Replace(edges[0].runnersOfTwoVersions())
	recording := edge.Record(t.Context(), Stream{Key: KeyOf(testContent, "early"), ID: "early", Window: minWindow}, Record{Origin: Origin{"s", "v2"}, Sequence: 1})
	recording.Await(t.Context())
	<-recording.ended
	_, err := resolve(edges[0], "early", testContent)
	is.True(err != nil) // no storage node is known to the edge

	for _, disk := range disks {
		edge.directory.Put(disk.directory.Self())
	}
	is.Equal(resolveKnown(t, edges[0], "early"), Origin{"s", "v2"})
}

// A record of a stream that has ended needs no holder, and is not sent again.
func TestRecordIsNotSentAgainAfterItsStream(t *testing.T) {
	edge := startNode(t, "edge-c", "")
	edge.runners.Replace(edge.runnersOfTwoVersions())
	ctx, end := context.WithCancel(t.Context())
	recording := edge.Record(ctx, Stream{Key: KeyOf(testContent, "short"), ID: "short", Window: minWindow}, Record{Origin: Origin{"s", "v2"}, Sequence: 1})
	<-recording.ended
	end()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		edge.sending.Wait()
	}()
	eventually.Require(t, "nothing is sent any more", func() bool {
		select {
		case <-sent:
			return true
		default:
			return false
		}
	})
}
