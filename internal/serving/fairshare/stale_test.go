package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A zone with 12 edges, 96 slots and 72 tenants, of which the first has a tenth of the
// requests.
const (
	zoneEdges   = 12
	zoneSlots   = 96
	zoneTenants = 72
	// zoneUsed is the number of slots that requests at the usual rates occupy.
	zoneUsed = 72.0
	zoneStep = 10 * time.Millisecond
	// usualLength is how long requests take, and usualDelay the age of the digest that edges
	// use, beside that of the reports in it.
	usualLength = 1450 * time.Millisecond
	usualDelay  = 300 * time.Millisecond
	// zoneQueue is the number of waiting requests from which a new request is late, and
	// zoneRefused the number from which it is refused because the service is full.
	zoneQueue, zoneRefused = 24, 14
)

// zone runs the counters, reports, sums and verdicts of a zone whose requests all take equally
// long.
type zone struct {
	// length is how long requests take, and delay the age of the digest.
	length, delay time.Duration
	now           time.Time
	random        *rand.Rand
	counters      []*Counter
	reporters     []*Reporter
	sums          *Sums
	shares        []*Shares
	digests       []fixedDigest
	ends          []ending // in the order of time
	// starts is the smoothed number of requests that start a second.
	starts   float64
	inFlight map[string]int
}

type ending struct {
	at     time.Time
	tenant string
	end    func()
}

func (z *zone) Records() []*wirev1.NodeRecord {
	var records []*wirev1.NodeRecord
	for edge := range zoneEdges {
		records = append(records, &wirev1.NodeRecord{NodeId: fmt.Sprint(edge), Zone: "z"})
	}
	return records
}

// Newest returns a digest that is late by the delay.
func (z *zone) Newest(now time.Time) (*wirev1.ZoneLoadDigest, time.Duration, bool) {
	for i := len(z.digests) - 1; i >= 0; i-- {
		if age := now.Sub(z.digests[i].receivedAt); age >= z.delay {
			return z.digests[i].digest, age, true
		}
	}
	return nil, 0, false
}

// tenantNames holds the names of the tenants.
var tenantNames = func() (names []string) {
	for i := range zoneTenants {
		names = append(names, fmt.Sprint("t", i))
	}
	return names
}()

// zoneWeight returns the number of slots that a tenant usually occupies.
func zoneWeight(tenant string) float64 {
	if tenant == "t0" {
		return 0.1 * zoneUsed
	}
	return 0.9 * zoneUsed / (zoneTenants - 1)
}

func newZone(length, delay time.Duration) *zone {
	z := &zone{length: length, delay: delay, now: start, random: rand.New(rand.NewPCG(1, 2)), inFlight: map[string]int{}}
	z.sums = NewSums(z)
	for range zoneEdges {
		counter := NewCounter(start)
		z.counters = append(z.counters, counter)
		z.reporters = append(z.reporters, reporterOf(counter, &sentReports{}))
		z.shares = append(z.shares, NewShares("z", counter, z, zoneWeight, prometheus.NewRegistry()))
	}
	return z
}

// step advances the time: requests end, edges report, and a digest is made.
func (z *zone) step() {
	z.now = z.now.Add(zoneStep)
	for len(z.ends) > 0 && !z.ends[0].at.After(z.now) {
		z.inFlight[z.ends[0].tenant]--
		z.ends[0].end()
		z.ends = z.ends[1:]
	}
	z.starts *= 1 - zoneStep.Seconds()
	elapsed := z.now.Sub(start)
	for edge, reporter := range z.reporters {
		if (elapsed+time.Duration(edge)*2*zoneStep)%reportInterval == 0 {
			sent := &sentReports{}
			reporter.sender = sent
			reporter.reportIfDue(z.now)
			for _, report := range sent.reports {
				z.sums.record(fmt.Sprint(edge), report, z.now)
			}
		}
	}
	if elapsed%(200*time.Millisecond) == 0 {
		z.digests = append(z.digests, fixedDigest{receivedAt: z.now, digest: &wirev1.ZoneLoadDigest{
			Loads:   []*wirev1.ServiceZoneLoad{{Service: "s", Zone: "z", Slots: zoneSlots, Running: uint32(len(z.ends)), ArrivalsPerSecond: z.starts}},
			Tenants: z.sums.Tenants("z", z.now),
		}})
	}
}

