package store

import (
	"context"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/grants"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shard"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// serveShardMap returns the number of shards and the shards that this node leads, also those
// with items to grant. It returns the regions of the shards only if the caller knows another
// number of shards, and the layout only on request.
func (m *Module) serveShardMap(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.ShardMapRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	reply := &wirev1.ShardMapReply{}
	layout := m.layout.Load()
	if layout != nil {
		reply.Shards = uint32(len(layout.Shards))
	}
	if layout != nil && request.KnownShards != reply.Shards {
		for _, shard := range layout.Shards {
			reply.Regions = append(reply.Regions, shard.Region)
		}
	}
	if layout != nil && request.WantLayout {
		reply.Layout, reply.LayoutRevision = layout.encoded, layout.revision
	}
	for _, local := range m.allReplicas() {
		// The reply does not list a shard whose replica has stopped or is too busy to
		// respond.
		_ = local.RunInLoop(ctx, func() {
			if local.table == nil {
				return
			}
			reply.Leading = append(reply.Leading, local.ID)
			if local.table.HasPending() {
				reply.Pending = append(reply.Pending, local.ID)
			}
		})
	}
	return stream.Send(reply)
}

func (m *Module) requireReplica(id uint32) (*shardReplica, error) {
	local := m.replica(id)
	if local == nil {
		return nil, result.New(result.NotLeader, "shard %d is not here", id)
	}
	return local, nil
}

func (m *Module) servePropose(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.ProposeRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	commandResult, err := m.Propose(ctx, request.Shard, request.Command)
	if err != nil {
		return err
	}
	return stream.Send(commandResult)
}

// Propose proposes a command to a shard that this node leads and waits for the result. It
// accepts commands that add work only while at least replica.DefaultCopies members of the
// shard are alive and this node's disk has free space.
func (m *Module) Propose(ctx context.Context, id uint32, command *wirev1.Command) (*wirev1.CommandResult, error) {
	local, err := m.requireReplica(id)
	if err != nil {
		return nil, err
	}
	if addsNewWork(command) {
		if err := local.admitNewWork(ctx); err != nil {
			return nil, err
		}
	}
	commandResult, err := local.ProposeAndWait(ctx, command)
	m.metrics.proposals.WithLabelValues(result.CodeOf(err).String()).Inc()
	return commandResult, err
}

// addsNewWork reports whether a command creates a file or a job, stores a segment or claims
// an idempotency key.
func addsNewWork(command *wirev1.Command) bool {
	switch command.Kind.(type) {
	case *wirev1.Command_CreateFile, *wirev1.Command_AppendSegment, *wirev1.Command_CreateJob, *wirev1.Command_Claim:
		return true
	default:
		return false
	}
}

func (s *shardReplica) admitNewWork(ctx context.Context) error {
	if !s.module.db.HasFreeSpace() {
		return result.New(result.StoreFull, "the disk of node %s is nearly full", s.module.settings.Node.ID)
	}
	live := 0
	err := s.withTable(ctx, func(*grants.Table, time.Time) error {
		live = s.Replica.LiveMembers(time.Now())
		return nil
	})
	if err != nil {
		return err
	}
	if live < replica.DefaultCopies {
		return result.New(result.StoreUnavailable, "%d disks of shard %d answer, needed: %d", live, s.ID, replica.DefaultCopies).WithRetryAfter(storeRetryAfter)
	}
	return nil
}

const storeRetryAfter = 2 * time.Second

func (m *Module) servePull(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.PullRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	local, err := m.requireReplica(request.Shard)
	if err != nil {
		return err
	}
	reply, err := local.pull(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (m *Module) serveComplete(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.CompleteRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	local, err := m.requireReplica(request.Shard)
	if err != nil {
		return err
	}
	reply, err := local.complete(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (m *Module) serveRead(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.ReadRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	reply, err := m.read(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// read returns data from the applied state of a shard, or a NotLeader error if this node
// does not lead the shard.
func (m *Module) read(ctx context.Context, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	local, err := m.requireReplica(request.Shard)
	if err != nil {
		return nil, err
	}
	var reply *wirev1.ReadReply
	err = local.withTable(ctx, func(*grants.Table, time.Time) error {
		view := local.Store.View()
		var readErr error
		reply, readErr = readState(view, request)
		return readErr
	})
	return reply, err
}

func readState(view shard.KeyReader, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	switch request.Kind {
	case wirev1.ReadKind_READ_KIND_FILE:
		file, err := shard.File(view, request.Id)
		if err == nil && (file == nil || file.Tenant != request.Tenant || !file.Sealed) {
			return nil, notFound("file", request.Id)
		}
		return &wirev1.ReadReply{File: file}, err
	case wirev1.ReadKind_READ_KIND_JOB:
		job, err := tenantJob(view, request)
		return &wirev1.ReadReply{Job: job}, err
	case wirev1.ReadKind_READ_KIND_JOBS:
		jobs, err := shard.TenantJobs(view, request.Tenant, request.After, int(request.Limit))
		return &wirev1.ReadReply{Jobs: jobs}, err
	case wirev1.ReadKind_READ_KIND_FILES:
		files, err := shard.TenantFiles(view, request.Tenant, request.After, int(request.Limit))
		return &wirev1.ReadReply{Files: files}, err
	case wirev1.ReadKind_READ_KIND_RESULTS:
		return readResults(view, request)
	case wirev1.ReadKind_READ_KIND_CONTENT:
		return readContent(view, request)
	default:
		return nil, result.New(result.InvalidRequest, "unknown read %v", request.Kind)
	}
}

func notFound(kind, id string) error {
	return result.New(result.NotFound, "%s %s does not exist", kind, id)
}

func tenantJob(view shard.KeyReader, request *wirev1.ReadRequest) (*wirev1.JobRecord, error) {
	job, err := shard.Job(view, request.Id)
	if err != nil {
		return nil, err
	}
	if job == nil || job.Spec.Tenant != request.Tenant {
		return nil, notFound("batch", request.Id)
	}
	return job, nil
}

func readResults(view shard.KeyReader, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	job, err := tenantJob(view, request)
	if err != nil {
		return nil, err
	}
	outcomes, err := shard.Outcomes(view, job, request.Segment, request.Errors)
	if err != nil {
		return nil, err
	}
	return &wirev1.ReadReply{Job: job, Outcomes: outcomes, NextSegment: request.Segment + 1, More: request.Segment+1 < job.Segments}, nil
}

func readContent(view shard.KeyReader, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	file, err := shard.File(view, request.Id)
	if err != nil {
		return nil, err
	}
	if file == nil || file.Tenant != request.Tenant || !file.Sealed {
		return nil, notFound("file", request.Id)
	}
	items, err := shard.Segment(view, request.Id, request.Segment)
	if err != nil {
		return nil, err
	}
	return &wirev1.ReadReply{File: file, Items: items, NextSegment: request.Segment + 1, More: request.Segment+1 < file.Segments}, nil
}
