package fixedseed

import (
	"flag"
	"testing"
)

// SetChecks sets the number of cases of the property tests until the test ends, unless it is given on
// the command line.
func SetChecks(t testing.TB, checks string) {
	t.Helper()
	number := flag.Lookup("rapid.checks")
	before := number.Value.String()
	if before != number.DefValue {
		return
	}
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}
