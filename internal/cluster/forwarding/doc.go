// Package forwarding calls a storage node through a peer while this node has no direct
// connection to it, and serves such calls for peers. Edges and storage nodes use it. See
// docs/design/hard-load.md.
package forwarding
