// Package tasks runs the goroutines of a component. Each goroutine has an owner, which starts
// it in a Group, stops it (usually through a context) and waits for it.
package tasks

import (
	"fmt"
	"os"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// panicExitCode is the exit code after a panic, the same as that of the Go runtime.
const panicExitCode = 2

// Group is a set of tasks with the same owner. The zero value is ready to use. A Group must
// not be copied.
type Group struct {
	mutex   sync.Mutex
	closed  bool
	running conc.WaitGroup
}

// Go runs a task in a new goroutine. If Wait has been called, it returns false and does not
// run the task, because the owner is stopping.
//
// A panic in a task prints its stack and ends the process at once. Without that, conc would
// delay the panic until Wait, and the process would continue without the task.
func (g *Group) Go(task func()) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(func() {
		defer exitOnPanic()
		task()
	})
	return true
}

// Wait closes the group to new tasks and returns when all running tasks have ended. A task
// must not call Wait on its own group.
func (g *Group) Wait() {
	g.mutex.Lock()
	g.closed = true
	g.mutex.Unlock()
	g.running.Wait()
}

func exitOnPanic() {
	value := recover()
	if value == nil {
		return
	}
	recovered := panics.NewRecovered(1, value)
	fmt.Fprintln(os.Stderr, recovered.String())
	os.Exit(panicExitCode)
}
