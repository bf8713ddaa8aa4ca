package platformday

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLossesOfPowerLoseNothing guards against the loss of accepted jobs, with real processes: when all nodes ended at the
// same moment and one disk was lost, jobs that had been accepted could not be read any more.
func TestLossesOfPowerLoseNothing(t *testing.T) {
	program, storageProgram := build(t, t.TempDir()), buildStorage(t, t.TempDir())
	for seed, hasty := range map[uint64]bool{74001: false, 74002: true} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // beside the other seed only
			is := is.New(t)
			folder := t.TempDir()
			tally, err := Soak(context.Background(), SoakOptions{
				Options: Options{Program: program, StorageProgram: storageProgram, Folder: folder, Seed: seed, Length: 2 * time.Second, Progress: os.Stderr, Edges: 3, Storages: 4, Runners: 6},
				Kept:    4, PowerLosses: true, HastyRestarts: hasty,
			})
			is.NoErr(err)
			if len(tally.Violations) > 0 {
				t.Fatalf("%v\n%s", tally.Violations, logsOf(tally.Violations, folder))
			}
			is.True(tally.PowerLosses > 1)
			is.True(tally.JobsAccepted > 0)
		})
	}
}

// buildStorage builds the storage node whose disk loses what was not synced.
func buildStorage(t *testing.T, folder string) string {
	t.Helper()
	program := filepath.Join(folder, "cobaltramp-lab-storage")
	if built, err := exec.Command("go", "build", "-o", program, "../../cmd/cobaltramp-lab-storage").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, built)
	}
	return program
}

// A logWatch returns the line that was written after its creation, and none that was there before.
func TestLogWatchReturnsNewLines(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "storage-1.log")
	is.NoErr(os.WriteFile(path, []byte(swapLine+"\n"), 0o644))
	watch := watchLogs(folder)
	log, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	defer func() { _ = log.Close() }()
	_, err = log.WriteString(handOverLine + "\n")
	is.NoErr(err)
	is.Equal(watch.await(t.Context(), []string{swapLine, handOverLine}), handOverLine)
}
