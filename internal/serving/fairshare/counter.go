package fairshare

import (
	"sync"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// reportInterval is the interval at which counts are reported and the window of arrivals
	// moves.
	reportInterval = 250 * time.Millisecond
	// arrivalWindow is the length of the window in which arrivals are counted. It is short,
	// so that a burst is no longer seen within a second after its end.
	arrivalWindow = 2 * reportInterval
	// maxCounted limits the memory use: beyond it, requests of further tenants are counted
	// together.
	maxCounted = 1024
	// maxPriority limits the number of priorities that are distinguished.
	maxPriority = 7
)

// tenantKey identifies the requests of one tenant of a service. The tenant is empty for
// requests without a tenant and for sums over several tenants.
type tenantKey struct {
	service, tenant string
	priority        uint32
}

func keyOf(service, tenant string, priority int) tenantKey {
	return tenantKey{service: service, tenant: tenant, priority: uint32(min(max(0, priority), maxPriority))}
}

// counts holds the requests of one key.
type counts struct {
	inFlight int
	// current and previous are the arrivals in the two intervals of the window.
	current, previous int
}

// Counter counts this node's requests by service and tenant. It is safe for concurrent use.
type Counter struct {
	mutex   sync.Mutex
	entries map[tenantKey]*counts
	// windowStart and intervalStart are the starts of the previous and of the current
	// interval of the window.
	windowStart, intervalStart time.Time
}

// NewCounter returns a counter without requests.
func NewCounter(now time.Time) *Counter {
	return &Counter{entries: map[tenantKey]*counts{}, windowStart: now, intervalStart: now}
}

// begin counts the arrival of a request; the returned function counts its end.
func (c *Counter) begin(key tenantKey) (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entry := c.entries[key]
	if entry == nil && len(c.entries) >= maxCounted {
		key.tenant = ""
		entry = c.entries[key]
	}
	if entry == nil {
		entry = &counts{}
		c.entries[key] = entry
	}
	entry.inFlight++
	entry.current++
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		entry.inFlight--
	}
}

// inFlight returns the number of this node's requests of a key.
func (c *Counter) inFlight(key tenantKey) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if entry := c.entries[key]; entry != nil {
		return entry.inFlight
	}
	return 0
}

// advance returns the loads of all keys, moves the window of arrivals by one interval, and
// drops the keys without requests.
func (c *Counter) advance(now time.Time) []*wirev1.TenantLoad {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	window := max(now.Sub(c.windowStart), reportInterval)
	var loads []*wirev1.TenantLoad
	for key, entry := range c.entries {
		if entry.inFlight == 0 && entry.current+entry.previous == 0 {
			delete(c.entries, key)
			continue
		}
		row := &wirev1.TenantLoad{
			Service: key.service, Tenant: key.tenant, Priority: key.priority,
			InFlight:          uint32(entry.inFlight),
			ArrivalsPerSecond: float64(entry.current+entry.previous) / window.Seconds(),
		}
		if key.tenant == "" {
			row.Tenants = 1
		}
		loads = append(loads, row)
		entry.previous, entry.current = entry.current, 0
	}
	c.windowStart, c.intervalStart = c.intervalStart, now
	return loads
}
