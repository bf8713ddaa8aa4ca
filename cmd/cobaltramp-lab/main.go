// Command cobaltramp-lab runs demonstrations, benchmarks, experiments and fault tests of
// the product on emulated engines and an emulated platform.
package main

import (
	"os"

	"cobaltramp.example/cobaltramp/lab/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
