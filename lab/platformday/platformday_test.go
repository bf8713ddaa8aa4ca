package platformday

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// No fault of a short day may cause a violation, and every accepted item must get a
// result.
func TestShortDayCausesNoViolations(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	tally, err := Run(context.Background(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Length: 12 * time.Second, PerSecond: 20, Progress: os.Stderr,
	})
	is.NoErr(err)
	if len(tally.Violations) > 0 {
		t.Fatalf("%v\n%s", tally.Violations, logTails(folder))
	}
	is.True(tally.Served > 0)
	is.True(tally.JobsAccepted > 0)
}
