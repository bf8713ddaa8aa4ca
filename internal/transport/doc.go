// Package transport groups the packages for network connections. It contains no code
// itself.
//
//   - rpc carries messages between nodes.
//   - httpcall is an HTTP client for runners and services.
//   - nethttp is the HTTP server of edges and storage nodes, httpserve that of plain nodes.
//   - eventstream decodes server-sent events.
//   - sockets configures TCP connections and checks their state.
//   - tlskeys loads TLS key pairs and reloads them when their files change.
package transport
