package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Claim is what one tenant, or a group of tenants, wants of the slots of a service.
type Claim struct {
	// Priority is the priority of the requests' routes; 0 is the highest.
	Priority uint32
	// Weight is the relative size of the share; values that are not positive count as 1.
	Weight float64
	// Demand is the number of slots that the requests occupy or would occupy.
	Demand float64
}

func (c *Claim) weight() float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// level returns the demand for each unit of weight.
func (c *Claim) level() float64 { return c.Demand / c.weight() }

// Division is a weighted max-min fair division of slots: no claim can get more without taking
// it from a claim of the same or a higher priority that has no more slots for each unit of
// weight.
type Division struct {
	// priorities holds the priorities with claims, the highest first.
	priorities []priorityDivision
	// left is the number of slots that the claims of all priorities leave.
	left float64
}

// priorityDivision is the division of slots among the claims of one priority.
type priorityDivision struct {
	priority uint32
	// available is the number of slots that higher priorities leave.
	available float64
	// level is the number of slots that a claim may get for each unit of weight; infinite
	// if all claims are satisfied.
	level float64
}

// Divide divides slots among claims. Claims of a lower priority get the slots that those of
// higher priorities leave. The order of the claims does not matter.
func Divide(slots float64, claims []Claim) Division {
	byPriority := map[uint32][]Claim{}
	for _, claim := range claims {
		byPriority[claim.Priority] = append(byPriority[claim.Priority], claim)
	}
	division := Division{left: slots}
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		available := division.left
		level, left := divideAmongEquals(available, byPriority[priority])
		division.priorities = append(division.priorities, priorityDivision{priority, available, level})
		division.left = left
	}
	return division
}

// divideAmongEquals divides slots among claims of one priority. It returns the level of the
// division (see priorityDivision) and the slots that are left. It satisfies the claims in the
// order of their demand for each unit of weight, until one wants more than the level that is
// left for all remaining claims.
func divideAmongEquals(slots float64, claims []Claim) (level, left float64) {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.level(), b.level()), cmp.Compare(a.weight(), b.weight()))
	})
	weights := 0.0
	for i := range claims {
		weights += claims[i].weight()
	}
	left = slots
	for i := range claims {
		if claims[i].level() > left/weights {
			return left / weights, 0
		}
		left = max(0, left-claims[i].Demand)
		weights -= claims[i].weight()
	}
	return math.Inf(1), left
}

// Share returns the number of slots that a claim with this priority and weight may get. A
// priority without claims may get what higher ones leave.
func (d *Division) Share(priority uint32, weight float64) float64 {
	for _, p := range d.priorities {
		if p.priority < priority {
			continue
		}
		if p.priority > priority {
			return p.available
		}
		claim := Claim{Weight: weight}
		return min(p.available, p.level*claim.weight())
	}
	return d.left
}
