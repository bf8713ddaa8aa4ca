package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// tryAt asks a node whether unlike work with a part may be sent, as a request of a caller, and
// lets the node claim a trial meanwhile.
func (n *partNetwork) tryAt(node int, content int) (*Work, bool) {
	work := promptWork(content, "part")
	work.MayTry = true
	_, held := n.node(node).Held(work)
	n.node(node).claimTrials(context.Background())
	n.flush()
	return work, !held
}

// holdPart lets runners end under a part until its hold is confirmed.
func (n *partNetwork) holdPart() {
	for number := range endingsToConfirm {
		n.crash(0, promptWork(number, "part"))
	}
	n.decide()
}

// tryEverywhere sends a request to each node once a second and returns the number of those that
// may be sent to a runner, each of which ends the runner.
func (n *partNetwork) tryEverywhere(length time.Duration) int {
	sent := 0
	for second := range int(length.Seconds()) {
		for node := range len(n.nodes) {
			if work, allowed := n.tryAt(node, 1000*second+node); allowed {
				sent++
				n.crash(node, work)
			}
		}
		time.Sleep(time.Second)
	}
	return sent
}

// A part whose hold is confirmed is tried by one request in the whole fleet when a trial is due, and
// not again before the next trial.
func TestHeldPartIsTriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(4)
		n.holdPart()
		is.Equal(n.tryEverywhere(trialDelays[0]-time.Minute), 0)
		is.Equal(n.tryEverywhere(3*time.Minute), 1)
		is.Equal(n.tryEverywhere(10*time.Minute), 0)
		time.Sleep(trialDelays[1])
		is.Equal(n.tryEverywhere(3*time.Minute), 1)
		is.True(n.heldEverywhere("part"))
	})
}

// A trial that a runner completes lifts the hold.
func TestCompletedTrialLiftsTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(3)
		n.holdPart()
		time.Sleep(trialDelays[0])
		for second := range 120 {
			if work, allowed := n.tryAt(1, second); allowed {
				n.complete(1, work)
				break
			}
			time.Sleep(time.Second)
		}
		for node := range 3 {
			is.True(!n.held(node, "part"))
		}
	})
}

// Without the store there is no trial of a confirmed hold.
func TestNoTrialWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPartNetwork(2)
		n.holdPart()
		n.saved.unavailable = true
		time.Sleep(trialDelays[0])
		if sent := n.tryEverywhere(3 * time.Minute); sent != 0 {
			t.Fatalf("%d requests were sent", sent)
		}
	})
}
