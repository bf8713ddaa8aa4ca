package admin

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// NodeBody is the status of a node in responses to operators.
type NodeBody struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// State is "ready" or the reason why the node is not ready. If the node is recorded as
	// dead, or its status could not be fetched, State is "dead" or "unreachable", and only
	// ID and Zone are set besides.
	State             string       `json:"state"`
	Version           string       `json:"version"`
	APIAddress        string       `json:"api_address"`
	BundleGeneration  uint64       `json:"bundle_generation"`
	PlatformReachable bool         `json:"platform_reachable"`
	Members           []MemberBody `json:"members"`
	Runners           []RunnerBody `json:"runners"`
	Shards            []ShardBody  `json:"shards"`
}

// MemberBody is the status of a member of the fleet, as recorded by the reporting node.
// State is "alive", "suspect", "leaving" or "dead".
type MemberBody struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Disk        string `json:"disk,omitempty"`
}

// RunnerBody is the status of a runner that the node owns. Online and Batch are the numbers
// of running online requests and batch items.
type RunnerBody struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	State      string `json:"state"`
	Online     uint32 `json:"online"`
	Batch      uint32 `json:"batch"`
	BatchLimit uint32 `json:"batch_limit"`
}

// ShardBody is the status of the node's replica of a batch shard.
// Commit and Applied are log indexes. Generation is that of the list of members.
type ShardBody struct {
	Shard      uint32   `json:"shard"`
	Leader     string   `json:"leader"`
	Epoch      uint64   `json:"epoch"`
	Commit     uint64   `json:"commit"`
	Applied    uint64   `json:"applied"`
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
}

func newNodeBody(reply *wirev1.NodeStatusReply) NodeBody {
	body := NodeBody{
		ID: reply.NodeId, Region: reply.Region, Zone: reply.Zone, State: reply.State, Version: reply.Version,
		APIAddress: reply.ApiAddress, BundleGeneration: reply.BundleGeneration, PlatformReachable: reply.PlatformReachable,
		Members: []MemberBody{}, Runners: []RunnerBody{}, Shards: []ShardBody{},
	}
	for _, member := range reply.Members {
		body.Members = append(body.Members, MemberBody{
			ID: member.Id, Address: member.Address, Zone: member.Zone, State: memberState(member.State), Incarnation: member.Incarnation, Disk: member.DiskId,
		})
	}
	for _, runner := range reply.Runners {
		body.Runners = append(body.Runners, RunnerBody{
			ID: runner.Id, Address: runner.Address, Zone: runner.Zone, State: runner.State,
			Online: runner.OnlineRunning, Batch: runner.BatchRunning, BatchLimit: runner.BatchLimit,
		})
	}
	for _, shard := range reply.Shards {
		body.Shards = append(body.Shards, ShardBody{
			Shard: shard.Shard, Leader: shard.Leader, Epoch: shard.Epoch, Commit: shard.Commit,
			Applied: shard.Applied, Generation: shard.Generation, Members: shard.Members,
		})
	}
	return body
}

func memberState(state wirev1.MemberState) string {
	switch state {
	case wirev1.MemberState_MEMBER_STATE_ALIVE:
		return "alive"
	case wirev1.MemberState_MEMBER_STATE_SUSPECT:
		return "suspect"
	case wirev1.MemberState_MEMBER_STATE_LEAVING:
		return "leaving"
	default:
		return "dead"
	}
}
