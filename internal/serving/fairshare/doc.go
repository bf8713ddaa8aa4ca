// Package fairshare divides the slots of a service fairly among tenants while there are too
// few slots for all requests. Edges and storage nodes use it. See docs/design/hard-load.md.
package fairshare
