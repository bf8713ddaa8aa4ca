package platformday

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a node; it outlives the restarts of its operating system process.
type process struct {
	name, role, settings            string
	callerAddress, readinessAddress string
	// peerAddress is the address of the node for other nodes; operators use that of an edge.
	peerAddress string
	dataFolder  string
	// metricsAddress is the address of the node's metrics.
	metricsAddress string
	// ready is the result of the last readiness probe, guarded by the mutex of the Day.
	ready bool

	mutex sync.Mutex
	// incarnation is nil until the node is first started.
	incarnation *incarnation
	// supervised is set while an exit without a signal is no violation, because the series that
	// started the process starts it again.
	supervised bool
	// disrupted is when the node was last killed, suspended or resumed. Interrupted
	// responses at that time are not violations.
	disrupted time.Time
}

// incarnation is one operating system process of a node.
type incarnation struct {
	command *exec.Cmd
	began   time.Time
	// ended is closed when the process has exited.
	ended chan struct{}
	// endRequested is true once SIGTERM or SIGKILL was sent. An exit without one of these
	// signals is a violation.
	endRequested bool
}

// start starts the process of a node.
func (d *Day) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	program := d.Program
	if p.role == "storage" && d.StorageProgram != "" {
		program = d.StorageProgram
	}
	command := exec.Command(program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	if d.Threads > 0 && p.role == "edge" {
		command.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", d.Threads))
	}
	d.mutex.Lock()
	p.ready = false // until the next readiness probe
	d.mutex.Unlock()
	d.report("%s starts", p.name)
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	d.limitDescriptors(p, command.Process.Pid)
	next := &incarnation{command: command, began: time.Now(), ended: make(chan struct{})}
	p.mutex.Lock()
	p.incarnation = next
	p.mutex.Unlock()
	d.processes.Go(func() {
		err := command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		endAllowed := next.endRequested || p.supervised
		p.mutex.Unlock()
		if !endAllowed {
			d.tally.RecordViolation("%s ended by itself: %v", p.name, err)
		}
		close(next.ended)
	})
	return nil
}

// limitDescriptors limits the number of open files of an edge's process.
func (d *Day) limitDescriptors(p *process, pid int) {
	if d.Descriptors == 0 || p.role != "edge" {
		return
	}
	limit := &unix.Rlimit{Cur: uint64(d.Descriptors), Max: uint64(d.Descriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		d.report("%s has no limit of open files: %v", p.name, err)
	}
}

// sendSignal sends a signal to a node and returns its current incarnation.
func (d *Day) sendSignal(p *process, signal syscall.Signal) *incarnation {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := p.incarnation
	if current == nil {
		return nil
	}
	switch signal {
	case syscall.SIGKILL:
		p.disrupted, current.endRequested = time.Now(), true
	case syscall.SIGTERM:
		current.endRequested = true
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.disrupted = time.Now()
	}
	select {
	case <-current.ended:
	default:
		d.report("%s gets %v", p.name, signal)
		_ = current.command.Process.Signal(signal) // fails only if the process has just exited
	}
	return current
}

// signal sends a signal that ends the process of a node, and waits for its exit.
func (d *Day) signal(p *process, signal syscall.Signal) {
	if current := d.sendSignal(p, signal); current != nil {
		<-current.ended
	}
}

// disruptedSince reports whether the node was killed, suspended or resumed after a point
// in time.
func (p *process) disruptedSince(then time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disrupted.After(then)
}

// running reports whether the process of a node runs, also while it is suspended.
func (p *process) running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.incarnation == nil {
		return false
	}
	select {
	case <-p.incarnation.ended:
		return false
	default:
		return true
	}
}

func (p *process) setSupervised(supervised bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.supervised = supervised
}

// expectEnd notes that the current process of a node is about to be killed.
func (p *process) expectEnd() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.disrupted = time.Now()
	if p.incarnation != nil {
		p.incarnation.endRequested = true
	}
}

// endRequested reports whether the last process of a node was asked to end.
func (p *process) endRequested() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.incarnation != nil && p.incarnation.endRequested
}
