package queuestore

import "time"

const (
	// longLogFactor and maxLogFactor are multiples of logBytesPerShard. A log of more bytes
	// than longLogFactor is truncated up to the entries that all live members have; a log
	// of more bytes than maxLogFactor is truncated even if live members lack entries.
	longLogFactor = 2
	maxLogFactor  = 8
)

// TruncationPoint implements shardhost.LogPolicy. A log is truncated if it has at least
// 2*retainedEntries settled entries, so that retainedEntries remain, or if it is longer than
// longLogFactor allows, so that logBytesPerShard remain. The result is at or below base if
// neither is the case, or if a live member still needs the entries.
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

// logBytesPerShard returns the number of log bytes that each local shard should retain, which
// is an equal part of LogBytes.
func (n *StorageNode) logBytesPerShard() uint64 {
	return n.LogBytes / uint64(max(1, len(n.host.Shards())))
}
