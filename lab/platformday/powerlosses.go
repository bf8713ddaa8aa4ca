package platformday

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// A loss of power ends all nodes at the same moment, right after something was acknowledged, and
// takes the disk of one storage node. The nodes come back one after the other, and may end again
// while they recover. Then everything that was accepted must be readable.

const (
	// powerLossShare is the number of ordinary seeds for each seed with losses of power.
	powerLossShare = 5
	// powerLossSpares is the number of storage nodes that may be added during a soak.
	powerLossSpares = 3
	// smallDiskMegabytes is the size of the disks in every second soak; a small disk keeps less of
	// the replicated log.
	smallDiskMegabytes = 350
	// minOutage and maxOutage bound the time until a node is back. lateOutage is the longest time for
	// a node that lost its disk.
	minOutage, maxOutage, lateOutage = 500 * time.Millisecond, 3 * time.Second, 6 * time.Second
	// minDiskInterval and maxDiskInterval bound the time from the return of all nodes, with a stable
	// store, until another disk may be lost.
	minDiskInterval, maxDiskInterval = 4500 * time.Millisecond, 7 * time.Second
	// sameDiskAgain is the fraction of repeated ends in which the node that lost its disk loses it again.
	sameDiskAgain = 0.25
	// diskLossShare is the fraction of losses of power with a lost disk.
	diskLossShare = 0.85
	// hastyShare is the fraction of losses of power after which nodes start before their earlier
	// processes have ended, which takes up to maxLinger. supervisionTime is how long such a process is
	// started again if it ends.
	hastyShare      = 0.2
	maxLinger       = 400 * time.Millisecond
	supervisionTime = time.Second
	// immediateShare is the fraction of losses of power as soon as another disk may be lost.
	immediateShare = 0.35
	// submitInterval is the time between two jobs that are submitted before a loss of power.
	submitInterval = 50 * time.Millisecond
	// submittedItems is the number of items of such a job, and itemBytes the size of their bodies in
	// every second soak: the replicated log that a new disk has to fetch grows with them.
	submittedItems, itemBytes = 16, 6 << 10
	// compactionShare is the fraction of losses of power in which the store forgets its history
	// while the nodes are down.
	compactionShare = 0.3
)

// losesPower reports whether an ordinary soak has losses of power.
func losesPower(seed uint64) bool { return seed%powerLossShare == powerLossShare-1 }

// itemBytesOf returns the size of the bodies of items in a soak with losses of power.
func itemBytesOf(seed uint64) int { return int(seed/2%2) * itemBytes }

func diskMegabytesOf(seed uint64) int { return int(seed%2) * smallDiskMegabytes }

// powerLosses is the series of losses of power in a soak.
type powerLosses struct {
	*soak
	batch  *standin.BatchClient
	random *rand.Rand
	number int
	// batchNumber counts the jobs that were submitted after a recovery.
	batchNumber int
	// stableSince is the time from which on all nodes were back and the store was stable.
	stableSince time.Time
	// victim is the storage node whose disk is lost.
	victim *process
	// immediate is set if the power is lost as soon as another disk may be lost.
	immediate bool
	// diskTaken is set once the disk of victim is lost.
	diskTaken bool
	// retiring is the storage node that is to be emptied, or nil.
	retiring *process
	// starts starts the nodes that are down; cancelStarts ends its waits.
	starts       *tasks.Group
	cancelStarts context.CancelFunc
	// supervisors watches the nodes that restartHastily has started.
	supervisors *tasks.Group
	// conditions holds the disruptions that go on over the loss of power for a drawn time.
	conditions *tasks.Group
}

// losePowerRepeatedly makes the nodes lose power several times while soakContext lasts, and once
// more after it.
func (s *soak) losePowerRepeatedly(ctx, soakContext context.Context, batch *standin.BatchClient, random *rand.Rand) {
	l := &powerLosses{soak: s, batch: batch, random: random}
	for {
		sleepUpTo(soakContext, random, maxDisruptionPause)
		last := soakContext.Err() != nil
		l.lose(ctx, last)
		if last || ctx.Err() != nil {
			return
		}
	}
}

// between returns a random duration.
func (l *powerLosses) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(l.random.Float64()*float64(longest-shortest))
}

// chance returns true with a probability.
func (l *powerLosses) chance(probability float64) bool { return l.random.Float64() < probability }

// lose makes all nodes lose power once, and checks that they recover.
func (l *powerLosses) lose(ctx context.Context, last bool) {
	l.disruptions.Lock()
	defer l.disruptions.Unlock()
	l.awaitStable(ctx)
	if ctx.Err() != nil {
		return
	}
	l.number++
	l.conditions, l.supervisors = &tasks.Group{}, &tasks.Group{}
	l.choose()
	submitContext, stopSubmitting := context.WithCancel(ctx)
	var submissions tasks.Group
	submissions.Go(func() { l.submitRepeatedly(submitContext, l.number) })
	l.prepare(ctx)
	l.awaitMoment(ctx)
	hasty := l.chance(hastyShare) || l.options.HastyRestarts
	if hasty {
		l.restartHastily(ctx)
	} else {
		l.end(l.currentNodes())
	}
	stopSubmitting()
	if l.victim != nil && (!l.diskTaken || l.chance(sameDiskAgain)) {
		l.takeDisk()
	}
	if l.chance(compactionShare) {
		l.report("the store forgets its history")
		l.store.CompactHistory()
	}
	if hasty {
		l.comeBack(ctx, slices.DeleteFunc(l.currentNodes(), func(p *process) bool { return p != l.victim }))
	} else {
		l.comeBack(ctx, l.currentNodes())
	}
	for range maxRepeats {
		if l.chance(repeatShare) && ctx.Err() == nil {
			l.disruptRecovery(ctx)
		}
	}
	l.starts.Wait()
	l.cancelStarts()
	l.supervisors.Wait()
	l.conditions.Wait()
	submissions.Wait()
	l.stableSince = time.Now()
	l.check(ctx, l.stableSince, last)
	l.finishRetirement(ctx)
}

