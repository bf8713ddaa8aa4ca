package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// fixedDigest is a source of one digest.
type fixedDigest struct {
	digest     *wirev1.ZoneLoadDigest
	receivedAt time.Time
}

func (f *fixedDigest) Newest(now time.Time) (*wirev1.ZoneLoadDigest, time.Duration, bool) {
	return f.digest, now.Sub(f.receivedAt), f.digest != nil
}

func equalWeights(string) float64 { return 1 }

func sharesOf(source DigestSource) *Shares {
	return NewShares("z", NewCounter(start), source, equalWeights, prometheus.NewRegistry())
}

// digestOf returns a digest for service s in zone z with the given tenants, whose requests
// are all at runners and last for a second.
func digestOf(slots uint32, tenants ...*wirev1.TenantLoad) *wirev1.ZoneLoadDigest {
	zone := &wirev1.ServiceZoneLoad{Service: "s", Zone: "z", Slots: slots}
	for _, tenant := range tenants {
		tenant.Service = "s"
		zone.Running += tenant.InFlight
	}
	zone.ArrivalsPerSecond = float64(zone.Running)
	other := &wirev1.ServiceZoneLoad{Service: "s", Zone: "other", Slots: 1000}
	return &wirev1.ZoneLoadDigest{Loads: []*wirev1.ServiceZoneLoad{other, zone}, Tenants: tenants}
}

func tenantLoad(name string, inFlight uint32, arrivals float64) *wirev1.TenantLoad {
	return &wirev1.TenantLoad{Tenant: name, InFlight: inFlight, ArrivalsPerSecond: arrivals}
}

// A tenant with far more than its share is over it; the others are protected, except those
// that are not listed if they want more than their shares together.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	rest := tenantLoad("", 5, 5)
	rest.Tenants = 3
	shares := sharesOf(&fixedDigest{digest: digestOf(40, tenantLoad("big", 35, 70), tenantLoad("small", 4, 4), rest), receivedAt: start})
	verdict := func(tenant string) Verdict {
		verdict, known := shares.Verdict("s", tenant, 0, start)
		is.True(known)
		return verdict
	}
	big := verdict("big")
	is.Equal(big.State, Over)
	is.Equal(big.Share, 31.0) // what the others do not want
	is.True(big.Full && !big.Protected())
	for _, tenant := range []string{"small", "unlisted"} {
		is.Equal(verdict(tenant).State, Under)
		other := verdict(tenant)
		is.True(other.Protected())
	}
	for range 32 { // more requests on this node than the digest knows of
		shares.Begin("s", "small", 0)
	}
	is.Equal(verdict("small").State, At)
	_, known := shares.Verdict("s", "", 0, start)
	is.True(!known)
	_, known = shares.Verdict("another", "big", 0, start)
	is.True(!known)
}

// Tenants that are not listed are not protected while they want more than their shares
// together, and are not restricted, since nothing is known of the single tenant.
func TestUnlistedTenantsOverTheirShares(t *testing.T) {
	is := is.New(t)
	rest := tenantLoad("", 60, 60)
	rest.Tenants = 3
	shares := sharesOf(&fixedDigest{digest: digestOf(40, tenantLoad("big", 35, 70), rest), receivedAt: start})
	verdict, known := shares.Verdict("s", "unlisted", 0, start)
	is.True(known && verdict.AnyOver)
	is.Equal(verdict.State, At)
	is.True(!verdict.Protected())
}

// Without a digest that is young enough, or with one of a node of the previous version, there
// is no verdict.
func TestNoVerdictWithoutDigest(t *testing.T) {
	is := is.New(t)
	digest := digestOf(4, tenantLoad("big", 35, 70))
	none := digestOf(4)
	for _, test := range []struct {
		digest *wirev1.ZoneLoadDigest
		age    time.Duration
		known  bool
	}{{nil, 0, false}, {none, 0, false}, {digest, 0, true}, {digest, digestLifetime - 1, true}, {digest, digestLifetime, false}} {
		source := &fixedDigest{digest: digest, receivedAt: start}
		source.digest = test.digest
		_, known := sharesOf(source).Verdict("s", "big", 0, start.Add(test.age))
		is.Equal(known, test.known)
	}
	source := &fixedDigest{digest: digest, receivedAt: start}
	shares := sharesOf(source)
	for age, expected := range []bool{true, false} { // the digest that is in use expires
		_, known := shares.Verdict("s", "big", 0, start.Add(time.Duration(age)*digestLifetime))
		is.Equal(known, expected)
	}
	var disabled *Shares
	disabled.Begin("s", "big", 0)()
	_, known := disabled.Verdict("s", "big", 0, start)
	is.True(!known)
}

