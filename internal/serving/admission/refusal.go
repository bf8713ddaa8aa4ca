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
	// minKeeperPause is the shortest pause in credit requests to a keeper after a failed
	// call. The pause limits the calls to a shard without a leader, which all nodes would
	// otherwise make for each of its tenants.
	minKeeperPause = 150 * time.Millisecond
)

// retryDelay returns the retry delay for a caller over its tenant's limit: the delay that the
// keeper returned, but at least minRetryAfter, with jitter.
func retryDelay(wait time.Duration) time.Duration { return withJitter(max(wait, minRetryAfter)) }

// keeperPause returns the length of a pause in credit requests to a keeper, at random between
// minKeeperPause and twice as long.
func keeperPause() time.Duration { return minKeeperPause + rand.N(minKeeperPause) }

// withJitter adds up to half of the delay at random, so that callers that are refused
// together do not retry together.
func withJitter(wait time.Duration) time.Duration { return wait + rand.N(wait/2+time.Millisecond) }

// keeperUnavailable returns the error for a request that gets no credit because the keeper
// does not respond in time, a call to it has failed, or it cannot be called at the moment.
func keeperUnavailable() error {
	return result.New(result.NotReady, "the keeper of the tenant's limit does not answer").WithRetryAfter(withJitter(unavailableRetryAfter))
}

// overLimit returns the error for a request that exceeds the tenant's limit; wait is the
// time after which the keeper expects to have credit.
func overLimit(tenant string, limit allotment.RateLimit, wait time.Duration) error {
	refusal := result.New(result.TenantRate, "tenant %q has more than %g requests a second and a burst of %g", tenant, limit.Rate, limit.Burst)
	return refusal.WithRetryAfter(retryDelay(wait))
}
