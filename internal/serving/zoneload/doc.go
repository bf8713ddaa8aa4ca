// Package zoneload distributes the load of the runners of each zone from storage nodes to
// edges, and computes which share of its requests an edge sends to other zones. Edges and
// storage nodes use it. See docs/design/hard-load.md.
package zoneload
