package catalog

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// RouteKind says what a route's requests are and what may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// Once requests run at most once for each try.
	Once
	// Streaming requests are answered by events; they run at most once unless
	// the route is resumable.
	Streaming
	// Batch routes take jobs of many items.
	Batch
)

// WeightedService is one service of a route and its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one rule of the configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time a request is held; 0 is no limit.
	Timeout time.Duration
	// Target is the time within which an answer earns its full credit.
	Target time.Duration
	// GapTarget is the longest pause between events that is still in time.
	GapTarget time.Duration
	// Attempts is the greatest number of runners one try may run on.
	Attempts int
	// Priority is the rank; 0 is the highest.
	Priority int
	// Resumable streams may go on at another runner after the last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Services are the services; weights are positive.
	Services []WeightedService
	// ResultTarget, GiveUp, MaxWaitingTokens are of batch routes: when results
	// are due, when an item may be given up, and how many tokens may wait (0 is
	// no limit).
	ResultTarget     time.Duration
	GiveUp           time.Duration
	MaxWaitingTokens uint64
}

// MayRepeat reports whether a request may run again after an unknown outcome.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Batch || r.Kind == Streaming && r.Resumable
}

// ServiceFor picks the part of a request, the same for the same id.
func (r *Route) ServiceFor(id string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, part := range r.Services {
		total += part.Weight
	}
	if total == 0 {
		return ""
	}
	digest := fnv.New64a() // its writes never fail
	_, _ = digest.Write([]byte(r.Name))
	_, _ = digest.Write([]byte(id))
	at := int(mix(digest.Sum64()) % uint64(total))
	for _, part := range r.Services {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return ""
}

// mix spreads the low bits of an FNV digest.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return value
}

// InvalidRouteError says why a version cannot be served.
type InvalidRouteError struct {
	Route, Field, Found, Allowed string
}

// Error implements error.
func (e *InvalidRouteError) Error() string {
	return fmt.Sprintf("route %s: %s: found %q, allowed: %s", e.Route, e.Field, e.Found, e.Allowed)
}

func check(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return &InvalidRouteError{route.Name, "path prefix", route.PathPrefix, "a text that begins with a slash"}
	}
	if len(route.Services) == 0 {
		return &InvalidRouteError{route.Name, "service", "", "at least one service"}
	}
	for _, part := range route.Services {
		if part.Weight < 0 {
			return &InvalidRouteError{route.Name, "weight", fmt.Sprint(part.Weight), "0 or more"}
		}
	}
	return nil
}
