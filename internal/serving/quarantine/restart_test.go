package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A runner that keeps its ID ends once for each of its starts, so that a request that
// crashes it three times is held.
func TestEachStartOfARunnerEndsOnce(t *testing.T) {
	is := is.New(t)
	n, _, _ := newNetwork(2)
	for start := range EndingsToHold {
		_, held := n.nodes["n1"].Held(workOf(7))
		is.True(!held)
		for range 2 { // the retry of another node breaks at the same start
			n.nodes["n0"].RecordBrokenRun(workOf(7), Run{Start: fmt.Sprint("r@", start), Address: "a"})
		}
		n.flush()
	}
	_, held := n.nodes["n1"].Held(workOf(7))
	is.True(held)
}

// A runner that restarts within milliseconds accepts connections when it is probed. The
// list then shows that the start which executed the request has ended.
func TestRestartCountsAsEnding(t *testing.T) {
	for _, test := range []struct {
		name           string
		listedFirst    bool
		between        time.Duration
		countsAsEnding bool
	}{
		{"listed after the break", false, restartConfirmTime / 2, true},
		{"listed before the break", true, restartConfirmTime / 2, true},
		{"listed long after the break", false, restartConfirmTime, false},
		{"listed long before the break", true, restartConfirmTime, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, prober, _ := newNetwork(1)
				prober.alive["a"] = true
				coordinator := n.nodes["n0"]
				reportBreak := func() { coordinator.RecordBrokenRun(workOf(7), Run{Start: "r@1", Address: "a"}) }
				reportRestart := func() { coordinator.RecordRestart("r@1") }
				first, second := reportBreak, reportRestart
				if test.listedFirst {
					first, second = reportRestart, reportBreak
				}
				first()
				time.Sleep(test.between)
				second()
				if coordinator.table.Suspected(7) != test.countsAsEnding {
					t.Fatalf("counted: %v", !test.countsAsEnding)
				}
			})
		})
	}
}

// A run that broke counts once, however often its runner restarts and the list repeats it.
func TestRestartCountsEachBreakOnce(t *testing.T) {
	is := is.New(t)
	n, prober, _ := newNetwork(1)
	prober.alive["a"] = true
	coordinator := n.nodes["n0"]
	for range EndingsToHold {
		coordinator.RecordBrokenRun(workOf(7), Run{Start: "r@1", Address: "a"})
		coordinator.RecordRestart("r@1")
	}
	_, held := coordinator.Held(workOf(7))
	is.True(!held)
	is.True(coordinator.table.Suspected(7))
}

// The log of restarts stays bounded, whichever runners break and restart.
func TestRestartLogIsBounded(t *testing.T) {
	is := is.New(t)
	restarts := newRestartLog()
	now := time.Now()
	for start := range 3 * maxRestartEntries {
		restarts.recordRestart(fmt.Sprint("ended-", start), now)
		for range 3 * maxBrokenRuns {
			restarts.recordBreak(brokenRun{run: Run{Start: fmt.Sprint("alive-", start)}, at: now})
		}
		is.True(len(restarts.broken) <= maxRestartEntries && len(restarts.replaced) <= maxRestartEntries)
		is.Equal(len(restarts.broken[fmt.Sprint("alive-", start)]), maxBrokenRuns)
	}
}
