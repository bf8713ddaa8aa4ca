package queuestore

import "time"

const (
	// longLogFactor and maxLogFactor are multiples of logBytesPerShard. A log longer than
	// longLogFactor is truncated, as far as live members have it; a log longer than
	// maxLogFactor is truncated regardless of members that lag.
	longLogFactor = 2
	maxLogFactor  = 8
)

// TruncationPoint implements shardhost.LogPolicy. It returns an index at or below base if the
// log is not long enough to be truncated.
func (s *shard) TruncationPoint(now time.Time, base, settled uint64) uint64 {
	index := uint64(0)
	if settled >= base+2*retainedEntries {
		index = settled - retainedEntries
	}
	share := s.node.logBytesPerShard()
	if s.log.total > longLogFactor*share {
		index = max(index, s.log.truncationIndex(share))
	}
	if s.log.total <= maxLogFactor*share {
		index = min(index, s.Replica.LiveMatch(now))
	}
	return index
}

// Truncated implements shardhost.LogPolicy.
func (s *shard) Truncated(index uint64) { s.log.discardUpTo(index) }

// logBytesPerShard returns the number of log bytes that each local shard retains.
func (n *StorageNode) logBytesPerShard() uint64 {
	return n.LogBytes / uint64(max(1, len(n.host.Shards())))
}
