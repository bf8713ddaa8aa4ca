package shardhost

import (
	"time"

	"github.com/gravitational/trace"
)

// truncateLog deletes applied and committed entries up to the application's truncation
// point. It has no effect while a snapshot is being installed.
func (s *Shard[Command, Result]) truncateLog(now time.Time) error {
	base, _ := s.Replica.Base()
	// After a restart, the known commit index may be lower than the applied index.
	settled := min(s.applied, s.Replica.Commit())
	index := min(s.application.TruncationPoint(now, base, settled), settled)
	if s.installing || index <= base {
		return nil
	}
	if err := s.Replica.Truncate(index); err != nil {
		return trace.Wrap(err)
	}
	s.application.Truncated(index)
	_, epoch := s.Replica.Base()
	return trace.Wrap(s.Store.TruncatePrefix(s.Replica.HardState(), s.Replica.MemberSet(), index, epoch))
}
