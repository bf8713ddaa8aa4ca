package streamorigin

import (
	"testing"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// changedRunner is oldRunner, which has come back under its ID with the new version.
var changedRunner = runnerset.Record{ID: oldRunner.ID, Service: "s", Version: "v2"}

// Guards against texts of two versions after a runner came back under its ID with another version: an edge that had not
// listed that yet recorded a stream of the new version as one of the old version.
func TestRecordOfAChangedRunnerProvesNothing(t *testing.T) {
	for _, resumedAt := range []string{"the edge that began the stream", "another edge"} {
		for _, knows := range []string{"edges", "holders"} {
			t.Run(resumedAt+", "+knows+" know", func(t *testing.T) {
				is := is.New(t)
				edges, disks := startFleet(t)
				beginConfirmed(t, edges[0], "first", "v1", 1) // runner a, which runs v2
				beginConfirmedAt(t, edges[0], "second", "v2", "b")
				current := edges
				if knows == "holders" {
					current = disks
				}
				for _, node := range current {
					list(node, changedRunner, newRunner)
				}
				resumed := edges[1]
				if resumedAt == "the edge that began the stream" {
					resumed = edges[0]
				}
				if knows == "holders" { // the edge can't know it
					resumed.contact.currentAt.Store(neverCurrent)
				}
				_, err := resolve(resumed, "first", testContent)
				is.Equal(result.CodeOf(err), result.StreamNotResumed)
				is.Equal(resolveKnown(t, resumed, "second"), Origin{"s", "v2"})
			})
		}
	}
}
