// Stand runs the cases of the review: it starts the project's own programs before stand-ins of
// the platform, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// verdict is what a case has seen.
type verdict struct {
	broken bool
	reason string
}

// scenario is a case. Trouble is false if it runs without its disruption.
type scenario func(ctx context.Context, d *deployment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{"late-route": lateRoute, "unframed": unframed, "crashes": crashes}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, serveRunner(os.Args[2], os.Args[3], os.Args[4] == "true"))
		os.Exit(2)
	}
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit status.
func run(do scenario, program, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, started: time.Now()}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		record.line("could not run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Fprintln(os.Stderr, filepath.Clean(folder))
	}
	d := &deployment{program: program, folder: folder, record: record, store: standin.NewStore()}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	seen, err := do(ctx, d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.line("could not run: %v", err)
		return 2
	case seen.broken:
		record.line("BROKEN: %s", seen.reason)
		return 1
	default:
		record.line("HELD: %s", seen.reason)
		return 0
	}
}
