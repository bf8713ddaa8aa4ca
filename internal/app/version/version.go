// Package version contains the version of the release.
package version

// Version is the version of the release. Builds may set it with the linker's -X flag.
var Version = "0.1.0-dev"
