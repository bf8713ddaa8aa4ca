package platformday

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// maxPreparation is the longest time for which a disruption is under way before the power is lost.
	// It is longer than the time after which a spare disk replaces an unresponsive one.
	maxPreparation = 4 * time.Second
	// maxStoreFault is the longest time for which the store is disrupted after the power was lost.
	maxStoreFault = 5 * time.Second
	// secondPreparation is the fraction of losses of power with two disruptions under way.
	secondPreparation = 0.4
	// lineTimeout is the longest time for which a log line of a storage node is awaited.
	lineTimeout = 3 * time.Second
	// momentDelay is the longest time from an acknowledgement or a log line to the loss of power.
	momentDelay = 40 * time.Millisecond
	// handOverDelay is the longest time from the start of a hand-over to a loss of power in it.
	handOverDelay = 400 * time.Millisecond
	// While the nodes recover, some end again up to maxRepeats times, each with the probability
	// repeatShare.
	maxRepeats, repeatShare = 2, 0.4
	// endSpread is the longest time between two of several nodes that end again.
	endSpread = 300 * time.Millisecond
	// staleRevisions is the number of revisions by which a store with stale reads lags.
	staleRevisions = 5
)

// Log lines of storage nodes after which the power is lost.
const (
	handOverLine = "hand-over started"
	swapLine     = "member set swap ended"
	observeLine  = "queue member set updated"
)

func jobName(series string, loss, number int) string {
	return fmt.Sprintf("%s%d-%d", series, loss, number)
}

// prepare starts one or two disruptions that are under way when the power is lost, or none, so that
// a disk is lost as soon after another one as it may be.
func (l *powerLosses) prepare(ctx context.Context) {
	if l.immediate {
		return
	}
	preparations := []func(ctx context.Context){
		func(context.Context) {}, l.suspendOne, l.killOne, l.loseDiskEarly, l.loseDiskEarly, l.retireOne, l.addSpare, l.disruptStore, l.disruptStore,
	}
	preparations[l.random.IntN(len(preparations))](ctx)
	if l.chance(secondPreparation) {
		preparations[l.random.IntN(len(preparations))](ctx)
	}
}

// anyStorage returns a random storage node.
func (l *powerLosses) anyStorage() *process {
	storages := l.nodesOf("storage")
	return storages[l.random.IntN(len(storages))]
}

// suspendOne suspends a storage node, which falls behind, and in half of the cases resumes it.
func (l *powerLosses) suspendOne(ctx context.Context) {
	p := l.anyStorage()
	l.sendSignal(p, syscall.SIGSTOP)
	pause.For(ctx, l.between(0, maxPreparation))
	if l.chance(0.5) {
		l.sendSignal(p, syscall.SIGCONT)
		pause.For(ctx, l.between(0, handOverDelay))
	}
}

// killOne kills a storage node, which a spare disk replaces after some time.
func (l *powerLosses) killOne(ctx context.Context) {
	l.end([]*process{l.anyStorage()})
	pause.For(ctx, l.between(0, maxPreparation))
}

// loseDiskEarly takes the disk of the victim and starts it again, so that the power is lost while its
// disk is being replaced.
func (l *powerLosses) loseDiskEarly(ctx context.Context) {
	if l.victim == nil || l.diskTaken {
		return
	}
	l.end([]*process{l.victim})
	l.takeDisk()
	pause.For(ctx, l.between(0, maxOutage))
	if err := l.start(l.victim); err != nil {
		l.tally.RecordViolation("%s does not start: %v", l.victim.name, err)
	}
}

// minRetiringStorages is the number of storage nodes from which on one may be retired.
const minRetiringStorages = 4

// retireOne asks for the retirement of a storage node.
func (l *powerLosses) retireOne(ctx context.Context) {
	if storages := l.nodesOf("storage"); l.retiring != nil || len(storages) < minRetiringStorages {
		return
	}
	l.retiring = l.anyStorage()
	l.report("%s is to be retired", l.retiring.name)
	l.store.RequestRetirement(l.retiring.name, retirementTimeout)
	pause.For(ctx, l.between(0, time.Second))
}

// addSpare starts a storage node with an empty disk.
func (l *powerLosses) addSpare(ctx context.Context) {
	l.mutex.Lock()
	if len(l.spares) == 0 {
		l.mutex.Unlock()
		return
	}
	added := l.spares[0]
	l.spares, l.nodes = l.spares[1:], append(l.nodes, added)
	l.mutex.Unlock()
	if err := l.start(added); err != nil {
		l.tally.RecordViolation("%s does not start: %v", added.name, err)
	}
	pause.For(ctx, l.between(0, 2*time.Second))
}

