package shardhost

import (
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

const (
	// failedRestartDelay is the pause before a replica that has failed is started again. The
	// pause grows by failedRestartFactor with each failure that follows within
	// failedRestartMemory, up to maxFailedRestartDelay: the other members have to notice that
	// they can't count on a replica that fails again and again.
	failedRestartDelay    = time.Second
	failedRestartFactor   = 4
	maxFailedRestartDelay = 5 * time.Second
	failedRestartMemory   = time.Minute
)

// replicaFailure is the last failure of a shard's replica on this host.
type replicaFailure struct {
	at    time.Time
	delay time.Duration // pause before the start that followed
}

// nextDelay returns the pause after a further failure.
func (f replicaFailure) nextDelay(now time.Time) time.Duration {
	if f.delay == 0 || now.Sub(f.at) > failedRestartMemory+f.delay {
		return failedRestartDelay
	}
	return min(failedRestartFactor*f.delay, maxFailedRestartDelay)
}

// run runs a replica until it is stopped. After an error of its disk or state it loads the
// replica from disk and runs it again: a shard that has just lost another disk may need this
// member, and the error may have gone. It tries until the host stops or the replica is dropped.
func (h *Host[Command, Result]) run(s *Shard[Command, Result]) {
	s.run()
	for s.stopped {
		pause.For(h.context, h.recordFailure(s.ID, time.Now()))
		if h.context.Err() != nil {
			return
		}
		err := h.replace(s)
		if err == nil {
			return
		}
		keys := append([]any{}, h.options.LogKeys...)
		klog.ErrorS(err, "replica that has failed can't be started again; if its disk is damaged, restart the node to have it replaced", append(keys, "shard", s.ID)...)
	}
}

// recordFailure records a failure of a shard's replica, and returns the pause before its next
// start.
func (h *Host[Command, Result]) recordFailure(id uint32, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delay := h.failures[id].nextDelay(now)
	h.failures[id] = replicaFailure{at: now, delay: delay}
	return delay
}

// replace starts a replica again in place of one that has failed, unless it was dropped
// meanwhile. After an error the failed one remains, so that its status can be read.
func (h *Host[Command, Result]) replace(failed *Shard[Command, Result]) error {
	h.mutex.Lock()
	if h.shards[failed.ID] != failed {
		h.mutex.Unlock()
		return nil
	}
	delete(h.shards, failed.ID)
	h.mutex.Unlock()
	err := h.Start(failed.ID, nil)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.shards[failed.ID] == nil {
		h.shards[failed.ID] = failed
	}
	return err
}
