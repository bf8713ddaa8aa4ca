// Package forwarding calls a storage node through a peer while this node has no direct
// connection to it, and serves such calls for peers.
//
// A Caller sends calls on the direct path at first, and through a forwarder if the direct
// path fails or does not answer in time. It remembers which direct paths are broken and
// which forwarders answered. A Forwarder serves the calls of peers within fixed limits. It
// calls the target directly only, so a call is forwarded at most once. decision.go has the
// rules, which depend on state, events and time only.
//
// The package relies on package rpc for calls and on package peers for the records of nodes.
// Package queueclient calls storage nodes through a Caller, and package loadshare sends its
// notices through it. Edges and storage nodes use the package. See docs/design/hard-load.md.
package forwarding
