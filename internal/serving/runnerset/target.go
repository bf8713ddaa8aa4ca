package runnerset

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// TargetZone is a zone with free slots that an online request may be sent to. The request
// goes there if its first event would be late at the best runner of all zones, and costs
// less in the target zone.
type TargetZone struct {
	Zone string
	// Free are runners of the zone with free slots, by a recent digest.
	Free []FreeRunner
	// InTime is the time within which the first event is in time.
	InTime time.Duration
}

// FreeRunner is a runner with its number of slots without online requests.
type FreeRunner struct {
	ID    string
	Slots int
}

// inTime reports whether the first event of a choice is expected in time. The expected
// time of a suspect runner is unreliable and counts as late.
func (t *TargetZone) inTime(choice *Choice) bool {
	return choice.Runner != nil && !choice.Suspect && choice.FirstEvent <= t.InTime
}

// pickInTarget returns a runner with a free slot in the target zone, or a choice without a
// runner if there is none.
func (s *Set) pickInTarget(criteria *Criteria, now time.Time) Choice {
	list := s.Service(criteria.Service)
	// All edges of a zone get the same names, so the choice among them is random.
	random := rand.Float64()
	var named []namedRunner
	total := 0
	for _, free := range criteria.Target.Free {
		runner := runnerByID(list, free.ID)
		if runner == nil || !runner.usableTarget(criteria) {
			continue
		}
		if slots := min(free.Slots, int(runner.slots())) - runner.OwnLoad().Running; slots > 0 {
			named = append(named, namedRunner{runner, slots})
			total += slots
		}
	}
	left := random * float64(total)
	for _, candidate := range named {
		if left -= float64(candidate.free); left < 0 {
			return s.evaluateNamed(candidate, criteria, now, list)
		}
	}
	return Choice{}
}

// namedRunner is a runner that TargetZone.Free names, with its free slots without this
// node's requests.
type namedRunner struct {
	runner *Runner
	free   int
}

// usableTarget reports whether the runner may get a request for the target zone.
func (r *Runner) usableTarget(criteria *Criteria) bool {
	return r.Zone == criteria.Target.Zone && r.AcceptsWork() && !criteria.Excluded[r.ID] && criteria.allowsVersion(r)
}

// evaluateNamed returns the choice of a runner at which free slots are known.
func (s *Set) evaluateNamed(named namedRunner, criteria *Criteria, now time.Time, list []*Runner) Choice {
	typical := typicalSlowness(list)
	named.runner.mutex.Lock()
	known := load{running: named.runner.slots() - float64(named.free), unread: float64(named.runner.own.Unread)}
	c := named.runner.candidate(criteria, now)
	c.load = known
	choice, _ := named.runner.evaluateCandidate(c, criteria, now, typical)
	named.runner.mutex.Unlock()
	choice.namedLoad, choice.Candidates = &known, len(criteria.Target.Free)
	choice.Sources = named.runner.loadSources(now)
	return choice
}

// runnerByID returns the runner with an ID from a list that is ordered by ID; nil if there
// is none.
func runnerByID(list []*Runner, id string) *Runner {
	index, found := slices.BinarySearchFunc(list, id, func(runner *Runner, id string) int { return cmp.Compare(runner.ID, id) })
	if !found {
		return nil
	}
	return list[index]
}
