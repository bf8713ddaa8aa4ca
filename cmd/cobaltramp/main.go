// Command cobaltramp runs a plain node, an edge or a storage node. It is also the
// operators' command-line client.
package main

import (
	"os"

	"cobaltramp.example/cobaltramp/internal/app/cli"
	_ "cobaltramp.example/cobaltramp/internal/app/hangup" // before the settings are read, SIGHUP has no effect
	_ "cobaltramp.example/cobaltramp/modules/standard"    // registers the modules
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
