package queuestore

import (
	"errors"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// lossBudget limits the disks that are lost. The world's mutex guards it.
type lossBudget struct {
	allowed int
	// lost holds the machines that count as lost: for how long the cluster has been calm
	// since the machine is back, or a negative time while it is down.
	lost    map[string]time.Duration
	soonest bool // see series.soonest
	// disks holds the lost disks, exposed is set while the stored member set has one of them,
	// and exposedFor is for how long it has had one in the calm.
	disks      map[string]bool
	exposed    bool
	exposedFor time.Duration
	longest    time.Duration
}

// countsAsLost is how long a machine without its disk counts as lost after it is back.
const countsAsLost = 4500 * time.Millisecond

func newLossBudget(s *series) lossBudget {
	return lossBudget{allowed: s.diskLosses, soonest: s.soonest, lost: map[string]time.Duration{}, disks: map[string]bool{}}
}

const budgetInterval = 20 * time.Millisecond

// calm reports whether all machines run, and all links and the store are whole.
func (w *searchWorld) calm() bool {
	for _, node := range w.machines() {
		run := w.runAt(node.name)
		if run == nil || run.isSuspended() {
			return false
		}
	}
	return w.store.whole() && w.links.whole()
}

// tickBudget counts the calm time until the world ends.
func (w *searchWorld) tickBudget() {
	for w.context.Err() == nil {
		time.Sleep(budgetInterval)
		calm := w.calm()
		returned := false
		members := w.storedMembers().Members
		w.mutex.Lock()
		b := &w.budget
		for name, quiet := range b.lost {
			switch {
			case quiet < 0:
			case !calm:
				b.lost[name] = 0
			case quiet+budgetInterval >= countsAsLost:
				delete(b.lost, name)
				returned = true
				w.addLine("%s no longer counts as lost", name)
			default:
				b.lost[name] = quiet + budgetInterval
			}
		}
		exposed := false
		for _, member := range members {
			exposed = exposed || b.disks[member]
		}
		b.exposed = exposed
		if exposed && calm {
			b.exposedFor += budgetInterval
			b.longest = max(b.longest, b.exposedFor)
			if b.exposedFor == countsAsLost {
				w.addLine("a lost disk is still a member")
			}
		} else {
			b.exposedFor = 0
		}
		w.mutex.Unlock()
		if runs := w.runs(); returned && len(runs) > 0 {
			w.observe(stepMayLose, runs[0])
		}
	}
}

// disturbed begins the calm times anew. The caller holds the mutex.
func (b *lossBudget) disturbed() {
	b.exposedFor = 0
	for name, quiet := range b.lost {
		b.lost[name] = min(quiet, 0)
	}
}

// mayLose reports whether the disk of a machine may be lost now. The caller holds the mutex.
func (b *lossBudget) mayLose(node *searchNode) bool {
	_, already := b.lost[node.name]
	return already || len(b.lost) < b.allowed && (b.soonest || !b.exposed)
}

// loseDiskLocked ends machines and deletes the disk of one of them, if it may be lost.
func (w *searchWorld) loseDiskLocked(victim *searchNode, others []*searchNode, percent int) {
	if !w.budget.mayLose(victim) {
		w.addLine("%s keeps its disk", victim.name)
		w.crashLocked(append(others, victim), percent)
		return
	}
	if victim.run != nil {
		w.budget.disks[victim.run.db.DiskID()] = true
	}
	w.crashLocked(append(others, victim), percent)
	w.budget.lost[victim.name] = -1
	w.budget.exposed = true
	victim.disk, victim.documents = vfs.NewCrashableMem(), nil
	w.addLine("%s has lost its disk", victim.name)
}

// after runs a function after a time, unless the world ends before.
func (w *searchWorld) after(wait time.Duration, call func()) {
	w.tasks.Go(func() {
		select {
		case <-time.After(wait):
			call()
		case <-w.context.Done():
		}
	})
}

// restartLater starts a machine that is down after a time.
func (w *searchWorld) restartLater(node *searchNode, wait time.Duration) {
	w.after(wait, func() { w.restart(node) })
}

func (w *searchWorld) restart(node *searchNode) {
	if err := w.startRun(node); err != nil {
		w.faultf("%s does not start: %v", node.name, err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if quiet, lost := w.budget.lost[node.name]; lost && quiet < 0 && node.run != nil {
		w.budget.lost[node.name] = 0
	}
}

// leadingNode returns the machine of a leader, or nil.
func (w *searchWorld) leadingNode() *searchNode {
	for _, run := range w.runs() {
		if s := run.storage.shard(0); s != nil && !run.isSuspended() {
			leads := false
			_ = s.RunInLoop(run.context, func() { leads = s.Replica.Role() == replica.Leader })
			if leads {
				return run.node
			}
		}
	}
	return nil
}

// victim returns the machine that a fault is for, or nil if there is none.
func (w *searchWorld) victim(number int, at *nodeRun, leader *searchNode) *searchNode {
	machines := w.machines()
	switch {
	case number == victimAtStep && at != nil:
		return at.node
	case number == victimFollower:
		return w.follower(leader)
	case number < 0 && leader != nil && !leader.removed:
		return leader
	case len(machines) == 0:
		return nil
	default:
		return machines[max(number, 0)%len(machines)]
	}
}

// follower returns a machine with a member of the stored set that does not lead, or nil.
func (w *searchWorld) follower(leader *searchNode) *searchNode {
	members := w.storedMembers()
	for _, run := range w.runs() {
		if run.node != leader && members.Has(run.db.DiskID()) {
			return run.node
		}
	}
	return nil
}

// inject waits for the time of a fault and its step, and lets it happen.
func (w *searchWorld) inject(f fault) {
	time.Sleep(f.after)
	leader := w.leadingNode()
	if f.step == stepNone {
		w.happen(f, nil, leader)
		return
	}
	armed := &armedFault{step: f.step, skip: f.skip, fired: make(chan struct{})}
	armed.fire = func(at *nodeRun) { w.happen(f, at, leader) }
	w.mutex.Lock()
	w.armed = armed
	w.mutex.Unlock()
	select {
	case <-armed.fired:
	case <-time.After(f.patience()):
		w.mutex.Lock()
		missed := w.armed == armed
		w.armed = nil
		w.mutex.Unlock()
		if missed {
			w.happen(f, nil, leader)
		}
	}
}

// happen lets a fault happen. It does not block. at is the process of the fault's step.
func (w *searchWorld) happen(f fault, at *nodeRun, leader *searchNode) {
	victim := w.victim(f.victim, at, leader)
	if victim == nil {
		return
	}
	w.logf("%v at step %d: victim %s, second %d, down %v, lasts %v, link %d/%d, fate %d, delay %v, hanging %v", f.kind, f.step, victim.name, f.second, f.down, f.lasts, f.link, f.direction, f.fate, f.delay, f.hanging)
	switch f.kind {
	case faultKill:
		w.crash([]*searchNode{victim}, max(f.percent, 50))
		w.restartLater(victim, f.down)
	case faultPower, faultLoseDiskAndPower, faultLoseDisk:
		w.loseMachines(f, victim)
	case faultCutNode, faultCutPair, faultSplit:
		w.cut(f, victim)
	case faultSuspend:
		if run := w.runAt(victim.name); run != nil {
			run.suspend()
			w.after(f.lasts, run.resume)
		}
	case faultLossyLinks:
		w.links.mutex.Lock()
		w.links.lossRate, w.links.slowest = 0.2, 150*time.Millisecond
		w.links.mutex.Unlock()
		w.after(f.lasts, func() {
			w.links.mutex.Lock()
			defer w.links.mutex.Unlock()
			w.links.lossRate, w.links.slowest = 0, usualDelay
		})
	case faultClockStep:
		w.mutex.Lock()
		victim.clock += f.clock
		w.mutex.Unlock()
	case faultStopReplica:
		if run := w.runAt(victim.name); run != nil && run.storage.shard(0) != nil {
			s := run.storage.shard(0)
			s.TryRunInLoop(func() { s.Fail(errors.New("a test stops the replica")) })
		}
	case faultRetire, faultAddNode, faultReplace:
		w.changeMachines(f, victim)
	default:
		w.disturbStore(f, victim)
	}
}

// loseMachines ends one or all machines, perhaps with the loss of a disk.
func (w *searchWorld) loseMachines(f fault, victim *searchNode) {
	machines := w.machines()
	w.mutex.Lock()
	switch f.kind {
	case faultLoseDisk:
		machines = []*searchNode{victim}
		w.loseDiskLocked(victim, nil, f.percent)
	case faultLoseDiskAndPower:
		w.loseDiskLocked(victim, machines, f.percent)
	default:
		w.crashLocked(machines, f.percent)
	}
	w.mutex.Unlock()
	for i, node := range machines {
		wait := f.down
		if f.kind != faultLoseDisk && node != victim {
			wait = time.Duration(100+(i*f.second*97)%900) * time.Millisecond
		}
		w.restartLater(node, wait)
	}
}

// changeMachines adds, retires or replaces a machine.
func (w *searchWorld) changeMachines(f fault, victim *searchNode) {
	if f.kind == faultRetire {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if len(w.retiring) == 0 && w.series.nodes > 3 {
			w.retiring[victim.name] = true
		}
		return
	}
	if f.kind == faultReplace {
		w.mutex.Lock()
		if !w.budget.mayLose(victim) || w.retiring[victim.name] {
			w.mutex.Unlock()
			return
		}
		w.loseDiskLocked(victim, nil, 0)
		victim.removed = true
		w.mutex.Unlock()
	}
	w.after(f.down, func() {
		if err := w.addNode(); err != nil {
			w.faultf("a new node does not start: %v", err)
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if victim.removed && w.budget.lost[victim.name] < 0 {
			w.budget.lost[victim.name] = 0
		}
	})
}

// cut changes links for a time.
func (w *searchWorld) cut(f fault, victim *searchNode) {
	machines := w.machines()
	second := machines[f.second%len(machines)]
	set := func(state linkState) {
		for i, from := range machines {
			for j, to := range machines {
				affected := false
				switch f.kind {
				case faultCutNode:
					affected = f.direction != 1 && from == victim || f.direction != 0 && to == victim
				case faultCutPair:
					affected = f.direction != 1 && from == victim && to == second || f.direction != 0 && to == victim && from == second
				case faultSplit:
					affected = (i < len(machines)/2) != (j < len(machines)/2)
				}
				if affected && from != to {
					w.links.setState(from.name, to.name, state)
				}
			}
		}
	}
	set(f.link)
	w.after(f.lasts, func() { set(linkWhole) })
}

// disturbStore changes the store for a time.
func (w *searchWorld) disturbStore(f fault, victim *searchNode) {
	s := w.store
	switch f.kind {
	case faultStoreAway:
		s.set(func() { s.allAway, s.hanging = true, f.hanging })
		w.after(f.lasts, func() { s.set(func() { s.allAway = false }) })
	case faultStoreAwayFromNode:
		s.set(func() { s.away[victim.name], s.hanging = true, f.hanging })
		w.after(f.lasts, func() { s.set(func() { delete(s.away, victim.name) }) })
	case faultStoreFate:
		s.set(func() { s.fate = f.fate })
		w.after(f.lasts, func() { s.set(func() { s.fate = fateAnswered }) })
	case faultStoreSlow:
		s.set(func() { s.delay = f.delay })
		w.after(f.lasts, func() { s.set(func() { s.delay = 0 }) })
	case faultStoreStale:
		s.set(func() { s.staleness = f.delay })
		w.after(f.lasts, func() { s.set(func() { s.staleness = 0 }) })
	}
}
