package queuestore

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// faultKind is a kind of drawn fault.
type faultKind int

const (
	faultKill faultKind = iota
	faultPower
	faultLoseDisk
	faultLoseDiskAndPower
	faultCutNode
	faultCutPair
	faultSplit
	faultSuspend
	faultStoreAway
	faultStoreAwayFromNode
	faultStoreFate
	faultStoreSlow
	faultStoreStale
	faultLossyLinks
	faultClockStep
	faultRetire
	faultAddNode
	faultReplace
	faultKinds
	// faultStopReplica is not drawn: the replica stops after an error of its disk.
	faultStopReplica
)

// String returns a short name.
func (k faultKind) String() string {
	return [...]string{
		"kill", "power", "lose disk", "lose disk and power", "cut node", "cut pair", "split", "suspend", "store away", "store away from node",
		"store fate", "store slow", "store stale", "lossy links", "clock step", "retire", "add node", "replace", "", "stop replica",
	}[k]
}

// fault is one drawn fault of a series.
type fault struct {
	kind  faultKind
	after time.Duration // since the fault before it
	// step is the step of the cluster's work at which it happens, if the step comes within
	// stepPatience; skip is the number of such steps before.
	step searchStep
	skip int
	// victim and second select machines. A victim of victimAtStep is the machine of the step, and one
	// of victimLeader the leader.
	victim, second int
	percent        int           // share of the unsynced writes that remain
	down           time.Duration // of a machine
	lasts          time.Duration // of other faults
	link           linkState
	direction      int
	fate           commitFate
	delay          time.Duration
	clock          time.Duration
	hanging        bool
}

const (
	victimAtStep   = -1
	victimLeader   = -2
	victimFollower = -3
	stepPatience   = 4 * time.Second
)

// patience returns how long the step of a fault is waited for.
func (f *fault) patience() time.Duration {
	if f.step == stepMayLose {
		return stepPatience + 2*countsAsLost
	}
	return stepPatience
}

// series is a drawn series of faults.
type series struct {
	seed             uint64
	nodes            int
	diskLosses       int
	truncateInterval time.Duration
	logBytes         uint64
	watchLag         time.Duration
	submitInterval   time.Duration
	bodyBytes        int
	faults           []fault
	// soonest lets a disk be lost once no more machines than allowed count as lost, even if the
	// disk lost before is still a member.
	soonest bool
}

// String describes the series.
func (s *series) String() string {
	text := fmt.Sprintf("nodes %d losses %d truncate %v logBytes %d lag %v submit %v body %d\n", s.nodes, s.diskLosses, s.truncateInterval, s.logBytes, s.watchLag, s.submitInterval, s.bodyBytes)
	for _, f := range s.faults {
		text += fmt.Sprintf("  %v %+v\n", f.kind, f)
	}
	return text
}

func milliseconds(t *rapid.T, label string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}

func drawSeries(t *rapid.T) *series {
	s := &series{
		seed: rapid.Uint64().Draw(t, "seed"), nodes: rapid.SampledFrom([]int{4, 4, 4, 3, 5}).Draw(t, "nodes"), diskLosses: 1,
		truncateInterval: rapid.SampledFrom([]time.Duration{time.Hour, time.Second, 60 * time.Millisecond}).Draw(t, "truncate"),
		logBytes:         rapid.SampledFrom([]uint64{48 << 20, 4 << 10, 1 << 10}).Draw(t, "log bytes"),
		watchLag:         rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "watch lag"),
		submitInterval:   milliseconds(t, "submit", 60, 900),
		bodyBytes:        rapid.SampledFrom([]int{10, 300, 2000}).Draw(t, "body"),
	}
	if rapid.IntRange(0, 9).Draw(t, "two losses") == 0 {
		s.diskLosses, s.nodes = 2, rapid.IntRange(5, 7).Draw(t, "nodes for two losses")
	}
	if rapid.IntRange(0, 2).Draw(t, "disturbed hand-over") == 0 {
		s.faults = drawDisturbedHandOver(t)
	}
	for range rapid.IntRange(1, 9-len(s.faults)).Draw(t, "faults") {
		f := drawFault(t)
		if last := len(s.faults) - 1; last >= 0 && s.faults[last].beginsHandOver() && rapid.IntRange(0, 3).Draw(t, "during the hand-over") > 0 {
			f.after, f.skip = min(f.after, 100*time.Millisecond), min(f.skip, 1)
			f.step = rapid.SampledFrom(handOverSteps).Draw(t, "step of the hand-over")
		}
		s.faults = append(s.faults, f)
	}
	s.keepMachines()
	return s
}

