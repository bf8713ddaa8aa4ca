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
func TestShortSoaksCauseNoViolations(t *testing.T) { checkShortSoaks(t, []uint64{1, 2, 3}, false) }

// TestShortSoaksWithEdgeKillsCauseNoViolations guards against rule TWICE with real processes: a
// stream that may run once, with a body of up to 110 KB, ran at two runners.
func TestShortSoaksWithEdgeKillsCauseNoViolations(t *testing.T) {
	checkShortSoaks(t, []uint64{71002, 71003}, true)
}

func checkShortSoaks(t *testing.T, seeds []uint64, edgeKills bool) {
	program := build(t, t.TempDir())
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // beside the other seeds only
			is := is.New(t)
			folder := t.TempDir()
			tally, err := Soak(context.Background(), SoakOptions{
				Options: Options{Program: program, Folder: folder, Seed: seed, Length: 8 * time.Second, Progress: os.Stderr, Edges: 3, Storages: 3, Runners: 6},
				Kept:    12, Disturbers: 3, EdgeKills: edgeKills,
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
