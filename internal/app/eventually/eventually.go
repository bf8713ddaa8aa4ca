// Package eventually lets a test wait for a state that other goroutines bring
// about. Only test files import it.
package eventually

import (
	"testing"
	"time"
)

const (
	// limit ends a test that would hang; no test relies on how soon it comes.
	limit = 90 * time.Second
	// interval is the time between two looks at the condition.
	interval = time.Millisecond
)

// Require waits until the condition holds, and ends the test with what it waited
// for and what was seen last if that never happens. It must be called from the
// goroutine of the test.
func Require(t testing.TB, what string, condition func() bool, seen ...func() any) {
	t.Helper()
	if !Assert(t, what, condition, seen...) {
		t.FailNow()
	}
}

// Assert is Require for other goroutines: it marks the test as failed, and reports
// whether the condition came to hold.
func Assert(t testing.TB, what string, condition func() bool, seen ...func() any) bool {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(interval) {
		if time.Now().After(deadline) {
			t.Errorf("never: %s; seen at the end: %v", what, values(seen))
			return false
		}
	}
	return true
}

func values(seen []func() any) []any {
	var last []any
	for _, look := range seen {
		last = append(last, look())
	}
	return last
}
