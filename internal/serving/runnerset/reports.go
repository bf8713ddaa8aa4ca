package runnerset

import "time"

// SetReporting sets the function that returns true for a reported runner, which is a
// runner at which other nodes report their load to this node. Without this function, all
// runners count as reported. The function may be called while the runner's mutex is held,
// so it must not call methods that lock the mutex.
func (s *Set) SetReporting(reporting func(runner *Runner) bool) { s.reporting.Store(&reporting) }

// receivesReports reports whether other nodes report their load at a runner to this
// node.
func (s *Set) receivesReports(runner *Runner) bool {
	reporting := s.reporting.Load()
	return reporting == nil || (*reporting)(runner)
}

// OnOwnLoad sets the callback for changes of this node's load at a runner; shared are
// the leading parts of the prompt that is about to be sent, or nil if another event
// changed the load. The callback may be called concurrently, so it has to read the
// current load with Runner.OwnLoad.
func (s *Set) OnOwnLoad(changed func(runner *Runner, shared []PromptPart)) {
	s.onOwnLoad.Store(&changed)
}

// OnPeerLoad sets the callback that RecordPeerReport calls with the runner after it has
// recorded a report.
func (s *Set) OnPeerLoad(changed func(runner *Runner)) { s.onPeerLoad.Store(&changed) }

// OnPeerReport sets the callback that RecordPeerReport calls with the reporting node, the
// runner, and the number of online requests that the node has started there since its
// last report.
func (s *Set) OnPeerReport(reported func(peer string, runner *Runner, started int)) {
	s.onPeerReport.Store(&reported)
}

// ReceivesReports reports whether other nodes report their load at a runner to this node.
func (s *Set) ReceivesReports(runner *Runner) bool { return s.receivesReports(runner) }

// OnRestart sets the callback for a listed or recently removed runner that another start
// under the same ID replaces. It is called with the earlier start while the list is locked, so it must not
// call methods of the set.
func (s *Set) OnRestart(restarted func(earlier *Runner)) { s.onRestart.Store(&restarted) }

// notifyRestart calls the callback of OnRestart if next states another start than the known
// runner, which may be nil. The caller holds the mutex.
func (s *Set) notifyRestart(known *Runner, next Record) {
	if known == nil || known.StartedAt == 0 || next.StartedAt == 0 || known.StartedAt == next.StartedAt {
		return
	}
	if restarted := s.onRestart.Load(); restarted != nil {
		(*restarted)(known)
	}
}

// notifyOwnLoad calls the callback of OnOwnLoad. The caller does not hold the runner's
// mutex.
func (s *Set) notifyOwnLoad(runner *Runner, shared []PromptPart) {
	if changed := s.onOwnLoad.Load(); changed != nil {
		(*changed)(runner, shared)
	}
}

// RecordPeerReport records the report of another node, peer, of its load at the runner
// with the given ID. It ignores a report about an unlisted runner, and returns false for
// a report about another start of the runner than the listed one.
func (s *Set) RecordPeerReport(peer, runner string, report PeerReport, now time.Time) bool {
	s.mutex.Lock()
	known := s.byID[runner]
	s.mutex.Unlock()
	if known == nil {
		return true
	}
	if known.StartedAt != 0 && report.StartedAt != 0 && known.StartedAt != report.StartedAt {
		return false // in flight while the runner restarted, or ahead of the list
	}
	started := known.recordPeerReport(peer, report, now)
	if reported := s.onPeerReport.Load(); reported != nil {
		(*reported)(peer, known, started)
	}
	if changed := s.onPeerLoad.Load(); changed != nil {
		(*changed)(known)
	}
	return true
}

// ForgetPeer drops all reports of another node, and returns the number of listed runners
// at which the node had requests by its last reports.
func (s *Set) ForgetPeer(peer string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, runner := range s.byID {
		if runner.forgetPeer(peer) {
			count++
		}
	}
	return count
}

// DrainFullChoices returns the number of choices since the last call that found no
// runner, or whose chosen runner had no free slot.
func (s *Set) DrainFullChoices() int64 { return s.fullChoices.Swap(0) }
