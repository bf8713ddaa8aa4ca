package platformday

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A short day with every fault of the list, against real processes: no promise
// is broken, and every taken item gets its result.
func TestShortDay(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	tally, err := Play(context.Background(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Length: 12 * time.Second, PerSecond: 20, Progress: os.Stderr,
	})
	is.NoErr(err)
	if len(tally.Violations) > 0 {
		t.Fatalf("%v\n%s", tally.Violations, lastLines(folder))
	}
	is.True(tally.Served > 0)
	is.True(tally.JobsTaken > 0)
}
