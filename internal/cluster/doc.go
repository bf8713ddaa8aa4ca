// Package cluster contains the packages with which a process (a node) learns of other
// nodes and of the runners, which are model engines. It contains no code itself.
//
//   - Edges and storage nodes use informer, listwatch, relay, peers and subset. These nodes
//     learn of each other from records in the platform's store and from peers. They use
//     forwarding and forwardtrace to call storage nodes to which they have no direct path.
//   - Plain nodes use membership, fleet and spread. They learn of each other by gossip.
//   - All nodes use ownership (rendezvous hashing), notify (coalesced notices between
//     nodes) and ports (interfaces of the platform's services).
package cluster
