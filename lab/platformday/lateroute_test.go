package platformday

import (
	"os"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// latePrefix is the path prefix of a batch route that is added while the test runs.
	latePrefix = "/late/"
	// configurationAge is how long the first configuration has been active before the change.
	configurationAge = 5 * time.Second
	// silentBefore is the time from the beginning of the store's silence to the change, and
	// submittedAfter the time from the change to the job.
	silentBefore, submittedAfter = 300 * time.Millisecond, 100 * time.Millisecond
)

// Guards against accepted items that end unrun (review/1): the store serves the storage nodes
// nothing while a batch route is added, and an edge that knows the route accepts a job on it.
func TestJobOnRouteThatStorageNodesDoNotKnowYet(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	d, err := open(t.Context(), Options{Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	time.Sleep(configurationAge)
	d.setStorageFault(standin.StoreFault{Silent: true})
	time.Sleep(silentBefore)
	d.store.PutConfig(standin.DayConfig(host, 4, latePrefix))
	time.Sleep(submittedAfter)
	bodies := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	d.await(t, "the acceptance of the job", func(poll int) bool { return d.client(poll%d.Edges).SubmitTo(latePrefix, "late", bodies) })
	var completed, dead int
	d.await(t, "the results of the job", func(poll int) bool {
		completed, dead = d.client(poll % d.Edges).ListedItems("late")
		return completed+dead == len(bodies)
	})
	if dead > 0 {
		t.Errorf("%d items ended unrun, %d were completed\n%s", dead, completed, logTails(folder))
	}
}