// Nobody is over its share while the requests of all tenants fit into the slots.
func TestNobodyIsOverWhileAllFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tenants []*wirev1.TenantLoad
		wanted := 0.0
		for i := range rapid.IntRange(1, 30).Draw(t, "tenants") {
			load := tenantLoad(fmt.Sprint("t", i), rapid.Uint32Range(0, 20).Draw(t, "in flight"), 0)
			load.ArrivalsPerSecond = float64(load.InFlight)
			load.Priority = rapid.Uint32Range(0, 2).Draw(t, "priority")
			tenants, wanted = append(tenants, load), wanted+load.ArrivalsPerSecond
		}
		digest := digestOf(uint32(wanted)+1, tenants...)
		digest.Tenants = largest(tenants)
		shares := sharesOf(&fixedDigest{digest: digest, receivedAt: start})
		for _, load := range tenants {
			verdict, _ := shares.Verdict("s", load.Tenant, int(load.Priority), start)
			if verdict.State == Over || verdict.AnyOver {
				t.Fatalf("%v is over its share: %+v", load, verdict)
			}
		}
	})
}

// While tenants want more than the slots, those under their share have no more than all slots
// together, so that protecting them does not overload the service.
func TestProtectedTenantsFitIntoTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Uint32Range(20, 100).Draw(t, "slots")
		var tenants []*wirev1.TenantLoad
		for i := range rapid.IntRange(1, maxTenants).Draw(t, "tenants") {
			tenants = append(tenants, tenantLoad(fmt.Sprint("t", i),
				rapid.Uint32Range(0, 40).Draw(t, "in flight"), rapid.Float64Range(0, 100).Draw(t, "arrivals")))
		}
		shares := sharesOf(&fixedDigest{digest: digestOf(slots, tenants...), receivedAt: start})
		protected := uint32(0)
		for _, load := range tenants {
			if verdict, _ := shares.Verdict("s", load.Tenant, 0, start); verdict.Protected() {
				protected += load.InFlight
			}
		}
		if protected > slots {
			t.Fatalf("%d requests of protected tenants in %d slots", protected, slots)
		}
	})
}

// Slots with requests whose edges report to no storage node are not divided.
func TestSlotsOfUnknownRequests(t *testing.T) {
	is := is.New(t)
	digest := digestOf(100, tenantLoad("big", 50, 100), tenantLoad("small", 10, 10))
	shares := sharesOf(&fixedDigest{digest: digest, receivedAt: start})
	digest.Loads[1].Running += 40
	digest.Loads[1].Batch = 5
	digest.Loads[1].ArrivalsPerSecond = 95
	verdict, _ := shares.Verdict("s", "big", 0, start)
	is.Equal(verdict.Share, 55.0)
	digest.Loads[1].Running += 400
	digest.Loads[1].ArrivalsPerSecond += 400 // the counts of requests at runners must be wrong
	verdict, _ = sharesOf(&fixedDigest{digest: digest, receivedAt: start}).Verdict("s", "big", 0, start)
	is.True(verdict.Share > 38 && verdict.Share < 42)
}

// A tenant's change is kept for the log until it has been within its share for some time.
func TestReturnsAreNoticed(t *testing.T) {
	is := is.New(t)
	source := &fixedDigest{digest: digestOf(10, tenantLoad("big", 35, 70)), receivedAt: start}
	shares := sharesOf(source)
	shares.follow(start)
	is.Equal(len(shares.overAt), 1)
	source.digest = digestOf(10, tenantLoad("big", 2, 2))
	shares.follow(start.Add(returnDelay - 1))
	is.Equal(len(shares.overAt), 1)
	shares.follow(start.Add(returnDelay))
	is.Equal(len(shares.overAt), 0)
}

// Tenants without a limit, and unknown ones, have the weight 1.
func TestWeights(t *testing.T) {
	is := is.New(t)
	catalogs := catalog.NewHolder()
	weight := WeightIn(catalogs)
	is.Equal(weight("limited"), 1.0)
	current, err := catalog.New(1, nil, nil, catalog.RequestLimits{})
	is.NoErr(err)
	is.NoErr(current.SetTenants([]catalog.TenantSpec{
		{Tenant: catalog.Tenant{Name: "limited", RatePerSecond: 30, Burst: 5}, Keys: []string{"key-of-limited"}},
		{Tenant: catalog.Tenant{Name: "free"}, Keys: []string{"key-of-free"}},
	}))
	catalogs.UpdateIfNewer(current, nil, 1, start)
	is.Equal(weight("limited"), 30.0)
	is.Equal(weight("free"), 1.0)
}
