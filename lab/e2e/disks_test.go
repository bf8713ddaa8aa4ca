package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

// requireJobSurvivesWipes runs a job while the first two nodes are killed, lose their data
// folders and start again after a pause. Every item must complete once, and every result must
// remain readable.
func requireJobSurvivesWipes(t *testing.T, deployment *fleet.Fleet, items int, pause time.Duration) {
	t.Helper()
	is := is.New(t)
	batches := load.NewBatchClient(target(deployment))
	job, err := batches.Submit(callContext(t), load.BatchWorkload{Items: items, PromptWords: 10, AnswerTokens: 40, Seed: 6})
	is.NoErr(err)
	for _, index := range []int{0, 1} {
		deployment.KillNode(index)
		is.NoErr(deployment.WipeNode(index))
	}
	time.Sleep(pause)
	for _, index := range []int{0, 1} {
		is.NoErr(deployment.StartNode(index))
	}
	status, err := batches.Await(callContext(t), job.ID)
	is.NoErr(err)
	audit, err := batches.AuditJob(callContext(t), job, status)
	is.NoErr(err)
	is.Equal(audit.Completed, items)
	is.Equal(audit.Lost+audit.Duplicates+audit.Wrong, 0)
}

// Every item of a job completes once and every result remains readable when two of five
// nodes are killed and lose their data folders while the job runs.
func TestTwoDisksWipedUnderLoad(t *testing.T) {
	t.Parallel()
	requireJobSurvivesWipes(t, startDeployment(t, topology(5, 4)), 1500, 500*time.Millisecond)
}

// Guards against shards that stay without a leader that can commit: two of four disks are lost
// together, so that three of four members can't store an entry any more. The remaining two elect
// a leader, which replaces the lost members. This also happens if a region of five nodes is
// founded before its fifth disk is known.
func TestTwoOfFourDisksWiped(t *testing.T) {
	t.Parallel()
	spec := topology(4, 4)
	spec.DiskNodes = 4
	requireJobSurvivesWipes(t, startDeployment(t, spec), 200, 0)
}
