// Package serving groups the packages that process an online request between its
// caller and a runner. It contains no code itself.
//
//   - Authentication and rate limits of tenants: authn, admission and allotment on
//     the edge; limits and quota on the plain node.
//   - Choice of a runner: runnerset, enginemodel and loadshare on the edge;
//     scheduling, health and arbiter on the plain node.
//   - Sending, retries and refusals: online, exchange and retryafter on the edge;
//     engine and retry on the plain node.
//   - Requests that crash runners: quarantine, on all kinds of nodes.
//
// The storage node runs batch items on the same runners and shares the packages that
// are listed for the edge.
package serving
