package platformday

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// threadStates describes what the threads of a process do: their state (for instance S for
// sleeping, D for waiting in the kernel without interruption), the function of the kernel in which
// they wait, and their number. It tells a process that waits in its own code from one that the
// kernel holds.
func threadStates(pid int) string {
	folders, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid)) // the pattern is valid
	counts := map[string]int{}
	for _, folder := range folders {
		counts[threadState(folder)]++
	}
	var states []string
	for state, count := range counts {
		states = append(states, fmt.Sprintf("%d %s", count, state))
	}
	slices.Sort(states)
	return strings.Join(states, ", ")
}

// threadState returns the state of a thread and the function of the kernel in which it waits. What
// can't be read, because the thread has ended, is left out.
func threadState(folder string) string {
	status, _ := os.ReadFile(filepath.Join(folder, "status"))
	waitsIn, _ := os.ReadFile(filepath.Join(folder, "wchan"))
	state := "ended"
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "State:"); found {
			state = strings.TrimSpace(value)
		}
	}
	return strings.TrimSpace(state + " " + string(waitsIn))
}
