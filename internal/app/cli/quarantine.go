package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// quarantineCommand lists the quarantined requests and parts of prompts, or lifts the hold of one.
type quarantineCommand struct {
	Node    string `short:"n" long:"node" env:"COBALTRAMP_PEER" required:"true" description:"address (IP:port) at which other nodes reach any node"`
	Cluster string `long:"cluster" default:"cobaltramp" description:"name of the cluster, as in the node's settings"`
	Lift    string `long:"lift" description:"fingerprint of the request or the part of prompts whose hold is lifted on all nodes, as in the list and in the logs"`
}

// quarantineBody describes a quarantined request or part of prompts.
type quarantineBody struct {
	Fingerprint string    `json:"fingerprint"`
	Decided     time.Time `json:"decided"`
	Until       time.Time `json:"until"`
	// Provisional is set while trials still show whether the request or the part is sound.
	Provisional bool `json:"provisional,omitempty"`
	// Part, Service and Version are those of a part: its name, and the service and the version of
	// the runners that ended under it.
	Part    string `json:"part,omitempty"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Trials is the number of trials, and TrialAt when the next one is due.
	Trials  int        `json:"trials,omitempty"`
	TrialAt *time.Time `json:"trial_at,omitempty"`
}

// newQuarantineBody describes a hold.
func newQuarantineBody(hold quarantine.Hold) quarantineBody {
	body := quarantineBody{
		Fingerprint: hold.Fingerprint.String(), Decided: time.UnixMilli(hold.Decided).UTC(), Until: time.UnixMilli(hold.Until).UTC(),
		Provisional: hold.Provisional, Part: hold.Part, Service: hold.Environment.Service, Version: hold.Environment.Version, Trials: hold.Trials,
	}
	if hold.TrialAt > 0 {
		at := time.UnixMilli(hold.TrialAt).UTC()
		body.TrialAt = &at
	}
	return body
}

// clientNodeID is the node id that the command line sends to nodes.
const clientNodeID = "command-line"

// Execute implements flags.Commander.
func (q *quarantineCommand) Execute([]string) error {
	request := &wirev1.QuarantineAdminRequest{}
	if q.Lift != "" {
		fingerprint, err := quarantine.ParseFingerprint(q.Lift)
		if err != nil {
			return trace.BadParameter("--lift: %q is no fingerprint; allowed are up to 16 hexadecimal digits, as the list prints them", q.Lift)
		}
		request.Lift = uint64(fingerprint)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	pool := rpc.NewPool(clientNodeID, q.Cluster, nil, &rpc.Counters{})
	defer pool.Close()
	reply := &wirev1.QuarantineAdminReply{}
	if err := pool.Call(ctx, q.Node, rpc.ClassControl, wirev1.Method_METHOD_QUARANTINE_ADMIN, request, reply); err != nil {
		return trace.ConnectionProblem(err, "node %s did not answer; give the address for other nodes of a running node by --node, and its cluster by --cluster", q.Node)
	}
	if q.Lift != "" && !reply.Lifted {
		return trace.NotFound("no hold of %s is in force at node %s", q.Lift, q.Node)
	}
	bodies := make([]quarantineBody, 0, len(reply.Holds))
	for _, encoded := range reply.Holds {
		bodies = append(bodies, newQuarantineBody(quarantine.Decode(encoded)))
	}
	return output.print(bodies, func() { printQuarantine(bodies) })
}

func printQuarantine(holds []quarantineBody) {
	if len(holds) == 0 {
		fmt.Println("nothing is held")
		return
	}
	fmt.Printf("%-18s %-22s %-22s %-22s %s\n", "FINGERPRINT", "HELD SINCE", "UNTIL", "NEXT TRIAL", "PART OF PROMPTS")
	for _, hold := range holds {
		fmt.Printf("%-18s %-22s %-22s %-22s %s\n", hold.Fingerprint, hold.Decided.Format(time.RFC3339), hold.untilText(), hold.nextTrial(), hold.partText())
	}
}

// untilText returns when the hold expires, or that it is provisional.
func (b *quarantineBody) untilText() string {
	if b.Provisional {
		return "provisional"
	}
	return b.Until.Format(time.RFC3339)
}

// nextTrial returns when the next trial of a hold is due; "-" if there is none.
func (b *quarantineBody) nextTrial() string {
	if b.TrialAt == nil {
		return "-"
	}
	return b.TrialAt.Format(time.RFC3339)
}

// partText describes a part and where runners ended under it; "-" for a request.
func (b *quarantineBody) partText() string {
	if b.Part == "" {
		return "-"
	}
	return fmt.Sprintf("%q (service %s, version %s)", b.Part, b.Service, b.Version)
}
