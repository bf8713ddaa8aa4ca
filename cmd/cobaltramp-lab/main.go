// Command cobaltramp-lab holds everything that is not the product: emulated
// engines and platform, load, faults, experiments and reports.
package main

import (
	"os"

	"cobaltramp.example/cobaltramp/lab/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
