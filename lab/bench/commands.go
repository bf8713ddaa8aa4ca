package bench

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/modules/batch/directory"
)

const (
	itemsPerCommand = 50
	itemBytes       = 600
)

// createJobs creates one job for each worker, on the worker's shard, with more items than
// the worker will complete.
func createJobs(ctx context.Context, jobDirectory *directory.Module, shards, count int) ([]string, error) {
	jobs := make([]string, count)
	for worker := range count {
		shard := uint32(worker % shards)
		file := fmt.Sprintf("file-%d-%d-%d", count, worker, time.Now().UnixNano())
		jobs[worker] = "job-" + file
		commands := []*wirev1.Command{
			{Kind: &wirev1.Command_CreateFile{CreateFile: &wirev1.CreateFile{FileId: file, Tenant: tenantKey.Tenant}}},
			{Kind: &wirev1.Command_AppendSegment{AppendSegment: &wirev1.AppendSegment{FileId: file, Items: []*wirev1.Item{{CustomId: "x", Model: "none"}}}}},
			{Kind: &wirev1.Command_SealFile{SealFile: &wirev1.SealFile{FileId: file, Segments: 1, Items: 1 << 40, Digest: []byte(file)}}},
			{Kind: &wirev1.Command_CreateJob{CreateJob: &wirev1.CreateJob{JobId: jobs[worker], Tenant: tenantKey.Tenant, InputFileId: file, DeadlineUnixMs: 1 << 50}}},
		}
		for _, command := range commands {
			if _, err := jobDirectory.Propose(ctx, shard, command); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	return jobs, nil
}

var itemBody = bytes.Repeat([]byte("x"), itemBytes)

func completeItemsCommand(job string, number int) *wirev1.Command {
	command := &wirev1.CompleteItems{}
	for i := range itemsPerCommand {
		offset := uint32(number*itemsPerCommand + i)
		command.Results = append(command.Results, &wirev1.ItemResult{Item: &wirev1.ItemKey{JobId: job, Offset: offset}, HttpStatus: 200, Body: itemBody})
	}
	return &wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: command}}
}
