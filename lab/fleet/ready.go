package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

type nodeStatus struct {
	State            string `json:"state"`
	BundleGeneration uint64 `json:"bundle_generation"`
	Runners          []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Online int    `json:"online"`
		Batch  int    `json:"batch"`
	} `json:"runners"`
	Shards []struct {
		Shard  uint32 `json:"shard"`
		Leader string `json:"leader"`
	} `json:"shards"`
}

const readyPollInterval = 100 * time.Millisecond

// AwaitReady waits until the given generation or a later one is active on every running
// node, all runners are ready and, with at least three disk nodes, every shard has a
// leader.
func (f *Fleet) AwaitReady(ctx context.Context, generation uint64) error {
	for {
		notReadyReason := f.notReadyReason(ctx, generation)
		if notReadyReason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("the fleet is not ready: %s", notReadyReason)
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) notReadyReason(ctx context.Context, generation uint64) string {
	runners := 0
	shardsWithLeader := map[uint32]bool{}
	for _, member := range f.nodes {
		if !member.Running() {
			continue
		}
		var status nodeStatus
		if err := f.Operator.get(ctx, member.Settings.Node.AdminAddress, "/v1/status", &status); err != nil {
			return err.Error()
		}
		if status.BundleGeneration < generation {
			return fmt.Sprintf("%s has generation %d", member.Settings.Node.ID, status.BundleGeneration)
		}
		for _, runner := range status.Runners {
			if runner.State == "ready" {
				runners++
			}
		}
		for _, shard := range status.Shards {
			if shard.Leader != "" {
				shardsWithLeader[shard.Shard] = true
			}
		}
	}
	if runners < len(f.Engines) {
		return fmt.Sprintf("%d of %d runners ready", runners, len(f.Engines))
	}
	if wanted := f.Nodes()[0].Settings.Data.Shards; f.Topology.DiskNodes >= 3 && len(shardsWithLeader) < wanted {
		return fmt.Sprintf("%d of %d shards have a leader", len(shardsWithLeader), wanted)
	}
	return ""
}

// LeavesIdle reports whether a node lists the runner with the ID as leaving and without
// streams, and no running node lists it otherwise. Such a runner gets no new work. It returns
// false if a node does not respond.
func (f *Fleet) LeavesIdle(ctx context.Context, runner string) bool {
	leaving := false
	for _, member := range f.nodes {
		if !member.Running() {
			continue
		}
		var status nodeStatus
		if err := f.Operator.get(ctx, member.Settings.Node.AdminAddress, "/v1/status", &status); err != nil {
			return false
		}
		for _, listed := range status.Runners {
			if listed.ID != runner {
				continue
			}
			if listed.State != "leaving" || listed.Online+listed.Batch > 0 {
				return false
			}
			leaving = true
		}
	}
	return leaving
}
