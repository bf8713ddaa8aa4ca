package zoneload

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Publisher sends the digests of a storage node to edges.
type Publisher struct {
	directory Directory
	// Tenants returns the largest tenants in a zone, for the digests to the edges there;
	// nil: none. It is set before Run.
	Tenants func(zone string, now time.Time) []*wirev1.TenantLoad
}
