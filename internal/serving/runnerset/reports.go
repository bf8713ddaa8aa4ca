package runnerset

import "time"

// SetReporting sets who knows whether other nodes report their requests at a runner
// to this node. Without it they are taken to do so for all runners.
func (s *Set) SetReporting(reporting func(runner *Runner) bool) { s.reporting.Store(&reporting) }

// receivesReports reports whether other nodes report their requests at a runner to
// this node.
func (s *Set) receivesReports(runner *Runner) bool {
	reporting := s.reporting.Load()
	return reporting == nil || (*reporting)(runner)
}

// OnOwnLoad sets who is called when this node's requests at a runner change, with
// the shared parts of a prompt that was just sent there. It may be called by several
// goroutines at once, so the load itself is asked of the runner (OwnLoad).
func (s *Set) OnOwnLoad(changed func(runner *Runner, shared []PromptPart)) {
	s.onOwnLoad.Store(&changed)
}

// OnPeerLoad sets who is called when another node's requests at a runner change.
func (s *Set) OnPeerLoad(changed func(runner *Runner)) { s.onPeerLoad.Store(&changed) }

func (s *Set) notifyOwnLoad(runner *Runner, shared []PromptPart) {
	if changed := s.onOwnLoad.Load(); changed != nil {
		(*changed)(runner, shared)
	}
}

// RecordPeerReport takes a report of another node's requests at a runner.
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

// ForgetPeer drops what another node reported: its process has ended. It returns at
// how many runners the node had requests.
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

// TakeFullChoices returns how many choices found no free slot among the runners
// listed since it was last called.
func (s *Set) TakeFullChoices() int64 { return s.fullChoices.Swap(0) }
