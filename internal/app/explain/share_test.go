package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const overShareLog = `
edge-a-1 I0714 10:16:30.585365    8426 serving.go:166] "request ended" id="x1" tenant="t1" outcome="saturated" runs=0 notRun=0 cause="over its share of the slots" tenantShare=12.5 tenantUse=31
edge-a-1 I0714 10:16:30.585365    8426 serving.go:166] "request ended" id="x2" tenant="t1" outcome="saturated" runs=0 notRun=0 cause="" tenantShare=12.5 tenantUse=31
`

// A request that was refused for its tenant's share misses no attempt, and the tenant's share
// and use are shown; another refused request is shown as before.
func TestRefusalOverShareIsExplained(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(overShareLog))
	is.NoErr(err)
	const shown = "tenant t1 was over its share: 31 requests in flight, a share of 12.5 slots"
	var text strings.Builder
	timeline := TimelineOf("x1", lines)
	timeline.Print(&text)
	is.Equal(len(timeline.Missing), 0)
	is.True(strings.Contains(text.String(), "not run: "+shown))

	text.Reset()
	timeline = TimelineOf("x2", lines)
	timeline.Print(&text)
	is.Equal(len(timeline.Missing), 1)
	is.True(!strings.Contains(text.String(), shown))

	text.Reset()
	TenantSummaryOf("t1", lines).Print(&text)
	is.True(strings.Contains(text.String(), "last refusal for its share at 10:16:30.585365 edge-a-1: "+shown))
}
