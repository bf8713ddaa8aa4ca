package platformday

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one node of the product, over all its lives.
type process struct {
	name, role, settings string
	callers, readiness   string
	// peers is where other nodes and operators reach an edge.
	peers string
	data  string
	// ready is what the node last said of itself; the day's mutex covers it.
	ready bool

	mutex sync.Mutex
	life  *life
	// harmed is when the node was last killed or stood still: what is cut then is no
	// fault of the node's.
	harmed time.Time
}

// life is one start of a process.
type life struct {
	command *exec.Cmd
	began   time.Time
	// ended closes when the process is gone.
	ended chan struct{}
	// asked: a signal was sent that ends it.
	asked bool
}

func (d *Day) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(d.Program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	d.mutex.Lock()
	p.ready = false // until it says so itself
	d.mutex.Unlock()
	d.say("%s starts", p.name)
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	next := &life{command: command, began: time.Now(), ended: make(chan struct{})}
	p.mutex.Lock()
	p.life = next
	p.mutex.Unlock()
	d.processes.Go(func() {
		err := command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		asked := next.asked
		p.mutex.Unlock()
		if !asked {
			d.tally.RecordViolation("%s ended by itself: %v", p.name, err)
		}
		close(next.ended)
	})
	return nil
}

// ask sends a signal without waiting for what comes of it.
func (d *Day) ask(p *process, signal syscall.Signal) *life {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := p.life
	if current == nil {
		return nil
	}
	switch signal {
	case syscall.SIGKILL:
		p.harmed, current.asked = time.Now(), true
	case syscall.SIGTERM:
		current.asked = true
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.harmed = time.Now()
	}
	select {
	case <-current.ended:
	default:
		d.say("%s gets %v", p.name, signal)
		_ = current.command.Process.Signal(signal) // one that has just ended needs none
	}
	return current
}

// signal sends a signal that ends the process, and waits until it is gone.
func (d *Day) signal(p *process, signal syscall.Signal) {
	if current := d.ask(p, signal); current != nil {
		<-current.ended
	}
}

// harmedSince reports whether the node was killed or stood still after a moment, or
// was not there.
func (p *process) harmedSince(then time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.harmed.After(then)
}
