package quarantine

import (
	"math"
	"sync"
	"time"
)

// Runners also end without any request's doing: machines fail, deployments are replaced. How much
// an ending says about the work that ran there depends on how often other runners of the service
// ended at that time, without that work, and on how long the run had lasted.

const (
	// backgroundWindow is how long before and after an ending the endings of other runners are
	// counted.
	backgroundWindow = 10 * time.Second
	// backgroundTTL is how long the ending of a runner is remembered. It covers the window of
	// all endings whose weight may be asked for while a wave of endings goes on.
	backgroundTTL = time.Minute
	// maxRecentEndings is the maximum number of remembered endings. At the maximum no others
	// are recorded until some expire.
	maxRecentEndings = 4096
	// significantChance is the chance of an ending without the work's doing below which the
	// ending counts in full.
	significantChance = 0.05
	// minDisturbance is the number of other runners of a service that must have ended within
	// backgroundWindow for the time to be disturbed, and disturbedShare the share of the service's
	// runners, if that is more.
	minDisturbance = 3
	disturbedShare = 0.02
	// calmTime is how long hardly a runner must have ended, at most calmShare of the service's,
	// for a disturbance to be over.
	calmTime  = 3 * time.Second
	calmShare = 0.005
)

// Runners is this node's list of runners.
type Runners interface {
	// Knows reports whether the list has, or lately had, the runner with a start.
	Knows(start string) bool
	// ServiceSize returns the number of listed runners of a service.
	ServiceSize(service string) int
}

// observedEnding is the ending of a runner while it ran a request.
type observedEnding struct {
	runner  string // its start
	service string
	at      time.Time
	// ran is how long the run had lasted.
	ran time.Duration
}

// recentEnding is the ending of a runner, whatever it ran.
type recentEnding struct {
	service string
	at      time.Time
	// explained is set if a confirmed hold explains the ending.
	explained bool
}

// background knows which runners ended lately. Without a list of runners it knows none, and all
// endings count in full. It is safe for concurrent use.
type background struct {
	mutex   sync.Mutex
	runners Runners
	ended   map[string]recentEnding // by the runner's start
}

func newBackground() *background { return &background{ended: map[string]recentEnding{}} }

// record records that a runner has ended. It returns false if that is known already, or if the
// runner is not on this node's list.
func (b *background) record(start, service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, known := b.ended[start]; known || b.runners == nil || !b.runners.Knows(start) {
		return false
	}
	if len(b.ended) >= maxRecentEndings {
		b.expire(now)
	}
	if len(b.ended) < maxRecentEndings {
		b.ended[start] = recentEnding{service: service, at: now}
	}
	return true
}

// expire forgets old endings. The caller holds the mutex.
func (b *background) expire(now time.Time) {
	for start, ending := range b.ended {
		if now.Sub(ending.at) > backgroundTTL {
			delete(b.ended, start)
		}
	}
}

// weight returns how much an ending counts against the work that ran there: from 1, if the run
// would hardly have met the end of its runner by chance, down to 0. Own reports whether a runner
// ended under the same work, so that its ending says nothing about the others.
func (b *background) weight(ending *observedEnding, own func(start string) bool, now time.Time) float64 {
	return weightOfChance(b.chance(ending, own, now))
}

// chance returns the probability that a run met the end of its runner within the time that it
// lasted, if it had nothing to do with it.
func (b *background) chance(ending *observedEnding, own func(start string) bool, now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.runners == nil {
		return 0
	}
	size := b.runners.ServiceSize(ending.service)
	if size == 0 {
		return 0
	}
	others := 0
	for start, other := range b.ended {
		apart := other.at.Sub(ending.at).Abs()
		if other.service == ending.service && apart <= backgroundWindow && !own(start) {
			others++
		}
	}
	window := backgroundWindow + min(max(now.Sub(ending.at), 0), backgroundWindow)
	perRunner := float64(others) / (float64(size) * window.Seconds())
	return -math.Expm1(-perRunner * ending.ran.Seconds())
}

// explain records that a confirmed hold explains the endings of runners.
func (b *background) explain(starts []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, start := range starts {
		if ending, known := b.ended[start]; known {
			ending.explained = true
			b.ended[start] = ending
		}
	}
}

// disturbed reports whether, now or around the endings under some work, so many other runners of the
// service ended that sound work may have met these endings by chance. Endings older than backgroundTTL
// are not looked at.
func (b *background) disturbed(service string, endings map[string]observedEnding, now time.Time) bool {
	own := func(start string) bool { _, found := endings[start]; return found }
	if b.disturbedAt(service, own, now) {
		return true
	}
	for _, ending := range endings {
		if now.Sub(ending.at) <= backgroundTTL && b.disturbedAt(service, own, ending.at) {
			return true
		}
	}
	return false
}

// disturbedAt reports whether the time is disturbed by the ends of runners that are not own ones.
func (b *background) disturbedAt(service string, own func(start string) bool, at time.Time) bool {
	others, size := b.unexplained(service, own, backgroundWindow, at)
	return others >= max(minDisturbance, int(math.Ceil(disturbedShare*float64(size))))
}

// calm reports whether hardly a runner of a service has ended within calmTime, besides those that
// ended under some work.
func (b *background) calm(service string, endings map[string]observedEnding, now time.Time) bool {
	own := func(start string) bool { _, found := endings[start]; return found }
	ended, size := b.unexplained(service, own, calmTime, now)
	return ended <= int(calmShare*float64(size))
}

// unexplained returns the number of runners of a service that ended at most a duration apart from a
// time, without own ones and those that a confirmed hold explains, and the number of listed runners
// of the service.
func (b *background) unexplained(service string, own func(start string) bool, apart time.Duration, at time.Time) (ended, size int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.runners == nil {
		return 0, 0
	}
	for start, ending := range b.ended {
		if ending.service == service && !ending.explained && ending.at.Sub(at).Abs() <= apart && !own(start) {
			ended++
		}
	}
	return ended, b.runners.ServiceSize(service)
}

// weightOfChance returns the weight of an ending with a chance, in proportion to the logarithm of
// the chance.
func weightOfChance(chance float64) float64 {
	if chance <= significantChance {
		return 1
	}
	return math.Log(chance) / math.Log(significantChance)
}

// evidenceOf returns the sum of the weights of endings under the same work.
func (b *background) evidenceOf(endings []observedEnding, now time.Time) float64 {
	own := make(map[string]bool, len(endings))
	for i := range endings {
		own[endings[i].runner] = true
	}
	sum := 0.0
	for i := range endings {
		sum += b.weight(&endings[i], func(start string) bool { return own[start] }, now)
	}
	return sum
}

// evidenceTolerance is how much less than a number of endings the sum of their weights may be, so
// that a few other endings do not raise the number.
const evidenceTolerance = 0.5

// amountsTo reports whether evidence is as much as that of a number of endings in a calm time.
func amountsTo(evidence float64, endings int) bool {
	return evidence >= float64(endings)-evidenceTolerance
}
