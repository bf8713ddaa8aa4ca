package admission

import (
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

const (
	// noAnswerRetryAfter is when a caller should come back whose tenant's keeper does
	// not answer: another one takes its place within about a second.
	noAnswerRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest time to return.
	minRetryAfter = 50 * time.Millisecond
	// noAnswerPause is how long a keeper that did not answer is not asked for
	// credits, and up to as much longer: while a shard has no leader all nodes would
	// ask for each of its tenants.
	noAnswerPause = 150 * time.Millisecond
)

// returnAfter decides when a caller over its tenant's limit should return: after the
// wait that the keeper stated, with jitter.
func returnAfter(wait time.Duration) time.Duration { return jittered(max(wait, minRetryAfter)) }

// pauseAfterNoAnswer decides how long a keeper that did not answer is not asked.
func pauseAfterNoAnswer() time.Duration { return noAnswerPause + rand.N(noAnswerPause) }

// jittered lengthens a time by up to half as much again, so that callers refused
// together do not return together.
func jittered(wait time.Duration) time.Duration { return wait + rand.N(wait/2+time.Millisecond) }

// noAnswer is the refusal of a request whose tenant's keeper does not answer.
func noAnswer() error {
	return result.New(result.NotReady, "the keeper of the tenant's limit does not answer").WithRetryAfter(jittered(noAnswerRetryAfter))
}

// overLimit is the refusal of a request for which the keeper has no credit; wait is
// when it may have one.
func overLimit(tenant string, limit allotment.RateLimit, wait time.Duration) error {
	refusal := result.New(result.TenantRate, "tenant %q has more than %g requests a second and a burst of %g", tenant, limit.Rate, limit.Burst)
	return refusal.WithRetryAfter(returnAfter(wait))
}
