package router

import (
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/plugins"
)

// ownerSamples is the number of random owners that are compared per choice.
const ownerSamples = 2

func newScheduler() *framework.Scheduler {
	return &framework.Scheduler{
		Filters: []framework.Filter{plugins.Available{}, plugins.WithFreeSlots{}},
		Scorers: []framework.WeightedScorer{
			{Scorer: plugins.LeastLoad{}, Weight: 1},
			{Scorer: plugins.PrefixAffinity{}, Weight: 0.4},
		},
		Picker: plugins.SampledBest{Samples: ownerSamples},
	}
}

// distance is how far a pool is from this node. A pool is the runners of a service in one
// zone that have the same owner.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distances // the number of distances
)

func (m *Module) distanceOf(pool *fleet.Pool) distance {
	switch {
	case pool.Zone == m.settings.Node.Zone:
		return sameZone
	case pool.Region == m.settings.Node.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// choose returns the id of the owner to dispatch to: an owner in this node's zone if one
// of them has free slots, otherwise one in the region, otherwise one in another region. It
// returns false if no owner that is not excluded has free slots.
func (m *Module) choose(model *bundle.CompiledModel, prefix uint64, excluded []string) (string, bool) {
	pools := m.runnerTables.Table().Pools[model.Service]
	var byDistance [distances][]framework.Candidate
	for i := range pools {
		at := m.distanceOf(&pools[i])
		byDistance[at] = append(byDistance[at], m.candidate(&pools[i], model, prefix))
	}
	request := &framework.Request{PrefixHash: prefix, Excluded: excluded, Now: time.Now()}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for at, candidates := range byDistance {
		if chosen, found := m.scheduler.Choose(request, candidates, random); found {
			if distance(at) != sameZone {
				m.metrics.spills.Inc()
			}
			return chosen.ID, true
		}
	}
	return "", false
}

// candidate returns an owner's state for the scheduler. Its load is the load that the
// owner advertised for the model, but at least the number of requests that this node has
// in flight there. Without an advertised load, the capacity is that of the pool's runners.
func (m *Module) candidate(pool *fleet.Pool, model *bundle.CompiledModel, prefix uint64) framework.Candidate {
	state := m.owner(pool.Owner)
	candidate := framework.Candidate{
		ID: pool.Owner, Affinity: ownership.Weight(prefix, pool.Owner),
		Capacity: pool.RunnerCount * model.Slots, Load: int(state.inFlight.Load()), EjectedUntil: state.ejectedUntil(),
	}
	digest := state.load.Load()
	if digest == nil {
		return candidate
	}
	for _, load := range digest.Models {
		if load.Model == model.Name {
			candidate.Capacity = int(load.OnlineRunning + load.FreeOnline)
			candidate.Load = max(candidate.Load, int(load.OnlineRunning))
			candidate.Batch = int(load.BatchRunning)
			return candidate
		}
	}
	return candidate
}
