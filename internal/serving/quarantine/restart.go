package quarantine

import (
	"sync"
	"time"
)

const (
	// restartConfirmTime is how long after a broken run the list may show that the runner
	// has started again, so that the run counts as ended with the runner. The probe detects
	// a runner that is down for longer.
	restartConfirmTime = time.Second
	// maxRestartEntries is the maximum number of starts in each map of a restartLog. At
	// the maximum the map is emptied.
	maxRestartEntries = 256
	// maxBrokenRuns is the maximum number of broken runs that are kept for one start; at
	// the maximum the oldest is dropped.
	maxBrokenRuns = 16
)

// brokenRun is a run that broke and whose runner, by the probe, may not have ended.
type brokenRun struct {
	work *Work
	run  Run
	at   time.Time
	// trials are the holds of which the run was the trial.
	trials []Fingerprint
}

// restartLog matches broken runs with restarts of their runners. A runner that restarts
// within milliseconds accepts connections again when it is probed, so that the probe does
// not show that the earlier start has ended. It is safe for concurrent use.
type restartLog struct {
	mutex sync.Mutex
	// broken holds the broken runs of a start, and replaced the time at which the list
	// showed a later start, both by runnerset.Record.StartID.
	broken   map[string][]brokenRun
	replaced map[string]time.Time
}

func newRestartLog() *restartLog {
	return &restartLog{broken: map[string][]brokenRun{}, replaced: map[string]time.Time{}}
}

// recordBreak returns true if the start that executed the run was replaced less than
// restartConfirmTime ago. Otherwise it keeps the run for recordRestart.
func (l *restartLog) recordBreak(run brokenRun) bool {
	start := run.run.Start
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at, found := l.replaced[start]; found && run.at.Sub(at) < restartConfirmTime {
		return true
	}
	if len(l.broken) >= maxRestartEntries {
		clear(l.broken)
	}
	runs := l.broken[start]
	if len(runs) >= maxBrokenRuns {
		runs = runs[1:]
	}
	l.broken[start] = append(runs, run)
	return false
}

// recordRestart records that a later start has replaced the given one, and returns the runs
// that broke there less than restartConfirmTime ago. It returns each run once.
func (l *restartLog) recordRestart(start string, now time.Time) []brokenRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.replaced) >= maxRestartEntries {
		clear(l.replaced)
	}
	l.replaced[start] = now
	var recent []brokenRun
	for _, run := range l.broken[start] {
		if now.Sub(run.at) < restartConfirmTime {
			recent = append(recent, run)
		}
	}
	delete(l.broken, start)
	return recent
}
