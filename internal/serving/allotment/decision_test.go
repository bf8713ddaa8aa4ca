package allotment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A holder gets the share that it claims if all claims fit, else a proportional part. It
// never gets a share that others may be using, nor a share below the smallest burst.
func TestGrantableShare(t *testing.T) {
	large := RateLimit{Rate: 100, Burst: 100}
	for _, test := range []struct {
		name    string
		limit   RateLimit
		request shareRequest
		share   float64
	}{
		{"all fits", large, shareRequest{wanted: 0.25, wantedByAll: 0.5, inUseByOthers: 0.25, settled: true}, 0.25},
		{"proportional part", large, shareRequest{wanted: 0.5, wantedByAll: 1, settled: true}, 0.25},
		{"others still use a part", large, shareRequest{wanted: 0.25, wantedByAll: 0.25, inUseByOthers: 0.375, settled: true}, 0.125},
		{"others use everything", large, shareRequest{wanted: 0.25, wantedByAll: 0.25, inUseByOthers: 0.75, settled: true}, 0},
		{"new keeper extends the held share", large, shareRequest{wanted: 0.25, inUse: 0.125, wantedByAll: 0.25}, 0.125},
		{"too small", large, shareRequest{wanted: 0.01, wantedByAll: 0.01, settled: true}, 0},
		{"small tenant", RateLimit{Rate: 100, Burst: 39}, shareRequest{wanted: 0.25, wantedByAll: 0.25, settled: true}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(grantableShare(test.limit, test.request), test.share)
		})
	}
}

// Callers that are refused in sequence get increasing retry delays, spaced by the refill
// rate and limited by maxRetryAfter.
func TestRetryQueue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var queue retryQueue
	is.Equal(queue.next(now, 0.5, 2, 1), 250*time.Millisecond)
	is.Equal(queue.next(now, 0.5, 2, 4), 750*time.Millisecond) // after the first
	is.Equal(queue.next(now, 0.5, 2, 1), 2750*time.Millisecond)
	is.Equal(queue.next(now, 0.5, 2, 1), maxRetryAfter) // the queue is full and starts again
	is.Equal(queue.next(now, 0.5, 2, 1), 250*time.Millisecond)
	is.Equal(queue.next(now.Add(time.Minute), 0, 2, 1), 500*time.Millisecond) // earlier callers have returned
}

// A node claims more than its demand, but at most the whole limit. Without demand it claims
// nothing.
func TestWantedShare(t *testing.T) {
	is := is.New(t)
	is.Equal(wantedShare(8, RateLimit{Rate: 100}), (demandHeadroom*8+demandMargin)/100)
	is.Equal(wantedShare(1000, RateLimit{Rate: 100}), 1.0)
	is.Equal(wantedShare(0, RateLimit{Rate: 100}), 0.0)
	is.Equal(wantedShare(8, RateLimit{}), 0.0)
}

// A holder with demand keeps its spare request. A holder without a spare request gets one
// only if the keeper is settled and fewer than the maximum are granted.
func TestGrantsSpare(t *testing.T) {
	is := is.New(t)
	is.True(grantsSpare(Claim{Spare: true, Wanted: 0.1}, false, 10, 10))
	is.True(grantsSpare(Claim{Wanted: 0.1}, true, 9, 10))
	is.True(!grantsSpare(Claim{Wanted: 0.1}, true, 10, 10))
	is.True(!grantsSpare(Claim{Wanted: 0.1}, false, 0, 10))
	is.True(!grantsSpare(Claim{Spare: true}, true, 0, 10))
}
