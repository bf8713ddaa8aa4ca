package platformday

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// injectFaults injects each fault once, in random order, at equal intervals over the day.
func (d *Day) injectFaults(ctx context.Context, random *rand.Rand) {
	faults := []func(){d.killEdge, d.killStorage, d.wipeStorage, d.stopEdge, d.makeStoreUnresponsive, d.crashRunner, d.drainRunner, d.injectRunnerFault}
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	pause := d.Length / time.Duration(len(faults)+1)
	for _, fault := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		fault()
	}
}

func (d *Day) killEdge() { d.restart(d.firstNode("edge"), syscall.SIGKILL) }

func (d *Day) stopEdge() { d.restart(d.nodes[1], syscall.SIGTERM) }

func (d *Day) killStorage() { d.restart(d.firstNode("storage"), syscall.SIGKILL) }

func (d *Day) wipeStorage() {
	p := d.nodes[d.Edges+1]
	d.signal(p, syscall.SIGKILL)
	d.report("%s loses its disk", p.name)
	if err := os.RemoveAll(p.dataFolder); err != nil {
		d.report("%s keeps its disk: %v", p.name, err)
	}
	if err := d.start(p); err != nil {
		d.report("%s does not start: %v", p.name, err)
	}
}

// storeOutage is how long the store does not respond.
const storeOutageDuration = 1500 * time.Millisecond

func (d *Day) makeStoreUnresponsive() {
	d.report("the store is silent")
	d.store.SetFault(standin.StoreFault{Silent: true})
	d.runAfter(storeOutageDuration, func() { d.store.SetFault(standin.StoreFault{}) })
}

func (d *Day) crashRunner() {
	d.report("a runner crashes")
	d.runner(0).Crash()
	d.runAfter(time.Second, func() {
		d.runner(0).Stop()
		d.restartRunner(0)
	})
}

func (d *Day) drainRunner() {
	d.report("a runner drains")
	d.runner(1).Drain()
	d.runAfter(3*time.Second, func() {
		d.restartRunner(1)
		d.runner(1).Stop()
	})
}

// restartRunner starts a runner in place of one that a fault stopped.
func (d *Day) restartRunner(number int) {
	if err := d.startRunner(number, 1); err != nil {
		d.report("runner %d does not start: %v", number, err)
	}
}

func (d *Day) injectRunnerFault() {
	d.report("a runner spoils answers")
	d.runner(2).SetFault(standin.RunnerFault{LoseResponse: 0.1, TruncateStream: 0.1, ExtraResponse: 0.1, ServerError: 0.05, LateRefusal: 0.1})
}
