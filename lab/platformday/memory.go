package platformday

import (
	"fmt"
	"os"
	"strings"
)

// peakMegabytes returns the largest amount of memory that the process of a node has occupied since its
// start, in MiB.
func (p *process) peakMegabytes() (int, error) {
	p.mutex.Lock()
	pid := p.incarnation.command.Process.Pid
	p.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	const field = "VmHWM:"
	_, rest, found := strings.Cut(string(status), field)
	if !found {
		return 0, fmt.Errorf("the status of process %d lacks %s", pid, field)
	}
	var kilobytes int
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, err
	}
	return kilobytes >> 10, nil
}
