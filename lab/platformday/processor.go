package platformday

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period of a processor quota, and quotaPoll the interval at which the
	// use is read.
	quotaPeriod = 100 * time.Millisecond
	quotaPoll   = 2 * time.Millisecond
)

// limitProcessor emulates a processor quota until the context ends: the process of a node runs
// at full speed until it has used its share of each quotaPeriod, and then stands until the end
// of the period. It ends as well when the process does.
func (d *Day) limitProcessor(ctx context.Context, p *process, share float64) {
	pid := p.incarnation.command.Process.Pid
	quota := time.Duration(share * float64(quotaPeriod))
	used, err := processorTime(pid)
	for ctx.Err() == nil && err == nil {
		end := time.Now().Add(quotaPeriod)
		limit := used + quota
		for time.Now().Before(end) && used < limit && err == nil {
			time.Sleep(quotaPoll)
			used, err = processorTime(pid)
		}
		if rest := time.Until(end); rest > 0 {
			_ = syscall.Kill(pid, syscall.SIGSTOP) // fails only if the process has exited
			time.Sleep(rest)
			_ = syscall.Kill(pid, syscall.SIGCONT)
		}
	}
}

// processorTime returns the processor time that all threads of a process have used.
func processorTime(pid int) (time.Duration, error) {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	total := time.Duration(0)
	for _, thread := range threads {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, thread.Name()))
		if err != nil {
			continue // the thread has just exited
		}
		running, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(running, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(nanoseconds)
	}
	return total, nil
}
