// Package eventually lets a test wait until a condition holds that other goroutines bring
// about. Only test files import it.
package eventually

import (
	"testing"
	"time"
)

const (
	// timeout fails a test that would hang. No test depends on its length.
	timeout = 90 * time.Second
	// pollInterval is the time between two evaluations of the condition.
	pollInterval = time.Millisecond
)

// Require waits until the condition holds. On a timeout it ends the test, and reports the
// description and the results of the observations. It must be called from the goroutine of
// the test.
func Require(t testing.TB, description string, condition func() bool, observations ...func() any) {
	t.Helper()
	if !Assert(t, description, condition, observations...) {
		t.FailNow()
	}
}

// Assert is like Require but may be called from any goroutine: on a timeout it marks the
// test as failed and returns false.
func Assert(t testing.TB, description string, condition func() bool, observations ...func() any) bool {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Errorf("timed out waiting for: %s; last seen: %v", description, evaluate(observations))
			return false
		}
	}
	return true
}

func evaluate(observations []func() any) []any {
	var results []any
	for _, observe := range observations {
		results = append(results, observe())
	}
	return results
}
