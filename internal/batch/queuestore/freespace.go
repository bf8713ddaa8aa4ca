package queuestore

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/logstore"
)

// freeSpaceCache caches the free space of this node's disk, because it is expensive to
// compute and is sent with every acknowledgment to a leader.
type freeSpaceCache struct {
	mutex  sync.Mutex
	readAt time.Time
	bytes  uint64
}

// freeSpaceMaxAge is how long the cached free space is used before it is computed again.
const freeSpaceMaxAge = 100 * time.Millisecond

// freeBytes returns how many bytes can be written to this node's disk before new data is
// refused. The value may be up to freeSpaceMaxAge old.
func (n *StorageNode) freeBytes() uint64 {
	now := time.Now()
	n.freeSpace.mutex.Lock()
	defer n.freeSpace.mutex.Unlock()
	if n.freeSpace.readAt.IsZero() || now.Sub(n.freeSpace.readAt) > freeSpaceMaxAge {
		n.freeSpace.readAt, n.freeSpace.bytes = now, n.DB.FreeBytes()
	}
	return n.freeSpace.bytes
}

// recordFreeBytes records the free space that a member has reported, in bytes. The member is
// given by its disk ID.
func (s *shard) recordFreeBytes(member string, bytes uint64) {
	if s.memberFreeBytes == nil {
		s.memberFreeBytes = map[string]uint64{}
	}
	s.memberFreeBytes[member] = bytes
}

// fits reports whether a submission of the given size fits on this node's disk and on the
// disks of all other members that have reported their free space. A replica whose disk is
// full stops, and all its data must then be copied to another disk.
func (s *shard) fits(bytes int) bool {
	need := uint64(logstore.WriteAmplification * bytes)
	for _, member := range s.Replica.MemberSet().Members {
		if free, reported := s.memberFreeBytes[member]; reported && free <= need {
			return false
		}
	}
	return s.node.DB.Fits(bytes)
}
