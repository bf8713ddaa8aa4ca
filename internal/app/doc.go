// Package app is the parent folder of the packages that build programs from the other
// packages. It contains no code itself.
//
//   - cli is the command line. explain reads log files for it.
//   - kernel starts and stops modules. node runs the modules of a plain node, and role
//     those of an edge or a storage node.
//   - tasks runs goroutines, pause waits, boottime is the clock for leases, asynclog
//     writes the log, and result defines the result codes. version is the release.
//   - eventually and fixedseed are for tests.
package app
