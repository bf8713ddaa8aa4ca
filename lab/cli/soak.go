package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/platformday"
)

type soakCommand struct {
	Program    string        `long:"program" description:"path of the cobaltramp binary; built from this checkout if left out"`
	Folder     string        `long:"folder" description:"where settings, data and logs go; a temporary folder if left out"`
	Seed       uint64        `long:"seed" default:"1" description:"the first seed; it draws what happens when"`
	Seeds      int           `long:"seeds" default:"1" description:"how many seeds are played, one after the other from the first"`
	AtOnce     int           `long:"at-once" default:"1" description:"how many seeds are played at the same time"`
	Length     time.Duration `long:"length" default:"20s" description:"how long callers send in each"`
	Edges      int           `long:"edges" default:"3" description:"edge processes"`
	Storages   int           `long:"storages" default:"3" description:"storage processes"`
	Runners    int           `long:"runners" default:"6" description:"stand-in runners"`
	Kept       int           `long:"kept" default:"24" description:"callers that keep a connection"`
	Disturbers int           `long:"disturbers" default:"3" description:"series of signals, restarts and changes that run at the same time"`
	EdgeKills  bool          `long:"edge-kills" description:"also kill and suspend several edges at once, reset connections to runners, and start runners again at their addresses"`
	Leaders    bool          `long:"leader-changes" description:"also suspend, kill and stop one storage node after the other"`
	OutOfStep  bool          `long:"out-of-step" description:"also let edges fall behind while runners of another version join, and steer callers to them"`
	Losses     bool          `long:"power-losses" description:"also end all processes at once, several times, with the disk of one storage node"`
	Hasty      bool          `long:"hasty-restarts" description:"after each such end, processes start before the earlier ones have ended"`
	Unsynced   bool          `long:"lose-unsynced" description:"storage processes lose what they have not synced when they are killed"`
	Storage    string        `long:"storage-program" description:"path of the binary of storage processes; with --lose-unsynced built from this checkout if left out"`
	Verbose    bool          `long:"events" description:"print what happens"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	folder, program, err := prepareFolder(c.Folder, c.Program)
	if err != nil {
		return err
	}
	if c.Unsynced && c.Storage == "" {
		c.Storage = filepath.Join(folder, "cobaltramp-lab-storage")
		if err := buildProgram(c.Storage, "./cmd/cobaltramp-lab-storage"); err != nil {
			return err
		}
	}
	var soaks tasks.Group
	var failed atomic.Int64
	slots := make(chan struct{}, max(1, c.AtOnce))
	for number := range max(1, c.Seeds) {
		slots <- struct{}{}
		soaks.Go(func() {
			defer func() { <-slots }()
			if !c.playSeed(c.Seed+uint64(number), folder, program) {
				failed.Add(1)
			}
		})
	}
	soaks.Wait()
	fmt.Printf("%d seeds played, %d with a broken promise\n", max(1, c.Seeds), failed.Load())
	if failed.Load() > 0 {
		return trace.CompareFailed("promises were broken; settings, data and logs: %s", folder)
	}
	return os.RemoveAll(folder)
}

// playSeed runs the soak test with one seed and reports whether it passed. The folder of
// a failed run is kept.
func (c *soakCommand) playSeed(seed uint64, folder, program string) bool {
	own := filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(own, 0o755); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	events, err := os.Create(filepath.Join(own, "events.txt"))
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	defer func() { _ = events.Close() }()
	options := platformday.SoakOptions{
		Options: platformday.Options{
			Program: program, StorageProgram: c.Storage, Folder: own, Seed: seed, Length: c.Length, Progress: events, Edges: c.Edges, Storages: c.Storages, Runners: c.Runners,
		},
		Kept: c.Kept, Disturbers: c.Disturbers, EdgeKills: c.EdgeKills, LeaderChanges: c.Leaders, OutOfStep: c.OutOfStep, PowerLosses: c.Losses, HastyRestarts: c.Hasty,
	}
	if c.Verbose {
		options.Progress = os.Stdout
	}
	tally, err := platformday.Soak(context.Background(), options)
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %s\n", seed, tally.Summary())
	printViolations(seed, tally.Violations, events)
	if len(tally.Violations) == 0 {
		_ = os.RemoveAll(own) // a folder that remains does not affect the result
	}
	return len(tally.Violations) == 0
}

// printedViolations is the number of different violations that are printed of a seed.
const printedViolations = 40

// printViolations prints different violations, each once with its number, and writes all to the events
// of the seed: a job that is gone is found at each read.
func printViolations(seed uint64, violations []string, events io.Writer) {
	counts := map[string]int{}
	var different []string
	for _, violation := range violations {
		fmt.Fprintf(events, "broken: %s\n", violation)
		if counts[violation]++; counts[violation] == 1 {
			different = append(different, violation)
		}
	}
	for _, violation := range different[:min(len(different), printedViolations)] {
		fmt.Printf("seed %d: broken (%d times): %s\n", seed, counts[violation], violation)
	}
	if more := len(different) - printedViolations; more > 0 {
		fmt.Printf("seed %d: %d more in events.txt\n", seed, more)
	}
}
