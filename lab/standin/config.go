package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ReadyPath is the path of the readiness probe of an edge.
const ReadyPath = "/-/readyz"

// Path prefixes of the routes of DayConfig.
const (
	EventsPrefix = "/events/"
	OncePrefix   = "/once/"
	BatchPrefix  = "/batch/"
)

// versionPrefix returns the path prefix of the route that only one version of DayConfig has.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// ConfigInForce reports whether the node at an address serves the route that only the given
// version of DayConfig has. It returns false if the node does not respond.
func ConfigInForce(address, host string, version int) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+versionPrefix(version)+"x", strings.NewReader("version"))
	if err != nil {
		return false
	}
	request.Host = host
	setRequestHeaders(request, fmt.Sprintf("version-%d-%s", version, address))
	status, _ := roundTrip(request)
	return status != 0 && status != http.StatusNotFound
}

// eventsAttempts is the number of attempts of the route that may be retried.
const eventsAttempts = 2

// PutConfig writes the configuration, as an operator would.
func (s *Store) PutConfig(config map[string]any) { s.Put("op/config", config) }

// DayConfig returns a configuration of one service with four routes: a streaming
// route that may be retried and resumed, a streaming route without retries, a
// batch route, and a route that only this version has. It has a further batch route for each
// of batchPrefixes.
func DayConfig(host string, version int, batchPrefixes ...string) map[string]any {
	route := func(name, prefix, kind string, extra map[string]any) map[string]any {
		fields := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": 4000, "target_ms": 300, "service": "s",
		}
		for key, value := range extra {
			fields[key] = value
		}
		return fields
	}
	batch := map[string]any{"attempts": 3, "result_target_ms": 10000, "max_wait_s": 600, "max_queued_tokens": 1000000}
	routes := []map[string]any{
		route("events", EventsPrefix, "streaming", map[string]any{"attempts": eventsAttempts, "resumable": true}),
		route("once", OncePrefix, "streaming", map[string]any{"attempts": 1}),
		route("batch", BatchPrefix, "batch", batch),
		route("version", versionPrefix(version), "streaming", map[string]any{"attempts": 1}),
	}
	for number, prefix := range batchPrefixes {
		routes = append(routes, route(fmt.Sprint("further-batch-", number), prefix, "batch", batch))
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": "s", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{"slots": 8, "kv_capacity": 100000}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// SetRouteTimes sets the timeout of all routes of a configuration, and their target to the same, so that
// no request is refused because its response begins late.
func SetRouteTimes(config map[string]any, timeout time.Duration) {
	for _, route := range config["routes"].([]map[string]any) {
		route["timeout_ms"] = timeout.Milliseconds()
		route["target_ms"] = timeout.Milliseconds()
	}
}
