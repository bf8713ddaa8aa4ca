package loadshare

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

func lastUse(box *mailbox, address string) *wirev1.RunnerUse {
	messages := box.sent[address]
	return messages[len(messages)-1].Uses[0]
}

func noticeOf(t *testing.T, use *wirev1.RunnerUse) []byte {
	t.Helper()
	payload, err := proto.Marshal(&wirev1.RunnerUses{Incarnation: 1, Uses: []*wirev1.RunnerUse{use}})
	is.New(t).NoErr(err)
	return payload
}

// The contention that a runner reported to this node reaches the audience with its age; an
// expired report does not. The receiver uses it, but does not pass it on.
func TestContentionReachesTheAudience(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 1, runners: 1, zones: 1}
	_, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	runners.Begin(runner, runnerset.Prompt{Tokens: 10}, false, time.Now())
	is.Equal(lastUse(box, "e1").ContentionPercent, uint32(0)) // nothing is known yet

	now := time.Now().Add(time.Hour) // the report does not expire during the test
	runner.RecordLoad(&exchange.Load{Running: 1, Contention: 2.5}, now)
	runners.Begin(runner, runnerset.Prompt{Tokens: 10}, false, time.Now())
	sent := lastUse(box, "e1")
	is.Equal(sent.ContentionPercent, uint32(250))
	is.Equal(encodeUse(runner, now.Add(100*time.Millisecond)).ContentionAgeMs, uint32(100))
	is.Equal(encodeUse(runner, now.Add(time.Second)).ContentionPercent, uint32(0))

	receiver, known, receiverBox := f.node(1)
	receiver.ReceiveNotice("edge-0", noticeOf(t, sent))
	theirs := known.Service("s")[0]
	_, reported := theirs.Contention(time.Now())
	is.True(reported)
	known.Begin(theirs, runnerset.Prompt{Tokens: 10}, false, time.Now())
	is.Equal(lastUse(receiverBox, "e0").ContentionPercent, uint32(0))
}

// Nodes of the previous version send and read reports without contention: their reports
// change no contention here, and reports of this version without contention have the same
// bytes as before.
func TestReportsBetweenVersions(t *testing.T) {
	is := is.New(t)
	f := fleet{edges: 2, disks: 1, runners: 1, zones: 1}
	reporter, runners, box := f.node(0)
	runner := runners.Service("s")[0]
	previous := &wirev1.RunnerUse{Runner: runner.ID, Running: 3, UnreadTokens: 20, Batch: 1}
	reporter.ReceiveNotice("edge-1", noticeOf(t, previous))
	is.Equal(runner.RequestCounts(time.Now()).Running, 3.0)
	_, reported := runner.Contention(time.Now())
	is.True(!reported)

	runners.Begin(runner, runnerset.Prompt{Tokens: 10}, false, time.Now())
	is.True(proto.Equal(lastUse(box, "e1"), &wirev1.RunnerUse{Runner: runner.ID, Running: 1, UnreadTokens: 10}))

	// The counts in a report with contention are read as before.
	reporter.ReceiveNotice("edge-1", noticeOf(t, &wirev1.RunnerUse{Runner: runner.ID, Running: 2, ContentionPercent: 180, ContentionAgeMs: 4_000_000_000}))
	is.Equal(runner.RequestCounts(time.Now()).Running, 3.0) // with the own request
	_, reported = runner.Contention(time.Now())
	is.True(!reported) // the report is too old
}
