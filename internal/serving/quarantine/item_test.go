package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxItemWait is the longest time for which a sound item may be kept from runners once all is
	// calm. It is far below the time after which items are given up.
	maxItemWait = 15 * time.Second
	// waveServiceSize is the number of runners of the service, and waveEndings the number of those
	// that end together with the item's runner.
	waveServiceSize = 12
	waveEndings     = 3
)

// itemWork returns a batch item with the given parts.
func itemWork(content int, parts ...string) *Work {
	work := promptWork(content, parts...)
	work.MayTry, work.Item = true, true
	return work
}

// endTogether lets other runners of the service end at this moment.
func (n *partNetwork) endTogether(count int) {
	for range count {
		n.runs++
		n.node(0).recordRunnerEnd(&observedEnding{runner: fmt.Sprint("r", n.runs), service: testService, at: time.Now()})
	}
	n.flush()
}

// restartAll replaces all nodes by new ones, which know the saved holds only.
func (n *partNetwork) restartAll() {
	for name := range n.nodes {
		m := member{n.network, name}
		n.nodes[name] = NewCoordinator(m, m, n.prober, n.saved, prometheus.NewRegistry())
		n.nodes[name].SetRunners(fixedRunners(waveServiceSize))
		for _, hold := range n.saved.holds {
			n.nodes[name].table.ApplyHold(hold)
		}
	}
}

// sendItem asks the nodes in turn until an item may be sent to a runner, for at most limit.
func (n *partNetwork) sendItem(limit time.Duration, content int, parts ...string) (*Work, bool) {
	for began := time.Now(); time.Since(began) <= limit; time.Sleep(askInterval) {
		for number := range len(n.nodes) {
			work := itemWork(content, parts...)
			if _, held := n.node(number).Held(work); !held {
				n.flush()
				return work, true
			}
			n.node(number).claimTrials(context.Background())
		}
	}
	return nil, false
}

// TestItemIsOwedAfterFiveEndings guards against an item that is never placed again: the runners of
// its first five runs ended, in a burst of crashes or on a calm day, and nothing but its own
// endings speaks against it.
func TestItemIsOwedAfterFiveEndings(t *testing.T) {
	const content = 7
	for _, parts := range [][]string{nil, {"part"}} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint("parts ", parts, ", restarts ", restart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := newPartNetwork(3)
					for _, node := range n.nodes {
						node.SetRunners(fixedRunners(waveServiceSize))
					}
					for number := range endingsToConfirm {
						work, sent := n.sendItem(maxItemWait, content, parts...)
						is.True(sent)
						if len(parts) > 0 {
							n.endTogether(waveEndings)
						}
						n.crash(number%len(n.nodes), work)
						n.decide()
					}
					if restart {
						n.restartAll()
					}
					began := time.Now()
					_, sent := n.sendItem(maxItemWait, content, parts...)
					is.True(sent)
					t.Logf("sent again after %v of calm", time.Since(began))
				})
			})
		}
	}
}

// Guards against a sound part that is held for long by endings that it met in a wave: one more ending
// in the calm after the wave does not confirm the hold.
func TestEndingsInAWaveConfirmNoHoldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(3)
		for _, node := range n.nodes {
			node.SetRunners(fixedRunners(waveServiceSize))
		}
		for number := range endingsToConfirm - 1 {
			n.endTogether(waveEndings)
			n.crash(number%len(n.nodes), itemWork(number, "part"), itemWork(100+number, "part"))
			n.decide()
		}
		time.Sleep(2 * backgroundWindow)
		n.crash(0, itemWork(200, "part"))
		n.decide()
		_, sent := n.sendItem(maxItemWait, 300, "part")
		is.True(sent)
	})
}

// Guards against a request that crashes runners and ends more of them because others end in waves
// (SoakSeed68043): it ends as many as in a calm time, the last one after the waves.
func TestCrashingRequestInWavesEndsFiveRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(3)
		for _, node := range n.nodes {
			node.SetRunners(fixedRunners(waveServiceSize))
		}
		ended := 0
		for second := range 30 {
			if second < 10 {
				n.endTogether(waveEndings)
			}
			for attempt := range 3 {
				work := promptWork(7)
				work.MayTry = true
				if node := (second + attempt) % len(n.nodes); !n.heldFor(node, work) {
					n.crash(node, work)
					ended++
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
		is.Equal(ended, endingsToConfirm)
	})
}

// heldFor reports whether a node holds work.
func (n *partNetwork) heldFor(node int, work *Work) bool {
	_, held := n.node(node).Held(work)
	n.flush()
	return held
}

// Guards against a request that crashes runners and is released for a part that crashed the same ones
// (SoakSeed68043): the end of its trial's runner is evidence of its own.
func TestPartExplainsNoRequestThatEndedItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPartNetwork(2)
		for number := range EndingsToHold {
			n.crash(0, promptWork(200+number, "deadly"), promptWork(7))
		}
		work, _ := n.ask(t, 1, 7)
		n.crash(1, work, promptWork(300, "deadly"))
		n.crash(0, promptWork(301, "deadly"))
		n.decide()
		is.True(n.heldEverywhere("deadly"))
		for node := range 2 {
			is.True(n.node(node).table.holdOf(7).Until > time.Now().UnixMilli())
		}
	})
}
