package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const resumedLog = `
I1205 14:05:36.100000    7444 runnercalllog.go:35] "sending request" id="s1" attempt=1 runner="r2" version="v2" connection="10.0.0.1:5000" exchange=1 after=-1 line=4
I1205 14:05:37.000000    7500 resolve.go:52] "origin of a resumed stream" id="s2" resumes="s1" service="s" version="v1" proof="sole_version" source="edge-b-1" proofAgeMs=1300 asked=3 answered=0 unanswered="d1,d2,d3" listAgeMs=1300 line=9
I1205 14:05:37.200000    7500 attempt.go:222] "attempt" id="s2" runner="r1" version="v1" resumes="s1" from=12 after=30 again=false outcome="done" line=10
I1205 14:05:38.000000    7600 run.go:211] "item run ended" job="j" item="i1" runner="r1" version="v1" from=0 to=4 outcome="broken"
I1205 14:05:38.100000    7600 run.go:211] "item run ended" job="j" item="i1" runner="r3" version="v1" from=4 to=9 outcome="done"
I1205 14:05:38.200000    7600 run.go:211] "item run ended" job="j" item="i1" runner="r3" version="v2" from=9 to=9 outcome="no event"
`

// A text of several software versions must be told from the logs alone: which runner wrote which part,
// also if the edge of the first part was killed.
func TestTimelineShowsThePartsOfAText(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("edge-b-1", strings.NewReader(resumedLog))
	is.NoErr(err)
	stream := TimelineOf("s1", lines)
	is.Equal(stream.Parts, []string{
		`events from 1 on, whose end was not logged, are of version v2, by runner r2 through edge-b-1 (line "sending request" at 14:05:36.100000)`,
		`events 13 to 30 are of version v1, by runner r1 through edge-b-1 (line "attempt" at 14:05:37.200000)`,
	})
	is.True(stream.MixedVersions)
	var text strings.Builder
	stream.Print(&text)
	is.True(strings.Contains(text.String(), "text of several software versions"))
	is.True(strings.Contains(text.String(), "unanswered=d1,d2,d3"))
	item := TimelineOf("i1", lines)
	is.Equal(len(item.Parts), 2)
	is.True(!item.MixedVersions)
}
