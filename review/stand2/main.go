// Stand2 plays the cases of the review that can't be put as days of the bench: it starts the
// product's own programs as processes on loopback addresses, before stand-ins of the platform,
// the runners and the clients, and judges what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// line adds a line with the time since the start.
func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// scene is what a case needs to run.
type scene struct {
	folder, program string
	trouble         bool
	record          *record
}

// cases are the cases by name. A case returns whether the rule was broken, or an error if it
// could not run.
var cases = map[string]func(*scene) (bool, error){
	"first-start":  playFirstStart,
	"replaced":     playReplaced,
	"retire-again": playRetireAgain,
	"retiring":     playRetiring,
	"unsealed":     playUnsealed,
}

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the name of the case")
	program := flag.String("program", "", "the product's program")
	recordFile := flag.String("record", "", "the file for the record")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no case", *name)
		return exitCannotRun
	}
	file, err := os.Create(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	s := &scene{folder: folder, program: *program, trouble: os.Getenv("TROUBLE") != "0", record: &record{file: file, started: time.Now()}}
	s.record.line("case %s, trouble %v", *name, s.trouble)
	broken, err := play(s)
	code := exitHeld
	switch {
	case err != nil:
		s.record.line("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		s.record.line("the rule was broken")
		code = exitBroken
	default:
		s.record.line("the rule held")
	}
	fmt.Println(*name, "exits with", code)
	return code
}
