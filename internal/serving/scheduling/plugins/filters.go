// Package plugins provides the filters, scorers and pickers of a plain node. They have no
// state, do no I/O and read no clock.
package plugins

import "cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"

// Available removes candidates that are leaving, excluded, or ejected after a failure. If all
// candidates that are neither leaving nor excluded are ejected, it keeps the ejected ones.
type Available struct{}

var _ framework.Filter = Available{}

// Filter implements framework.Filter.
func (Available) Filter(request *framework.Request, candidates []framework.Candidate) []framework.Candidate {
	kept := make([]framework.Candidate, 0, len(candidates))
	ejected := make([]framework.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.Leaving || excluded(request, candidate.ID) {
			continue
		}
		if candidate.EjectedUntil.After(request.Now) {
			ejected = append(ejected, candidate)
			continue
		}
		kept = append(kept, candidate)
	}
	if len(kept) == 0 {
		return ejected
	}
	return kept
}

func excluded(request *framework.Request, id string) bool {
	for _, excludedID := range request.Excluded {
		if excludedID == id {
			return true
		}
	}
	return false
}

// WithFreeSlots removes candidates whose online load has reached their capacity.
type WithFreeSlots struct{}

var _ framework.Filter = WithFreeSlots{}

// Filter implements framework.Filter.
func (WithFreeSlots) Filter(_ *framework.Request, candidates []framework.Candidate) []framework.Candidate {
	kept := candidates[:0]
	for _, candidate := range candidates {
		if candidate.Load < candidate.Capacity {
			kept = append(kept, candidate)
		}
	}
	return kept
}
