package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Started items that can meet their due time rank first, then unstarted items with
// enough slack.
func TestRankOf(t *testing.T) {
	for _, test := range []struct {
		name    string
		started bool
		slack   time.Duration
		want    rank
	}{
		{"started, in time", true, 0, rankStarted},
		{"started, late", true, -1, rankLate},
		{"unstarted, with enough slack", false, 350 * time.Millisecond, rankUnstarted},
		{"unstarted, with too little slack", false, 349 * time.Millisecond, rankLate},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(rankOf(test.started, test.slack, time.Second), test.want) })
	}
}
