package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
	"cobaltramp.example/cobaltramp/modules/operators/admin"
)

const (
	// callTimeout is the timeout of a call to a node.
	callTimeout = 30 * time.Second
	// maxResponseBytes is the largest response that is accepted from a node.
	maxResponseBytes = 64 << 20
)

// adminOptions are the options of operators' commands that call a node.
type adminOptions struct {
	Node string `short:"n" long:"node" env:"COBALTRAMP_NODE" required:"true" description:"admin address (IP:port) of any node"`
}

// call sends a request to the node's admin address and decodes the response.
func (a *adminOptions) call(method, path string, body, reply any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := httpcall.NewClient(nil).Do(ctx, &httpcall.Request{Method: method, URL: "http://" + a.Node + path, Body: encoded})
	if err != nil {
		return callError(a.Node, err)
	}
	content, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return outcomeUnknownError{trace.ConnectionProblem(err, "node %s: the answer broke off", a.Node)}
	}
	if response.Status != 200 {
		return responseError(a.Node, response.Status, content)
	}
	return trace.Wrap(json.Unmarshal(content, reply), "decoding the answer of node %s", a.Node)
}

// callError converts an error of the HTTP client to the error of the command.
func callError(node string, err error) error {
	var notSent *httpcall.NotSentError
	if errors.As(err, &notSent) {
		return trace.ConnectionProblem(err, "node %s cannot be reached (%v); give the admin address of a running node by --node", node, notSent.Cause)
	}
	return outcomeUnknownError{trace.ConnectionProblem(err, "node %s did not answer; whether the request took effect is not known", node)}
}

// responseError returns the error for a response with a status other than 200.
func responseError(node string, status int, content []byte) error {
	var body admin.ErrorBody
	if json.Unmarshal(content, &body) != nil || body.Message == "" {
		return trace.BadParameter("node %s answered status %d: %s", node, status, content)
	}
	refusal := trace.BadParameter("node %s refused: %s (%s, code %d)", node, body.Message, body.Name, body.Code)
	if result.Code(body.Code).Entry().Ran == result.RanUnknown {
		return outcomeUnknownError{refusal}
	}
	return refusal
}

type statusCommand struct {
	adminOptions
	One bool `long:"one" description:"show the asked node in detail instead of the fleet"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	if s.One {
		var body admin.NodeBody
		if err := s.call("GET", "/v1/status", nil, &body); err != nil {
			return err
		}
		return output.print(body, func() { printNode(os.Stdout, &body) })
	}
	var bodies []admin.NodeBody
	if err := s.call("GET", "/v1/fleet", nil, &bodies); err != nil {
		return err
	}
	return output.print(bodies, func() { printFleet(os.Stdout, bodies) })
}

func printFleet(out io.Writer, bodies []admin.NodeBody) {
	_, _ = fmt.Fprintf(out, "%-20s %-18s %-12s %10s %8s %7s %7s\n", "NODE", "ZONE", "STATE", "GENERATION", "RUNNERS", "ONLINE", "BATCH")
	for _, node := range bodies {
		online, batch := uint32(0), uint32(0)
		for _, runner := range node.Runners {
			online += runner.Online
			batch += runner.Batch
		}
		_, _ = fmt.Fprintf(out, "%-20s %-18s %-12s %10d %8d %7d %7d\n", node.ID, node.Zone, node.State, node.BundleGeneration, len(node.Runners), online, batch)
	}
}

func printNode(out io.Writer, node *admin.NodeBody) {
	_, _ = fmt.Fprintf(out, "%s in %s/%s: %s, generation %d, platform reachable %v\n", node.ID, node.Region, node.Zone, node.State, node.BundleGeneration, node.PlatformReachable)
	for _, member := range node.Members {
		_, _ = fmt.Fprintf(out, "member  %-20s %-18s %-8s %s\n", member.ID, member.Zone, member.State, member.Disk)
	}
	for _, runner := range node.Runners {
		_, _ = fmt.Fprintf(out, "runner  %-20s %-18s %-10s online %d, batch %d of %d\n", runner.ID, runner.Zone, runner.State, runner.Online, runner.Batch, runner.BatchLimit)
	}
	for _, shard := range node.Shards {
		_, _ = fmt.Fprintf(out, "shard   %d generation %d epoch %d applied %d of %d, leader %s\n", shard.Shard, shard.Generation, shard.Epoch, shard.Applied, shard.Commit, shard.Leader)
	}
}