// outcomes counts the requests of a group of tenants; overShare are those refused because
// their tenant is over its share.
type outcomes struct{ arrived, onTime, overShare int }

// arrive decides about a request as an edge does, with the queue as the expected time.
func (z *zone) arrive(tenant string, fair bool, counted *outcomes) {
	counted.arrived++
	edge := z.random.IntN(zoneEdges)
	end := z.shares[edge].Begin("s", tenant, 0)
	verdict, known := z.shares[edge].Verdict("s", tenant, 0, z.now)
	queue := len(z.ends) - zoneSlots
	switch {
	case fair && known && verdict.State == Over && queue >= 0 && z.random.Float64() >= verdict.Within:
		counted.overShare++
		end()
		return
	case queue >= zoneRefused && !(fair && known && verdict.Protected()):
		end()
		return
	case queue < zoneQueue:
		counted.onTime++
	}
	z.inFlight[tenant]++
	z.starts++
	z.ends = append(z.ends, ending{z.now.Add(z.length), tenant, end})
}

// run runs a period in which the first and the other tenants send at multiples of their usual
// rates.
func (z *zone) run(period time.Duration, firstMultiple, othersMultiple float64, fair bool) (first, others outcomes) {
	for range int(period / zoneStep) {
		z.step()
		for i := range zoneTenants {
			tenant, counted, rate := tenantNames[i], &others, othersMultiple
			if i == 0 {
				counted, rate = &first, firstMultiple
			}
			expected := rate * zoneWeight(tenant) * zoneStep.Seconds() / z.length.Seconds()
			for ; z.random.Float64() < expected; expected-- {
				z.arrive(tenant, fair, counted)
			}
		}
	}
	return first, others
}

func fraction(part, of int) float64 { return float64(part) / float64(of) }

// While one tenant sends many times its usual rate, the requests of the others are on time,
// and the tenant still gets about what the others leave, however old the figures are.
func TestBurstOfOneTenant(t *testing.T) {
	left := zoneSlots - 0.9*zoneUsed
	for _, test := range []struct {
		multiple      float64
		length, delay time.Duration
	}{
		{7, usualLength, usualDelay},
		{14, usualLength, usualDelay},
		{7, usualLength, 50 * time.Millisecond},
		{7, usualLength, 700 * time.Millisecond},
		{7, 4 * time.Second, usualDelay},
		{7, 500 * time.Millisecond, usualDelay},
	} {
		t.Run(fmt.Sprint(test.multiple, test.length, test.delay), func(t *testing.T) {
			is := is.New(t)
			zone := newZone(test.length, test.delay)
			first, others := zone.run(5*time.Second, 1, 1, true)
			is.Equal(first.overShare+others.overShare, 0)
			first, others = zone.run(10*time.Second, test.multiple, 1, true)
			_, unfair := newZone(test.length, test.delay).run(10*time.Second, test.multiple, 1, false)
			onTime := fraction(others.onTime, others.arrived)
			got := fraction(first.onTime, first.arrived) * test.multiple * 0.1 * zoneUsed
			t.Logf("others on time %.3f, without shares %.3f; the first tenant got %.1f of %.1f slots",
				onTime, fraction(unfair.onTime, unfair.arrived), got, left)
			is.True(onTime > 0.93)
			is.True(onTime > fraction(unfair.onTime, unfair.arrived))
			is.True(got > 0.8*left)
		})
	}
}