// disruptStore makes the store faulty to all nodes or to some of them, in most cases beyond the loss
// of power.
func (l *powerLosses) disruptStore(ctx context.Context) {
	faults := []standin.StoreFault{
		{Silent: true}, {Busy: true}, {Reset: true}, {Slow: 300 * time.Millisecond}, {Slow: time.Second}, {LoseWrites: true}, {Throttle: true}, {StaleBehind: staleRevisions},
	}
	fault := faults[l.random.IntN(len(faults))]
	var affected []string
	if l.chance(0.5) {
		for _, p := range l.currentNodes() {
			if l.chance(0.5) {
				affected = append(affected, p.name)
			}
		}
	}
	l.setFault(affected, fault)
	length := l.between(0, maxPreparation)/2 + max(0, l.between(-maxStoreFault/4, maxStoreFault))
	l.conditions.Go(func() {
		pause.For(ctx, length)
		l.setFault(affected, standin.StoreFault{})
	})
	pause.For(ctx, l.between(0, maxPreparation)/2)
}

// setFault sets the fault with which the store meets some nodes, or all if none is given.
func (l *powerLosses) setFault(nodes []string, fault standin.StoreFault) {
	l.report("the store to %v: %+v", nodes, fault)
	if len(nodes) == 0 {
		l.store.SetFault(fault)
	}
	for _, name := range nodes {
		l.store.SetMachineFault(name, fault)
	}
}

// awaitMoment waits for the moment of the loss of power: shortly after a job, a result or a
// configuration was acknowledged, or after a log line of a storage node.
func (l *powerLosses) awaitMoment(ctx context.Context) {
	if l.immediate {
		return
	}
	moments := []func(ctx context.Context){l.awaitAcceptedJob, l.awaitAcceptedJob, l.awaitResult, l.putConfig, l.awaitHandOver, l.awaitHandOver, l.awaitHandOver}
	moment := moments[l.random.IntN(len(moments))]
	delay := l.between(0, momentDelay)
	if l.chance(0.5) {
		delay = 0
	}
	limited, cancel := context.WithTimeout(ctx, lineTimeout)
	defer cancel()
	moment(limited)
	pause.For(ctx, delay)
}

func (l *powerLosses) awaitAcceptedJob(ctx context.Context) {
	job := l.batch.Submit(ctx, jobName("last", l.number, 0), 4)
	l.report("a job is accepted: %v", job != nil)
}

func (l *powerLosses) awaitResult(ctx context.Context) {
	for before := l.batch.ResultsRead(); l.batch.ResultsRead() == before && ctx.Err() == nil; {
		time.Sleep(logPollInterval)
	}
	l.report("a result is read: %v", ctx.Err() == nil)
}

// putConfig writes a configuration, which the store acknowledges at once.
func (l *powerLosses) putConfig(context.Context) {
	l.configMutex.Lock()
	defer l.configMutex.Unlock()
	l.configVersion++
	l.report("configuration %d", l.configVersion)
	l.store.PutConfig(standin.DayConfig(host, l.configVersion))
}

// awaitHandOver waits for a step of a change of a member set.
func (l *powerLosses) awaitHandOver(ctx context.Context) {
	lines := []string{handOverLine, swapLine, observeLine}
	first := l.random.IntN(len(lines))
	within := l.between(0, handOverDelay)
	line := watchLogs(l.Folder).await(ctx, lines[first:])
	l.report("a storage node wrote: %q", line)
	if line == handOverLine {
		pause.For(ctx, within)
	}
}

// disruptRecovery ends all or several nodes again while they recover, or suspends one of them, after a
// drawn time or a log line.
func (l *powerLosses) disruptRecovery(ctx context.Context) {
	lines := []string{handOverLine, swapLine, observeLine, leaderLine}
	first, delay := l.random.IntN(len(lines)), l.between(0, momentDelay)
	if l.chance(0.4) {
		pause.For(ctx, l.between(0, maxPreparation))
	} else {
		limited, cancel := context.WithTimeout(ctx, lineTimeout)
		l.report("a storage node wrote: %q", watchLogs(l.Folder).await(limited, lines[first:]))
		cancel()
		pause.For(ctx, delay)
	}
	if l.chance(0.2) {
		l.suspendBriefly(ctx)
		return
	}
	l.cancelStarts()
	l.starts.Wait()
	l.supervisors.Wait()
	l.endAgain(ctx)
	if l.victim != nil && l.diskTaken && !l.victim.running() && l.chance(sameDiskAgain) {
		l.takeDisk()
	}
	l.comeBack(ctx, l.currentNodes())
}

// suspendBriefly suspends a storage node and resumes it.
func (l *powerLosses) suspendBriefly(ctx context.Context) {
	p := l.anyStorage()
	l.sendSignal(p, syscall.SIGSTOP)
	pause.For(ctx, l.between(0, maxOutage))
	l.sendSignal(p, syscall.SIGCONT)
}

// endAgain ends all nodes at once, or two or three storage nodes one after the other.
func (l *powerLosses) endAgain(ctx context.Context) {
	if l.chance(0.4) {
		l.end(l.currentNodes())
		return
	}
	storages := l.nodesOf("storage")
	l.random.Shuffle(len(storages), func(i, j int) { storages[i], storages[j] = storages[j], storages[i] })
	for _, p := range storages[:min(len(storages), 2+l.random.IntN(2))] {
		l.end([]*process{p})
		pause.For(ctx, l.between(0, endSpread))
	}
}
