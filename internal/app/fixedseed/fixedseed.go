// Package fixedseed makes property tests generate the same cases on each run, and sets their number. Test files
// import it for its side effect. The environment variable COBALTRAMP_TEST_SEED sets another
// seed.
package fixedseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags that are set below
)

const defaultSeed = "20261202"

func init() {
	seed := os.Getenv("COBALTRAMP_TEST_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
	_ = flag.Set("rapid.nofailfile", "true")
}
