package platformday

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Overlapping disruptions must not cause violations. Longer soaks are started by hand; see
// docs/LAB.md.
func TestShortSoaksCauseNoViolations(t *testing.T) {
	program := build(t, t.TempDir())
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // beside the other seeds only
			is := is.New(t)
			folder := t.TempDir()
			tally, err := Soak(context.Background(), SoakOptions{
				Options: Options{Program: program, Folder: folder, Seed: seed, Length: 8 * time.Second, Progress: os.Stderr, Edges: 3, Storages: 3, Runners: 6},
				Kept:    12, Disturbers: 3,
			})
			is.NoErr(err)
			if len(tally.Violations) > 0 {
				t.Fatalf("%v\n%s", tally.Violations, logsOf(tally.Violations, folder))
			}
			is.True(tally.Served > 0)
			is.True(tally.JobsAccepted > 0)
		})
	}
}
