package fairshare

import (
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// minDuration and maxDuration limit the estimated mean duration of requests, and
	// usualDuration is used while there is no estimate.
	minDuration   = 100 * time.Millisecond
	maxDuration   = 30 * time.Second
	usualDuration = time.Second
	// minDividedSlots is the smallest share of the slots that is divided while requests
	// whose tenants are unknown occupy slots.
	minDividedSlots = 0.5
	// maxRate limits the arrivals a second that a message states.
	maxRate = 1e6
)

// serviceView is what a digest says about the tenants of one service in one zone.
type serviceView struct {
	division Division
	// duration is the mean time that a request occupies a slot.
	duration time.Duration
	// full is set if online requests occupy all slots.
	full bool
	// loads holds the listed tenants. unlisted holds, for each priority, the state of the
	// tenants that are not listed.
	loads    map[tenantKey]Load
	unlisted map[uint32]State
	weight   func(tenant string) float64
	// over holds the tenants over their share.
	over map[tenantKey]Standing
}

// newServiceView returns the view of a service. loads are the tenants' loads of this service.
// previous is the view of the digest before; nil if there is none. newServiceView returns nil
// if the zone has no slots.
func newServiceView(
	zone *wirev1.ServiceZoneLoad, loads []*wirev1.TenantLoad, weight func(string) float64, previous *serviceView,
) *serviceView {
	if zone.Slots == 0 {
		return nil
	}
	online := float64(zone.Running) - float64(min(zone.Batch, zone.Running))
	view := &serviceView{
		duration: meanDuration(online, zone.ArrivalsPerSecond, loads), full: online >= float64(zone.Slots),
		loads: map[tenantKey]Load{}, unlisted: map[uint32]State{}, weight: weight, over: map[tenantKey]Standing{},
	}
	claims := make([]Claim, 0, len(loads))
	known := 0.0
	for _, load := range loads {
		known += float64(load.InFlight)
		claims = append(claims, Claim{Priority: load.Priority, Weight: view.weightOf(load, loads), Demand: view.demand(load)})
	}
	view.division = Divide(dividedSlots(float64(zone.Slots), online-known), claims)
	view.recordStandings(loads, previous)
	return view
}

// dividedSlots returns the number of slots to divide. unknown is the number of requests at
// the runners whose tenants no edge reports, for instance since their edges are partitioned
// from this zone's storage nodes. Their slots can't be divided, but some always are, since
// the counts of requests at runners and of requests at edges have different ages.
func dividedSlots(slots, unknown float64) float64 {
	return max(minDividedSlots*slots, slots-max(0, unknown))
}

// meanDuration returns the mean time that a request occupies a slot (Little's law). The
// arrivals at the runners are preferred, since the tenants' arrivals include refused
// requests.
func meanDuration(online, arrivals float64, loads []*wirev1.TenantLoad) time.Duration {
	if online <= 0 || !(arrivals > 0) {
		online, arrivals = 0, 0
		for _, load := range loads {
			online += float64(load.InFlight)
			arrivals += cleanRate(load.ArrivalsPerSecond)
		}
	}
	if online <= 0 || arrivals <= 0 {
		return usualDuration
	}
	seconds := min(maxDuration.Seconds(), max(minDuration.Seconds(), online/arrivals))
	return time.Duration(seconds * float64(time.Second))
}

// cleanRate returns a rate from a message, limited to valid rates.
func cleanRate(rate float64) float64 {
	if rate > 0 { // false for a rate that is not a number
		return min(rate, maxRate)
	}
	return 0
}

func loadOf(load *wirev1.TenantLoad) Load {
	return Load{InFlight: float64(load.InFlight), ArrivalsPerSecond: cleanRate(load.ArrivalsPerSecond)}
}

// demand returns the number of slots that a tenant occupies or wants.
func (v *serviceView) demand(load *wirev1.TenantLoad) float64 {
	current := loadOf(load)
	return max(current.InFlight, current.wanted(v.duration))
}

// weightOf returns the weight of a listed tenant or of a group. The members of a group are
// unknown; each counts like the median of the listed tenants.
func (v *serviceView) weightOf(load *wirev1.TenantLoad, loads []*wirev1.TenantLoad) float64 {
	if load.Tenant != "" {
		return v.weight(load.Tenant)
	}
	var listed []float64
	for _, other := range loads {
		if other.Tenant != "" {
			listed = append(listed, v.weight(other.Tenant))
		}
	}
	median := 1.0
	if len(listed) > 0 {
		slices.Sort(listed)
		median = listed[len(listed)/2]
	}
	return median * float64(max(1, load.Tenants))
}

// recordStandings records the loads, the tenants over their share, and the state of the
// tenants that are not listed.
func (v *serviceView) recordStandings(loads []*wirev1.TenantLoad, previous *serviceView) {
	for _, load := range loads {
		current := loadOf(load)
		if load.Tenant == "" {
			share := v.division.Share(load.Priority, v.weightOf(load, loads))
			v.unlisted[load.Priority] = standingOf(current, share, v.duration, false).State
			continue
		}
		key := tenantKey{service: load.Service, tenant: load.Tenant, priority: load.Priority}
		v.loads[key] = current
		share := v.division.Share(key.priority, v.weight(key.tenant))
		if standing := standingOf(current, share, v.duration, previous.isOver(key)); standing.State == Over {
			v.over[key] = standing
		}
	}
}

// isOver reports whether a tenant is over its share. In a nil view, no tenant is.
func (v *serviceView) isOver(key tenantKey) bool {
	if v == nil {
		return false
	}
	_, over := v.over[key]
	return over
}

// standing returns the standing of a tenant with a new request. ownInFlight is the number of its
// other requests on this node. They are part of the zone's, but the number is newer, and counts
// alone if it is higher.
func (v *serviceView) standing(key tenantKey, ownInFlight int) Standing {
	load, listed := v.loads[key]
	load.InFlight = max(load.InFlight, float64(ownInFlight))
	standing := standingOf(load, v.division.Share(key.priority, v.weight(key.tenant)), v.duration, v.isOver(key))
	if !listed && standing.State == Under && v.unlisted[key.priority] != Under {
		standing.State = At
	}
	return standing
}