// awaitStable waits until another disk may be lost. Other series may have taken a disk until now.
func (l *powerLosses) awaitStable(ctx context.Context) {
	if l.options.Disturbers > 0 || l.options.LeaderChanges {
		l.stableSince = time.Now()
	}
	interval := l.between(minDiskInterval, maxDiskInterval)
	l.immediate = l.chance(immediateShare) && !l.stableSince.IsZero()
	if l.immediate {
		interval = minDiskInterval
	}
	pause.For(ctx, time.Until(l.stableSince.Add(interval)))
}

// choose chooses the storage node whose disk is lost.
func (l *powerLosses) choose() {
	storages := l.nodesOf("storage")
	l.victim, l.diskTaken, l.retiring = storages[l.random.IntN(len(storages))], false, nil
	if !l.chance(diskLossShare) {
		l.victim = nil
	}
}

// submitRepeatedly submits small jobs until the context ends, so that nodes accept some of them
// shortly before they end.
func (l *powerLosses) submitRepeatedly(ctx context.Context, loss int) {
	for number := 0; ctx.Err() == nil; number++ {
		l.batch.Submit(ctx, jobName("power", loss, number), submittedItems)
		pause.For(ctx, submitInterval)
	}
}

// end kills nodes at the same moment, and waits until they have ended.
func (l *powerLosses) end(nodes []*process) {
	l.report("power loss %d: %d nodes end", l.number, len(nodes))
	l.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	var killed []*incarnation
	for _, p := range nodes {
		if current := l.sendSignal(p, syscall.SIGKILL); current != nil {
			killed = append(killed, current)
		}
	}
	for _, ending := range killed {
		<-ending.ended
	}
}

// restartHastily ends all nodes, and starts each node but the victim while its earlier process may
// still be ending and hold its ports and its disk.
func (l *powerLosses) restartHastily(ctx context.Context) {
	l.report("power loss %d: nodes start before their earlier processes have ended", l.number)
	nodes := l.currentNodes()
	var earlier []*incarnation
	for _, p := range nodes {
		if current := l.sendSignal(p, syscall.SIGSTOP); current != nil {
			earlier = append(earlier, current)
		}
	}
	for _, p := range nodes {
		p.expectEnd()
		if p != l.victim {
			l.supervisors.Go(func() { l.supervise(ctx, p) })
		}
	}
	pause.For(ctx, l.between(0, maxLinger))
	for _, ending := range earlier {
		_ = ending.command.Process.Kill() // fails only if the process has just exited
	}
	for _, ending := range earlier {
		<-ending.ended
	}
}

// failedStartCode is the exit code of a node that can't start, for instance because the earlier
// process still holds its port. Other codes are those of a panic or of a fatal error.
const failedStartCode = 1

// supervise starts a node, again whenever it has ended by itself, until it has run for supervisionTime
// or was killed.
func (l *powerLosses) supervise(ctx context.Context, p *process) {
	p.setSupervised(true)
	defer p.setSupervised(false)
	for ctx.Err() == nil {
		if err := l.start(p); err != nil {
			l.tally.RecordViolation("%s does not start: %v", p.name, err)
			return
		}
		p.mutex.Lock()
		current := p.incarnation
		p.mutex.Unlock()
		select {
		case <-time.After(supervisionTime):
			return
		case <-current.ended:
		}
		if p.endRequested() {
			return
		}
		if code := current.command.ProcessState.ExitCode(); code != failedStartCode {
			l.tally.RecordViolation("%s ended by itself with code %d after its hasty start", p.name, code)
		}
		l.report("%s ended by itself after its hasty start", p.name)
		pause.For(ctx, pollInterval)
	}
}

// takeDisk deletes the data of the victim, which has ended.
func (l *powerLosses) takeDisk() {
	l.report("power loss %d: %s loses its disk", l.number, l.victim.name)
	l.diskTaken = true
	if err := os.RemoveAll(l.victim.dataFolder); err != nil {
		l.tally.RecordViolation("%s: %v", l.victim.name, err)
	}
}

// comeBack starts each of some nodes that is down after a drawn time. It returns at once.
func (l *powerLosses) comeBack(ctx context.Context, nodes []*process) {
	ctx, l.cancelStarts = context.WithCancel(ctx)
	l.starts = &tasks.Group{}
	for _, p := range nodes {
		if p.running() {
			continue
		}
		outage := l.outageOf(p)
		l.starts.Go(func() {
			if pause.For(ctx, outage); ctx.Err() != nil {
				return
			}
			if err := l.start(p); err != nil {
				l.tally.RecordViolation("%s does not start: %v", p.name, err)
			}
		})
	}
}

// outageOf returns the time until a node is back. A node that lost its disk may be back before or
// after all others.
func (l *powerLosses) outageOf(p *process) time.Duration {
	if p == l.victim && l.diskTaken {
		switch l.random.IntN(3) {
		case 0:
			return l.between(minOutage/2, minOutage)
		case 1:
			return l.between(maxOutage, lateOutage)
		}
	}
	return l.between(minOutage, maxOutage)
}
