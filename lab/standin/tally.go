package standin

import (
	"fmt"
	"sync"
)

// Tally counts what callers saw; Violations lists promises that were not kept.
type Tally struct {
	mutex                   sync.Mutex
	Served, Refused, Failed int
	JobsTaken, ItemsDone    int
	Violations              []string
}

// Summary is the tally as text.
func (t *Tally) Summary() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("served %d, refused %d, failed %d; jobs taken %d, items done %d; broken promises %d",
		t.Served, t.Refused, t.Failed, t.JobsTaken, t.ItemsDone, len(t.Violations))
}

// RecordViolation records a promise that was not kept.
func (t *Tally) RecordViolation(format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Violations = append(t.Violations, fmt.Sprintf(format, args...))
}

func (t *Tally) count(counter *int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	*counter++
}
