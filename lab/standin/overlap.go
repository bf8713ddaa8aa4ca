package standin

import (
	"slices"
	"time"
)

// Overlap is the time for which a run of a stream went on after a later attempt at the stream had
// begun at another runner.
type Overlap struct {
	Stream         string
	First, Second  Run
	Length         time.Duration
	FirstCompleted bool
}

// Overlaps returns the overlaps of the runs of all streams of callers that resume them, the longest
// first.
func (l *Ledger) Overlaps() []Overlap {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byStream := map[string][]*Run{}
	for _, runs := range l.runs {
		for _, run := range runs {
			if run.Stream != "" {
				byStream[run.Stream] = append(byStream[run.Stream], run)
			}
		}
	}
	var overlaps []Overlap
	for stream, runs := range byStream {
		slices.SortFunc(runs, func(a, b *Run) int { return a.BeganAt.Compare(b.BeganAt) })
		overlaps = append(overlaps, overlapsOf(stream, runs)...)
	}
	slices.SortFunc(overlaps, func(a, b Overlap) int { return int(b.Length - a.Length) })
	return overlaps
}

// overlapsOf returns the overlaps of the runs of a stream, which are in the order of their start.
func overlapsOf(stream string, runs []*Run) []Overlap {
	var overlaps []Overlap
	for i := 1; i < len(runs); i++ {
		first, second := runs[i-1], runs[i]
		length := first.EndedAt.Sub(second.BeganAt)
		if first.Runner != second.Runner && length > 0 {
			overlaps = append(overlaps, Overlap{stream, *first, *second, length, first.Complete})
		}
	}
	return overlaps
}
