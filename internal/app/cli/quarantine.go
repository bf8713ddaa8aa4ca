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

// quarantineCommand lists the quarantined requests, or lifts the hold of a request.
type quarantineCommand struct {
	Node    string `short:"n" long:"node" env:"COBALTRAMP_PEER" required:"true" description:"address (IP:port) at which other nodes reach any node"`
	Cluster string `long:"cluster" default:"cobaltramp" description:"name of the cluster, as in the node's settings"`
	Lift    string `long:"lift" description:"fingerprint of the request whose hold is lifted on all nodes, as in the list and in the logs"`
}

// quarantineBody describes a quarantined request.
type quarantineBody struct {
	Fingerprint string    `json:"fingerprint"`
	Decided     time.Time `json:"decided"`
	Until       time.Time `json:"until"`
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
		return trace.NotFound("no hold of the request %s is in force at node %s", q.Lift, q.Node)
	}
	bodies := make([]quarantineBody, 0, len(reply.Holds))
	for _, encoded := range reply.Holds {
		hold := quarantine.Decode(encoded)
		bodies = append(bodies, quarantineBody{hold.Fingerprint.String(), time.UnixMilli(hold.Decided).UTC(), time.UnixMilli(hold.Until).UTC()})
	}
	return output.print(bodies, func() { printQuarantine(bodies) })
}

func printQuarantine(holds []quarantineBody) {
	if len(holds) == 0 {
		fmt.Println("no request is held")
		return
	}
	fmt.Printf("%-18s %-22s %s\n", "FINGERPRINT", "HELD SINCE", "UNTIL")
	for _, hold := range holds {
		fmt.Printf("%-18s %-22s %s\n", hold.Fingerprint, hold.Decided.Format(time.RFC3339), hold.Until.Format(time.RFC3339))
	}
}
