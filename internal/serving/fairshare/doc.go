// Package fairshare divides the slots of a service fairly among tenants while there are too
// few slots for all requests. Edges and storage nodes use it. See docs/design/hard-load.md.
//
// An edge counts its requests by tenant (Counter) and reports the counts to the storage nodes
// of its zone (Reporter). These sum the reports of the zone (Sums); the sums return to the
// edges in the digest of the zones' load. From the digest, an edge divides the slots of a
// service in its zone among the tenants with requests there (Divide) and determines how each
// tenant's requests compare to the tenant's share (Shares). Package online decides with that
// which requests are refused while the service is full.
//
// Divide and standingOf are pure. The package relies on package notify for the sender of
// notices, and owns no connections.
package fairshare
