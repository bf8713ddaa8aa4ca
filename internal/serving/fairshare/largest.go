package fairshare

import (
	"cmp"
	"slices"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// maxTenants is the number of tenants of a service that are listed by name.
	maxTenants = 16
	// maxServices is the number of services for which tenants are listed.
	maxServices = 16
	// maxRows is the largest number of loads in a report: for each service, the listed
	// tenants and one sum for each priority.
	maxRows = maxServices * (maxTenants + maxPriority + 1)
)

// size orders loads: the number of slots that a tenant occupies and may want.
func size(load *wirev1.TenantLoad) float64 {
	return float64(load.InFlight) + max(0, load.ArrivalsPerSecond)
}

// largest returns the loads of the largest tenants of each service, with the others summed
// into one load for each service and priority. The result is ordered, so that equal loads
// have equal results. It may change the given loads.
func largest(loads []*wirev1.TenantLoad) []*wirev1.TenantLoad {
	byService := map[string][]*wirev1.TenantLoad{}
	sizes := map[string]float64{}
	for _, load := range loads {
		byService[load.Service] = append(byService[load.Service], load)
		sizes[load.Service] += size(load)
	}
	services := make([]string, 0, len(byService))
	for service := range byService {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b string) int { return cmp.Or(cmp.Compare(sizes[b], sizes[a]), cmp.Compare(a, b)) })
	var result []*wirev1.TenantLoad
	for _, service := range services[:min(len(services), maxServices)] {
		result = append(result, largestOfService(byService[service])...)
	}
	return result
}

func largestOfService(loads []*wirev1.TenantLoad) []*wirev1.TenantLoad {
	slices.SortFunc(loads, func(a, b *wirev1.TenantLoad) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Priority, b.Priority))
	})
	var listed []*wirev1.TenantLoad
	var rest [maxPriority + 1]*wirev1.TenantLoad
	for _, load := range loads {
		if load.Tenant != "" && len(listed) < maxTenants {
			listed = append(listed, load)
			continue
		}
		priority := min(load.Priority, maxPriority)
		if rest[priority] == nil {
			rest[priority] = &wirev1.TenantLoad{Service: load.Service, Priority: priority}
		}
		addToRest(rest[priority], load)
	}
	for _, sum := range rest {
		if sum != nil {
			listed = append(listed, sum)
		}
	}
	return listed
}

// addToRest adds the load of a tenant, or of a group of tenants, to a sum.
func addToRest(sum, load *wirev1.TenantLoad) {
	sum.InFlight += load.InFlight
	sum.ArrivalsPerSecond += load.ArrivalsPerSecond
	if load.Tenant != "" {
		sum.Tenants++
	} else {
		sum.Tenants += load.Tenants
	}
}
