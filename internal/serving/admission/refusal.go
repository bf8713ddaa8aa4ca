package admission

import (
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

const (
	// unavailableRetryAfter is the retry delay while the keeper is unavailable; a new leader
	// usually takes over within a second.
	unavailableRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 50 * time.Millisecond
	// minKeeperPause is the shortest pause in calls to a keeper that did not respond.
	// Without a pause, all nodes would call a shard without a leader for each of its
	// tenants.
	minKeeperPause = 150 * time.Millisecond
)

// retryDelay returns the retry delay for a caller over its tenant's limit, from the wait
// that the keeper stated.
func retryDelay(wait time.Duration) time.Duration { return withJitter(max(wait, minRetryAfter)) }

// keeperPause returns for how long a keeper that did not respond is not called.
func keeperPause() time.Duration { return minKeeperPause + rand.N(minKeeperPause) }

// withJitter adds up to half of the delay at random, so that callers refused together do not
// return together.
func withJitter(wait time.Duration) time.Duration { return wait + rand.N(wait/2+time.Millisecond) }

// keeperUnavailable returns the error for a request whose tenant's keeper does not respond.
func keeperUnavailable() error {
	return result.New(result.NotReady, "the keeper of the tenant's limit does not answer").WithRetryAfter(withJitter(unavailableRetryAfter))
}

// overLimit returns the error for a request that exceeds the tenant's limit; wait is the
// time until the keeper expects to have credit.
func overLimit(tenant string, limit allotment.RateLimit, wait time.Duration) error {
	refusal := result.New(result.TenantRate, "tenant %q has more than %g requests a second and a burst of %g", tenant, limit.Rate, limit.Burst)
	return refusal.WithRetryAfter(retryDelay(wait))
}
