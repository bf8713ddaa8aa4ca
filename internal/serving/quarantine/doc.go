// Package quarantine stops requests that crash runners from reaching more runners.
//
// The caller of a request that crashes every runner (a "query of death") retries
// it at any node under a new id, so a single node cannot recognize it by id. Each
// node therefore counts, by a fingerprint of the request's content, the runners that
// ended while they ran the request, and the nodes report these endings to each
// other. Once enough runners have ended, the request is held: no node sends it to a
// runner until the hold expires. When a runner completes the request, its recorded
// endings are dropped and its hold is lifted.
//
//   - decision.go contains the rules: when a request is held and released, for how
//     long, which request the end of a runner is attributed to, and which runners a
//     suspect avoids.
//   - SuspectTable is the state that the rules act on, without I/O.
//   - CrashDetector distinguishes a runner that ended from a broken connection.
//   - Coordinator reports to other nodes and saves holds in the platform's store
//     (Archive), so that they survive restarts. Checking a request needs no I/O.
//
// The package owns the document of holds in the store and sends its notices through
// package notify. The edge and the storage node run it, and the plain node runs it
// through modules/serving/crashes. docs/design/quarantine.md describes the design.
package quarantine
