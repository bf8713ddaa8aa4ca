package shardhost

import (
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
)

// failedRestartDelay is the pause before a replica that has failed is started again, and
// maxFailedRestartDelay the longest pause between attempts.
const (
	failedRestartDelay    = time.Second
	maxFailedRestartDelay = 15 * time.Second
)

// run runs a replica until it is stopped. After an error of its disk or state it loads the
// replica from disk and runs it again: a shard that has just lost another disk may need this
// member, and the error may have gone. It tries until the host stops or the replica is dropped.
func (h *Host[Command, Result]) run(s *Shard[Command, Result]) {
	s.run()
	for delay := failedRestartDelay; s.stopped; delay = min(2*delay, maxFailedRestartDelay) {
		pause.For(h.context, delay)
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
