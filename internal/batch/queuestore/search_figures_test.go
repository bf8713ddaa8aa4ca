package queuestore

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// searchFigures are times seen by a search.
type searchFigures struct {
	mutex    sync.Mutex
	series   int
	serving  []time.Duration
	replaced []time.Duration
}

func (f *searchFigures) record(serving, replaced time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.series++
	f.serving = append(f.serving, serving)
	f.replaced = append(f.replaced, replaced)
}

// String returns the median, the 99th percentile and the maximum of each figure.
func (f *searchFigures) String() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.series == 0 {
		return "no series"
	}
	text := fmt.Sprintf("%d series", f.series)
	for name, times := range map[string][]time.Duration{"served after the calm": f.serving, "lost disk a member in the calm": f.replaced} {
		slices.Sort(times)
		text += fmt.Sprintf("; %s: %v, %v, %v", name, times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
	}
	return text
}
