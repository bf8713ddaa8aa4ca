package queuestore

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/logstore"
)

// freeSpaceCache caches the free space of this node's disk, because computing it is too
// expensive to do for every message to a leader.
type freeSpaceCache struct {
	mutex  sync.Mutex
	readAt time.Time
	bytes  uint64
}

// freeSpaceMaxAge is how long the cached free space is used.
const freeSpaceMaxAge = 100 * time.Millisecond

// freeBytes returns the free space of this node's disk in bytes, possibly cached.
func (n *StorageNode) freeBytes() uint64 {
	now := time.Now()
	n.freeSpace.mutex.Lock()
	defer n.freeSpace.mutex.Unlock()
	if n.freeSpace.readAt.IsZero() || now.Sub(n.freeSpace.readAt) > freeSpaceMaxAge {
		n.freeSpace.readAt, n.freeSpace.bytes = now, n.DB.FreeBytes()
	}
	return n.freeSpace.bytes
}

// recordFreeBytes records the free disk space that a member has reported.
func (s *shard) recordFreeBytes(member string, bytes uint64) {
	if s.memberFreeBytes == nil {
		s.memberFreeBytes = map[string]uint64{}
	}
	s.memberFreeBytes[member] = bytes
}

// fits reports whether a submission of the given size fits on the disks of all members that
// have reported their free space. A replica whose disk is full stops, and all its data must
// then be copied to another disk.
func (s *shard) fits(bytes int) bool {
	need := uint64(logstore.WriteAmplification * bytes)
	for _, member := range s.Replica.MemberSet().Members {
		if free, reported := s.memberFreeBytes[member]; reported && free <= need {
			return false
		}
	}
	return s.node.DB.Fits(bytes)
}
