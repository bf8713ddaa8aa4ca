package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const mixedLog = `
  16.5857 edge-a-1 I0714 10:16:30.585365    8426 online.go:237] "attempt" id="x1" runner="r1" load=4 again=true outcome="done"
  16.5900 edge-a-1 I0714 10:16:30.599000    8426 online.go:237] "attempt" id="x1" runner="r2" load=2 again=false outcome="outcome_unknown (1301): lost \"twice\""
  16.5901 edge-a-1 I0714 10:16:30.599100    8426 online.go:126] "request ended" id="x1" outcome="outcome_unknown" runs=2
  16.7000 storage-b-1 I0714 10:16:29.000000    8427 leader.go:1] "item run ended" job="j1" item="i1" outcome="gave way"
not a line
`

func TestTimelineOfRequest(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(mixedLog))
	is.NoErr(err)
	is.Equal(len(lines), 4)
	timeline := TimelineOf("x1", lines)
	is.Equal(len(timeline.Lines), 3)
	is.Equal(timeline.Lines[0].Source, "edge-a-1")
	is.Equal(timeline.Decisive.Fields["runner"], "r2") // the first attempt that was not retried
	is.Equal(len(timeline.Missing), 0)
	var text strings.Builder
	timeline.Print(&text)
	is.True(strings.Contains(text.String(), "made certain by"))
}

func TestTimelineOfItemAndUnknownID(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(mixedLog))
	is.NoErr(err)
	is.Equal(len(TimelineOf("i1", lines).Missing), 1) // no decision yet
	is.Equal(len(TimelineOf("j1", lines).Lines), 1)
	is.Equal(len(TimelineOf("unknown", lines).Missing), 1)
}

const forwardedLog = `
  1.1 edge-a-1 I0714 10:16:30.585365    8426 jobs.go:79] "job submission ended" job="t/j1" known=false forwardedBy="10.0.0.7:7720" err=null
  1.2 edge-a-1 I0714 10:16:30.599100    8426 jobs.go:185] "job read" job="t/j1" found=true forwardedBy="" err=null
  1.3 edge-a-1 I0714 10:16:30.600000    8426 serving.go:160] "request ended" id="x1" outcome="served" forwardedBy="10.0.0.7:7720,10.0.0.8:7720"
`

// The timeline names the peers that forwarded the calls of a job or a request. It must not
// claim that the direct path was broken, since a peer may only have been faster.
func TestTimelineOfForwardedCalls(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("file", strings.NewReader(forwardedLog))
	is.NoErr(err)
	timeline := TimelineOf("j1", lines)
	is.Equal(len(timeline.Lines), 2)
	is.Equal(len(timeline.Forwarded), 1)
	var text strings.Builder
	timeline.Print(&text)
	is.True(strings.Contains(text.String(), "forwarded: job submission ended at 10:16:30.585365: edge-a-1 was answered by a storage node through 10.0.0.7:7720"))
	is.Equal(len(TimelineOf("x1", lines).Forwarded), 1)
}

const killedEdgeLog = `
I1204 14:05:36.000001    7444 role.go:69] "started" node="edge-a-1" line=1
I1204 14:05:36.100000    7444 runnercalllog.go:35] "sending request" id="x1" attempt=1 caller="10.0.0.9:4000" runner="r1" address="10.0.1.1:80" connection="10.0.0.1:5000" exchange=3 bytes=70000 after=-1 line=4
I1204 14:05:36.101000    7444 runnercalllog.go:46] "runner refused a request" id="x1" runner="r1" status=503 notExecuted=true connection="10.0.0.1:5000" exchange=3 line=5
I1204 14:05:36.101100    7444 runnercalllog.go:35] "sending request" id="x1" attempt=2 caller="10.0.0.9:4000" runner="r2" address="10.0.1.2:80" connection="10.0.0.1:5001" exchange=1 bytes=70000 after=-1 line=6
I1204 14:05:36.140000    7444 runners.go:251] "runner changed" runner="r9" line=7
I1204 14:05:39.000000    7612 role.go:69] "started" node="edge-a-1" line=1
`

// A request that was in flight when its edge was killed must be told from the log alone: where it
// was written, what was read, and that the process logged nothing afterwards.
func TestTimelineOfRequestInFlightAtAKilledEdge(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("edge-a-1", strings.NewReader(killedEdgeLog))
	is.NoErr(err)
	timeline := TimelineOf("x1", lines)
	is.Equal(len(timeline.Lines), 3)
	is.Equal(timeline.Missing, []string{
		"what runner r2 answered on connection 10.0.0.1:5001: process 7444 of edge-a-1 logged nothing after it wrote the request; " +
			"its last line is of 14:05:36.140000, 2 of its lines are missing, the next process (7612) started at 14:05:39.000000",
	})
}

// The timeline of a job names the members of its shard that did not serve, with their reasons.
func TestOutageOfShardIsNamed(t *testing.T) {
	is := is.New(t)
	lines, err := Parse("edge-1.log", strings.NewReader(`I0714 10:16:30.585365    8426 queueclient.go:125] "call to queue shard failed" method="METHOD_QUEUE_READ" job="t/j1" shard=0 rounds=24 unknown=false `+
		`last="not_leader (1501): shard 0 is not led here: state=frozen for=12.1s" answers="a: not_leader (1501): shard 0 is not led here: state=frozen for=12.1s; b: no answer in time"`))
	is.NoErr(err)
	timeline := TimelineOf("j1", lines)
	is.Equal(len(timeline.Outages), 1)
	var text strings.Builder
	timeline.Print(&text)
	is.True(strings.Contains(text.String(), "shard without a leader: edge-1.log at 10:16:30.585365 called shard 0 24 times: a: not_leader (1501): shard 0 is not led here: state=frozen for=12.1s; b: no answer in time"))
}
