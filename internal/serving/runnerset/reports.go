package runnerset

import "time"

// SetReporting sets the function that reports whether other nodes report their load at a
// runner to this node. Without one, all runners count as reported.
func (s *Set) SetReporting(reporting func(runner *Runner) bool) { s.reporting.Store(&reporting) }

// receivesReports reports whether other nodes report their load at a runner to this
// node.
func (s *Set) receivesReports(runner *Runner) bool {
	reporting := s.reporting.Load()
	return reporting == nil || (*reporting)(runner)
}

// OnOwnLoad sets the callback for changes of this node's load at a runner; shared are
// the leading parts of the prompt if one was just sent. The callback may be called
// concurrently, so it has to read the current load with Runner.OwnLoad.
func (s *Set) OnOwnLoad(changed func(runner *Runner, shared []PromptPart)) {
	s.onOwnLoad.Store(&changed)
}

// OnPeerLoad sets the callback for changes of another node's load at a runner.
func (s *Set) OnPeerLoad(changed func(runner *Runner)) { s.onPeerLoad.Store(&changed) }

func (s *Set) notifyOwnLoad(runner *Runner, shared []PromptPart) {
	if changed := s.onOwnLoad.Load(); changed != nil {
		(*changed)(runner, shared)
	}
}

// RecordPeerReport records a report of another node's load at a runner.
func (s *Set) RecordPeerReport(peer, runner string, report PeerReport, now time.Time) {
	s.mutex.Lock()
	known := s.byID[runner]
	s.mutex.Unlock()
	if known == nil {
		return
	}
	known.recordPeerReport(peer, report, now)
	if changed := s.onPeerLoad.Load(); changed != nil {
		(*changed)(known)
	}
}

// ForgetPeer drops all reports of a node whose process has ended. It returns the number
// of runners at which the node had requests.
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

// DrainFullChoices returns the number of choices since the last call that found no free
// slot among the listed runners.
func (s *Set) DrainFullChoices() int64 { return s.fullChoices.Swap(0) }
