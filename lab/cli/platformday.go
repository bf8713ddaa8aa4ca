package cli

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/platformday"
)

type platformDayCommand struct {
	Program   string        `long:"program" description:"path of the cobaltramp binary; built from this checkout if left out"`
	Folder    string        `long:"folder" description:"where settings, data and logs go; a temporary folder if left out"`
	Seed      uint64        `long:"seed" default:"1" description:"draws requests and the order of the faults"`
	Length    time.Duration `long:"length" default:"20s" description:"how long callers send"`
	PerSecond int           `long:"per-second" default:"40" description:"requests a second of each kind"`
	Unequal   bool          `long:"unequal-runners" description:"runners that differ in speed and report a contention that varies"`
}

// Execute implements flags.Commander.
func (c *platformDayCommand) Execute([]string) error {
	folder, program, err := prepareFolder(c.Folder, c.Program)
	if err != nil {
		return err
	}
	tally, err := platformday.Run(context.Background(), platformday.Options{
		Program: program, Folder: folder, Seed: c.Seed, Length: c.Length, PerSecond: c.PerSecond, UnequalRunners: c.Unequal,
		Progress: os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Println(tally.Summary())
	fmt.Println("settings, data and logs:", folder)
	for _, violation := range tally.Violations {
		fmt.Println("broken:", violation)
	}
	if len(tally.Violations) > 0 {
		return trace.BadParameter("%d promises were broken", len(tally.Violations))
	}
	return nil
}

// prepareFolder creates the folder of a run, and builds the product there if no program is
// given. It returns the paths of the folder and the program.
func prepareFolder(folder, program string) (string, string, error) {
	if folder == "" {
		temporary, err := os.MkdirTemp("", "cobaltramp-lab-")
		if err != nil {
			return "", "", trace.ConvertSystemError(err)
		}
		folder = temporary
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", "", trace.ConvertSystemError(err)
	}
	if program != "" {
		return folder, program, nil
	}
	program = filepath.Join(folder, "cobaltramp")
	return folder, program, buildProgram(program, "./cmd/cobaltramp")
}

// buildProgram builds a program of this checkout.
func buildProgram(path, source string) error {
	if built, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
		return trace.BadParameter("building %s: %v: %s", source, err, built)
	}
	return nil
}
