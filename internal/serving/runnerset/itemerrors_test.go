package runnerset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A job of many items that fail everywhere must not eject so many sound runners that the
// items of other jobs have to wait.
func TestItemErrorsEjectFewRunners(t *testing.T) {
	for _, test := range []struct{ runners, mayBeEjected int }{{1, 1}, {3, 1}, {4, 1}, {8, 2}, {48, 12}} {
		is := is.New(t)
		now := time.Now()
		var records []Record
		for number := range test.runners {
			records = append(records, record(fmt.Sprint("r", number), "z"))
		}
		s := setOf(records...)
		for item := range 5 {
			for number, runner := range s.Service("s") {
				runner.RecordItemError(fmt.Sprint("item ", item, number), now)
			}
		}
		ejected := 0
		for _, runner := range s.Service("s") {
			if runner.ejection.active(now) {
				ejected++
			}
		}
		is.Equal(ejected, test.mayBeEjected)
	}
}

// The limit on ejections for item errors must not shorten the ejection of a runner that
// keeps failing, nor prevent ejections for other failures.
func TestEjectedRunnerStaysEjectedForItemErrors(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("failing", "z"), record("other", "z"))
	failing := s.byID["failing"]
	for item := range 3 {
		failing.RecordItemError(fmt.Sprint("item ", item), now)
	}
	is.True(failing.ejection.active(now.Add(minEjection))) // the second failure doubled the time
	s.byID["other"].RecordFailure(now)
	is.True(s.byID["other"].ejection.active(now))
}
