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
}

// Execute implements flags.Commander.
func (c *platformDayCommand) Execute([]string) error {
	if c.Folder == "" {
		folder, err := os.MkdirTemp("", "cobaltramp-day-")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		c.Folder = folder
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	if c.Program == "" {
		c.Program = filepath.Join(c.Folder, "cobaltramp")
		if built, err := exec.Command("go", "build", "-o", c.Program, "./cmd/cobaltramp").CombinedOutput(); err != nil {
			return trace.BadParameter("building the product: %v: %s", err, built)
		}
	}
	tally, err := platformday.Play(context.Background(), platformday.Options{
		Program: c.Program, Folder: c.Folder, Seed: c.Seed, Length: c.Length, PerSecond: c.PerSecond, Progress: os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Println(tally.Summary())
	fmt.Println("settings, data and logs:", c.Folder)
	for _, broken := range tally.Broken {
		fmt.Println("broken:", broken)
	}
	if len(tally.Broken) > 0 {
		return trace.BadParameter("%d promises were broken", len(tally.Broken))
	}
	return nil
}
