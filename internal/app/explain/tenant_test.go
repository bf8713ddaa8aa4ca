package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const tenantLog = `
   1.3400 edge-a-1 I0318 19:03:37.340000   17865 online.go:144] "request ended" id="r1" route="x" tenant="small" outcome="served" runs=1
   1.3446 storage-a-1 I0318 19:03:37.344624   17932 allotments.go:76] "credit request of a tenant not fully granted" tenant="small" shard=2 node="edge-a-11" wanted=1 given=0 rate=5 burst=5 lent=0 holders=0 retryAfterMs=93
   1.3461 edge-a-11 I0318 19:03:37.346035   17865 gate.go:206] "request not admitted" id="r2" tenant="small" outcome="refused" rate=5 burst=5 share=0 credit=0 retryAfterMs=111
   1.3462 edge-a-11 I0318 19:03:37.346100   17865 online.go:144] "request ended" id="r2" route="x" tenant="small" outcome="tenant_rate_limited" runs=0
   1.3470 edge-a-1 I0318 19:03:37.347000   17865 online.go:144] "request ended" id="r3" route="x" tenant="large" outcome="served" runs=1
   1.4000 edge-a-1 I0318 19:03:37.400000   17865 jobs.go:70] "job read" job="small/j1" since=0 found=true
`

// The summary counts only the tenant's own requests, and contains its limit and the last
// refusals.
func TestTenantSummary(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(tenantLog))
	is.NoErr(err)
	summary := TenantSummaryOf("small", lines)
	is.Equal(summary.Outcomes["edge-a-1"]["served"], 1)
	is.Equal(summary.Outcomes["edge-a-11"]["tenant_rate_limited"], 1)
	is.Equal(summary.Refusal.Fields["rate"], "5")
	is.Equal(summary.Keeper.Source, "storage-a-1")
	var text strings.Builder
	summary.Print(&text)
	is.True(strings.Contains(text.String(), "served 1, tenant_rate_limited 1"))
	is.Equal(TenantSummaryOf("none", lines).Refusal, nil)
}

// A refusal because of the tenant's limit determines the outcome of a request. A job is
// found by its id without the tenant.
func TestTimelineOfRefusedRequestAndJob(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(tenantLog))
	is.NoErr(err)
	timeline := TimelineOf("r2", lines)
	is.Equal(timeline.Decisive.Message, messageNotAdmitted)
	is.Equal(len(timeline.Missing), 0)
	is.Equal(len(TimelineOf("j1", lines).Lines), 1)
	is.Equal(len(TimelineOf("1", lines).Lines), 0)
}
