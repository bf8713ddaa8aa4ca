// Package catalog holds the operators' configuration of requests: routes, the
// services behind them, tenants with their keys, and limits on callers' requests.
// A Catalog is one version of the configuration and is not changed once it is
// active. A Holder keeps the active version and replaces it only by a newer one.
//
// The package keeps the active version in memory and does no I/O; its callers read
// and parse the configuration document. Edges and storage nodes use the package; a
// plain node uses package bundle instead.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Service is a pool of runners that routes refer to by its name.
type Service struct {
	Name string
	// Slots is the number of requests that a runner processes at once; 0 means
	// unknown.
	Slots int
	// MaxConnections is the number of connections that a runner accepts from all
	// nodes together; 0 means unknown.
	MaxConnections int
	// CacheTokens is the size of a runner's cache in tokens. Running requests and
	// cached prompts share the cache.
	CacheTokens int
	// HealthPath is the path of the runners' health check.
	HealthPath string
}

// RequestLimits bounds the size and duration of callers' requests.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Services map[string]*Service
	Limits   RequestLimits
	// hosts holds each host's routes, the longest prefix first.
	hosts      map[string][]*Route
	routeCount int
	// tenants holds the tenants by name; keys holds them by the digests of their keys.
	tenants map[string]*Tenant
	keys    map[KeyDigest]*Tenant
}

// New validates the routes and returns a version without tenants; SetTenants adds
// the tenants. New returns an *InvalidRouteError for the first invalid route.
func New(version uint64, routes []*Route, services []*Service, limits RequestLimits) (*Catalog, error) {
	c := &Catalog{
		Version: version, Services: map[string]*Service{}, Limits: limits, hosts: map[string][]*Route{}, routeCount: len(routes),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		if err := checkRoute(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c, nil
}

// RouteCount returns the number of routes in the version.
func (c *Catalog) RouteCount() int { return c.routeCount }

// Match returns the route of the host whose prefix of the path is the longest, or
// nil if no route matches. Among equal prefixes, the route given first to New wins.
// The port and the case of the host do not matter. A prefix may end within a path
// segment: "/a" matches "/ab".
func (c *Catalog) Match(host, path string) *Route {
	for _, route := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName removes the port and converts the host to lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
