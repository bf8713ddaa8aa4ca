package runnerset

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Wish is what a request asks of the choice.
type Wish struct {
	Service string
	Zone    string
	// Affinity names the part of the prompt worth finding again; empty if none
	// is.
	Affinity string
	// Excluded runners were tried already, or must not be used.
	Excluded map[string]bool
	// Ceiling bounds a runner's load, as a share of its slots; 0 is no bound.
	Ceiling float64
	// BatchCeiling bounds this node's own batch items at a runner; 0 is no bound.
	BatchCeiling int64
}

// Weights of the choice, in units of a runner's whole load.
const (
	// zoneWeight is what another zone costs: bytes between zones are dear.
	zoneWeight = 0.5
	// affinityWeight is what a kept prompt is worth.
	affinityWeight = 0.5
	// chanceWeight keeps nodes that see the same loads from choosing alike.
	chanceWeight = 0.06
	// slowWeight is what a time to the first event twice the fleet's costs.
	slowWeight = 0.5
	// asideWeight is what being set aside costs: such a runner is used only when
	// there is no other.
	asideWeight  = 100
	coldWeight   = 0.3
	defaultSlots = 8
)

// Choice is a picked runner and why.
type Choice struct {
	Runner *Runner
	Score  float64
	Load   float64
	// Candidates that could have been picked.
	Candidates int
}

// Pick chooses a runner, nil if none may be used.
func (s *Set) Pick(wish *Wish, now time.Time) Choice {
	list := s.Service(wish.Service)
	typical := typicalFirst(list)
	preferred := s.preferred(list, wish)
	best := Choice{}
	for _, runner := range list {
		if !runner.Takes() || wish.Excluded[runner.ID] {
			continue
		}
		load := runner.Load(now)
		slots := float64(runner.Slots)
		if slots == 0 {
			slots = defaultSlots
		}
		if wish.Ceiling > 0 && load+1 > wish.Ceiling*slots {
			continue
		}
		if wish.BatchCeiling > 0 && runner.batch.Load() >= wish.BatchCeiling {
			continue
		}
		best.Candidates++
		score := load/slots + chanceWeight*rand.Float64()
		if load > slots {
			score += 2 * (load - slots) / slots
		}
		if runner.Zone != wish.Zone {
			score += zoneWeight
		}
		if runner == preferred {
			score -= affinityWeight
		}
		if runner.isAside(now) {
			score += asideWeight
		}
		if now.Before(runner.ColdUntil) {
			score += coldWeight
		}
		if slow := runner.firstSeconds(); typical > 0 && slow > 1.5*typical {
			score += slowWeight * min(slow/typical-1, 8)
		}
		if best.Runner == nil || score < best.Score {
			best.Runner, best.Score, best.Load = runner, score, load
		}
	}
	return best
}

// preferred is the runner of the zone that prompts with this part go to: the
// highest rendezvous weight among those that take work.
func (s *Set) preferred(list []*Runner, wish *Wish) *Runner {
	if wish.Affinity == "" {
		return nil
	}
	var best *Runner
	var highest uint64
	for _, runner := range list {
		if !runner.Takes() || runner.Zone != wish.Zone {
			continue
		}
		weight := xxhash.Sum64String(wish.Affinity + "/" + runner.ID)
		if best == nil || weight > highest {
			best, highest = runner, weight
		}
	}
	return best
}

// typicalFirst is the harmonic mean of the times to a first event: it leans to
// the fast runners.
func typicalFirst(list []*Runner) float64 {
	var sum float64
	count := 0
	for _, runner := range list {
		if first := runner.firstSeconds(); first > 0 {
			sum += 1 / first
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(count) / sum
}
