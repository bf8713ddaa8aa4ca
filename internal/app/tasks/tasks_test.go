package tasks

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestWaitReturnsAfterAllTasks(t *testing.T) {
	is := is.New(t)
	var group Group
	var ended atomic.Int64
	release := make(chan struct{})
	for range 8 {
		is.True(group.Go(func() {
			<-release
			ended.Add(1)
		}))
	}
	close(release)
	group.Wait()
	is.Equal(ended.Load(), int64(8))
}

func TestNoTaskStartsAfterWait(t *testing.T) {
	is := is.New(t)
	var group Group
	group.Wait()
	is.True(!group.Go(func() { t.Error("ran") }))
	group.Wait()
}

// panicVariable is the environment variable that makes the child process of this test panic
// in a task.
const panicVariable = "COBALTRAMP_TEST_PANIC"

// A panic must end the process with its stack even if nothing waits for the group.
func TestPanicEndsTheProcess(t *testing.T) {
	is := is.New(t)
	if os.Getenv(panicVariable) != "" {
		var group Group
		group.Go(panicInTask)
		select {}
	}
	command := exec.Command(os.Args[0], "-test.run", "^TestPanicEndsTheProcess$")
	command.Env = append(os.Environ(), panicVariable+"=1")
	output, err := command.CombinedOutput()
	var ended *exec.ExitError
	is.True(errors.As(err, &ended))
	is.Equal(ended.ExitCode(), panicExitCode)
	is.True(strings.Contains(string(output), "a defect in a task")) // the value
	is.True(strings.Contains(string(output), "panicInTask"))        // the stack
}

func panicInTask() { panic("a defect in a task") }