// While all tenants send more than the slots can take, a tenant with many times its usual rate
// keeps to its share, neither far above nor far below, however old the figures are.
func TestBurstOfOneTenantInAPeak(t *testing.T) {
	for _, multiple := range []float64{7, 20} {
		for _, length := range []time.Duration{500 * time.Millisecond, usualLength, 4 * time.Second} {
			_, unfair := burstInPeak(newZone(length, usualDelay), multiple, false)
			for _, delay := range []time.Duration{usualDelay, 700 * time.Millisecond} {
				t.Run(fmt.Sprint(multiple, length, delay), func(t *testing.T) {
					is := is.New(t)
					mean, fair := burstInPeak(newZone(length, delay), multiple, true)
					const share = 0.1 * zoneSlots
					t.Logf("%.1f requests in flight, a share of %.1f; others on time %.3f, without shares %.3f", mean, share, fair, unfair)
					is.True(mean > 0.7*share && mean < 1.8*share)
					is.True(fair > unfair+0.1)
				})
			}
		}
	}
}

// burstInPeak returns the mean number of requests of the first tenant in flight, and the
// fraction of the others' requests that are on time.
func burstInPeak(zone *zone, multiple float64, fair bool) (mean, onTime float64) {
	const samples, peak = 200, 1.84
	zone.run(2*time.Second+2*zone.length, multiple, peak, fair)
	var counted outcomes
	for range samples {
		_, others := zone.run(100*time.Millisecond, multiple, peak, fair)
		counted.arrived += others.arrived
		counted.onTime += others.onTime
		mean += float64(zone.inFlight["t0"]) / samples
	}
	return mean, fraction(counted.onTime, counted.arrived)
}

// A tenant is no longer restricted a second after the end of its burst.
func TestEndOfBurst(t *testing.T) {
	is := is.New(t)
	for _, burst := range []time.Duration{800 * time.Millisecond, 2800 * time.Millisecond, 10 * time.Second} {
		zone := newZone(usualLength, usualDelay)
		zone.run(3*time.Second, 1, 1, true)
		zone.run(burst, 14, 1, true)
		zone.run(time.Second, 1, 1, true)
		first, others := zone.run(10*time.Second, 1, 1, true)
		is.Equal(first.overShare+others.overShare, 0)
	}
}

// In peaks of all tenants, the division costs nothing beyond chance: the slots stay in use.
func TestPeakOfAllTenantsUsesTheSlots(t *testing.T) {
	is := is.New(t)
	onTime := func(fair bool) float64 {
		zone := newZone(usualLength, usualDelay)
		sum, arrived := 0, 0
		for range 20 {
			zone.run(3800*time.Millisecond, 0.38, 0.38, fair)
			first, others := zone.run(2800*time.Millisecond, 1.84, 1.84, fair)
			sum, arrived = sum+first.onTime+others.onTime, arrived+first.arrived+others.arrived
		}
		return fraction(sum, arrived)
	}
	fair, unfair := onTime(true), onTime(false)
	t.Logf("on time in peaks: %.3f, without shares %.3f", fair, unfair)
	is.True(fair > unfair-0.03)
}

// Requests in flight of lost reports end with the reports; what this edge itself has in
// flight still counts.
func TestOwnRequestsCountWithoutReports(t *testing.T) {
	is := is.New(t)
	zone := newZone(usualLength, usualDelay)
	for range 200 {
		zone.shares[0].Begin("s", "t1", 0)
	}
	digest := digestOf(zoneSlots, tenantLoad("t0", 90, 200), tenantLoad("t1", 1, 1))
	zone.digests = []fixedDigest{{digest: proto.CloneOf(digest), receivedAt: start.Add(-usualDelay)}}
	verdict, known := zone.shares[0].Verdict("s", "t1", 0, start)
	is.True(known)
	is.True(!verdict.Protected())
	verdict, _ = zone.shares[1].Verdict("s", "t1", 0, start)
	is.True(verdict.Protected())
}
