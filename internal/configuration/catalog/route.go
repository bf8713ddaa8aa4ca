package catalog

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// RouteKind determines the form of the responses of a route and whether its requests
// may run more than once.
type RouteKind uint8

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// Once requests run at most once. If a caller sends a request again, the second
	// request is independent of the first and may run too.
	Once
	// Streaming requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
	// Batch routes accept jobs, which consist of items.
	Batch
)

// WeightedService is a service of a route with its weight in the distribution of
// requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum duration of a request; 0 means no limit.
	Timeout time.Duration
	// Target is the target for the time to the first event of a stream, to the
	// acceptance of a job, or, on other routes, to the end of the response.
	Target time.Duration
	// GapTarget is the target for the time between two events of a stream.
	GapTarget time.Duration
	// Attempts is the maximum number of runs of one online request.
	Attempts int
	// Priority orders routes; 0 is the highest priority.
	Priority int
	// Resumable streams can continue on another runner after their last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Services lists the services that share the route's requests.
	Services []WeightedService
	// The next three fields apply only to batch routes. All results of a job are due
	// ResultTarget after its submission; its unfinished items may expire MaxWait after
	// its submission. MaxWaitingTokens is the maximum number of tokens of waiting items
	// on all nodes together; 0 means no limit.
	ResultTarget     time.Duration
	MaxWait          time.Duration
	MaxWaitingTokens uint64
}

// MayRepeat reports whether a request may run again after an attempt whose outcome
// is unknown.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Batch || r.Kind == Streaming && r.Resumable
}

// HasService reports whether a service shares the route's requests.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Services, func(weighted WeightedService) bool { return weighted.Service == name })
}

// ServiceFor selects the service of a request by weight. The choice depends only on
// the route's name, its services with their weights, and the request ID. A route
// with one service always selects that service; with several services whose weights
// are all 0, ServiceFor returns an empty string.
func (r *Route) ServiceFor(id string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, weighted := range r.Services {
		total += weighted.Weight
	}
	if total == 0 {
		return ""
	}
	digest := fnv.New64a() // its Write never returns an error
	_, _ = digest.Write([]byte(r.Name))
	_, _ = digest.Write([]byte(id))
	position := int(mixBits(digest.Sum64()) % uint64(total))
	for _, weighted := range r.Services {
		if position < weighted.Weight {
			return weighted.Service
		}
		position -= weighted.Weight
	}
	return ""
}

// mixBits distributes the entropy of an FNV hash over all bits, because the low bits
// of an FNV hash are unevenly distributed.
func mixBits(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return value
}

// InvalidRouteError reports an invalid field of a route. A version with an invalid
// route is refused as a whole.
type InvalidRouteError struct {
	Route, Field, Found, Allowed string
}

// Error implements error.
func (e *InvalidRouteError) Error() string {
	return fmt.Sprintf("route %s: %s: found %q, allowed: %s", e.Route, e.Field, e.Found, e.Allowed)
}

func checkRoute(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return &InvalidRouteError{route.Name, "path prefix", route.PathPrefix, "a text that begins with a slash"}
	}
	if len(route.Services) == 0 {
		return &InvalidRouteError{route.Name, "service", "", "at least one service"}
	}
	for _, weighted := range route.Services {
		if weighted.Weight < 0 {
			return &InvalidRouteError{route.Name, "weight", fmt.Sprint(weighted.Weight), "0 or more"}
		}
	}
	return nil
}
