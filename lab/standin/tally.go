package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Tally counts the outcomes of requests and jobs; Violations lists the guarantees that
// were violated.
type Tally struct {
	mutex                   sync.Mutex
	Served, Refused, Failed int
	JobsAccepted, ItemsDone int
	// Leaders is the number of times that a node began to lead a queue shard.
	Leaders int
	// PowerLosses is the number of times that all nodes were ended at once.
	PowerLosses int
	// LongestRecovery is the longest time that the nodes needed to recover from one.
	LongestRecovery time.Duration
	Violations      []string
	// refusedIDs are the requests that may run only once and were refused as not run.
	refusedIDs []string
}

// Summary returns the tally as one line of text.
func (t *Tally) Summary() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("served %d, refused %d, failed %d; jobs taken %d, items done %d, leaders %d, power losses %d (recovered within %v); broken promises %d",
		t.Served, t.Refused, t.Failed, t.JobsAccepted, t.ItemsDone, t.Leaders, t.PowerLosses, t.LongestRecovery, len(t.Violations))
}

// RecordViolation records the violation of a guarantee.
func (t *Tally) RecordViolation(format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Violations = append(t.Violations, fmt.Sprintf(format, args...))
}

func (t *Tally) increment(counter *int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	*counter++
}

// RecordPowerLoss counts a loss of power at all nodes, and the time until they had recovered.
func (t *Tally) RecordPowerLoss(recovery time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.PowerLosses++
	t.LongestRecovery = max(t.LongestRecovery, recovery.Round(time.Millisecond))
}

// recordRefusedOnce records a request that may run only once and was refused as not run.
func (t *Tally) recordRefusedOnce(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusedIDs = append(t.refusedIDs, id)
}

// refusedOnce returns the requests that may run only once and were refused as not run.
func (t *Tally) refusedOnce() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.refusedIDs)
}
