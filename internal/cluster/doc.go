// Package cluster contains the packages with which a process learns of other processes
// and of the runners. It contains no code itself.
//
//   - Edges and storage nodes use informer, listwatch, relay, peers and subset. These nodes
//     learn of each other from records in the platform's store.
//   - Plain nodes use membership, fleet and spread. They learn of each other by gossip.
//   - All of them use ownership (rendezvous hashing), notify (coalesced notices between
//     nodes) and ports (interfaces of the platform's services).
package cluster