// keepMachines draws around TestDiskOfAReplacedMachineLeavesASmallMemberSet: no machine retires
// if fewer would remain than a shard should have members.
func (s *series) keepMachines() {
	for i := range s.faults {
		if s.faults[i].kind == faultRetire && s.nodes <= 2*s.diskLosses+1 {
			s.faults[i].kind = faultAddNode
		}
	}
}

// drawDisturbedHandOver draws a hand-over while links or the store are disturbed, and the end of
// machines at one of its steps.
func drawDisturbedHandOver(t *rapid.T) []fault {
	disturbance, cause, end, next := drawFault(t), drawFault(t), drawFault(t), drawFault(t)
	disturbance.kind = rapid.SampledFrom([]faultKind{faultLossyLinks, faultCutPair, faultCutPair, faultStoreFate, faultStoreSlow}).Draw(t, "disturbance")
	disturbance.victim, disturbance.step, disturbance.lasts = victimLeader, stepNone, 6*time.Second
	cause.kind = rapid.SampledFrom([]faultKind{faultRetire, faultRetire, faultLoseDisk}).Draw(t, "cause")
	cause.victim, cause.step, cause.after = victimFollower, stepNone, min(cause.after, 200*time.Millisecond)
	end.kind = rapid.SampledFrom([]faultKind{faultLoseDisk, faultLoseDiskAndPower, faultPower, faultKill}).Draw(t, "end")
	end.victim = rapid.SampledFrom([]int{victimAtStep, victimLeader, victimFollower}).Draw(t, "end of")
	end.step, end.skip, end.after = rapid.SampledFrom(handOverSteps).Draw(t, "end at"), 0, 0
	next.kind = rapid.SampledFrom([]faultKind{faultPower, faultKill, faultLoseDisk}).Draw(t, "next")
	return []fault{disturbance, cause, end, next}
}

// beginsHandOver reports whether a hand-over probably follows the fault.
func (f *fault) beginsHandOver() bool {
	return slices.Contains([]faultKind{faultLoseDisk, faultLoseDiskAndPower, faultRetire, faultReplace}, f.kind)
}

// handOverSteps are the steps that a hand-over takes in each case.
var handOverSteps = []searchStep{stepLearner, stepFreeze, stepFreeze, stepFrozen, stepFrozen, stepBeforeCommit, stepBeforeCommit, stepStored, stepStored, stepPrepare}

// heavier draws the faults that end machines more often than others.
var heavier = []faultKind{faultKill, faultPower, faultPower, faultLoseDisk, faultLoseDisk, faultLoseDiskAndPower, faultLoseDiskAndPower}

func drawFault(t *rapid.T) fault {
	f := fault{
		after:  milliseconds(t, "after", 0, 1500),
		victim: rapid.IntRange(-3, 6).Draw(t, "victim"), second: rapid.IntRange(0, 6).Draw(t, "second"),
		percent: rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "percent"),
		down:    milliseconds(t, "down", 100, 3500), lasts: milliseconds(t, "lasts", 100, 6000),
		link: linkState(rapid.IntRange(int(linkCut), int(linkSilent)).Draw(t, "link")), direction: rapid.IntRange(0, 2).Draw(t, "direction"),
		fate:    commitFate(rapid.IntRange(int(fateAnswerLost), int(commitFates)-1).Draw(t, "fate")),
		delay:   milliseconds(t, "delay", 5, 2900),
		clock:   milliseconds(t, "clock", -20000, 20000),
		hanging: rapid.Bool().Draw(t, "hanging"),
	}
	if rapid.Bool().Draw(t, "heavy") {
		f.kind = rapid.SampledFrom(heavier).Draw(t, "kind")
	} else {
		f.kind = faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind"))
	}
	if rapid.IntRange(0, 2).Draw(t, "at a step") > 0 {
		f.step = searchStep(rapid.IntRange(1, int(searchSteps)-1).Draw(t, "step"))
		f.skip = rapid.IntRange(0, 3).Draw(t, "skip")
	}
	if loses := f.kind == faultLoseDisk || f.kind == faultLoseDiskAndPower; loses && rapid.Bool().Draw(t, "soonest") {
		f.step, f.skip = stepMayLose, 0
	}
	if rapid.IntRange(0, 3).Draw(t, "long wait") == 0 {
		f.after += 6 * time.Second
	}
	return f
}
