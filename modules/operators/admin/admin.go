// Package admin serves operators: health, readiness, metrics, status and the
// bundle verbs, on the node's admin address. It owns that listener and no state; it
// asks the other modules of the node, and for the status of the fleet the other
// nodes. The plain node runs it.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/app/version"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/httpserve"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/callers/openai"
	"cobaltramp.example/cobaltramp/modules/config/bundles"
	"cobaltramp.example/cobaltramp/modules/serving/owner"
)

// ModuleName registers the module.
const ModuleName = "operators.admin"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{openai.ModuleName, owner.ModuleName, bundles.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views gives the view of the fleet.
type Views interface{ View() *fleet.View }

// Bundles is the part of the bundle module used here.
type Bundles interface {
	Snapshot() *bundle.Snapshot
	Head() *bundle.Head
	PlatformReachable() bool
	Submit(context.Context, *bundle.Submission) (*bundle.Head, error)
	Roll(context.Context, *bundle.RollRequest) (*bundle.Head, error)
	History(context.Context, int) ([]*bundle.Delta, error)
	Operation(context.Context, string) (*bundle.Head, error)
}

// Runners lists this node's runners.
type Runners interface{ Status() []*wirev1.RunnerStatus }

// Shards lists this node's shard replicas; nodes without a disk have none.
type Shards interface{ Status() []*wirev1.ShardStatus }

// Readiness says why a node does not serve callers.
type Readiness interface{ Ready() error }

// Module serves operators.
type Module struct {
	settings *settings.Settings
	views    Views
	bundles  Bundles
	runners  Runners
	shards   Shards
	ready    Readiness
	pool     *rpc.Pool
	gatherer prometheus.Gatherer
	server   *httpserve.Server
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var server *rpc.Server
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.views), kernel.Dependency(&m.bundles),
		kernel.Dependency(&m.runners), kernel.Dependency(&m.ready), kernel.Dependency(&m.pool),
		kernel.Dependency(&m.gatherer), kernel.Dependency(&server),
	); err != nil {
		return trace.Wrap(err)
	}
	m.shards, _ = kernel.Find[Shards](ctx) // a node without a disk has none
	server.Handle(wirev1.Method_METHOD_NODE_STATUS, m.serveStatus)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	app := fiber.New(fiber.Config{BodyLimit: submissionBytes, ErrorHandler: handleError, Immutable: true})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", m.readyz)
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(m.gatherer, promhttp.HandlerOpts{})))
	app.Get("/v1/status", m.status)
	app.Get("/v1/fleet", m.fleetStatus)
	app.Get("/v1/bundle", m.bundleStatus)
	app.Get("/v1/bundle/history", m.bundleHistory)
	app.Get("/v1/bundle/operations/:id", m.bundleOperation)
	app.Post("/v1/bundle/submit", m.submitBundle)
	app.Post("/v1/bundle/roll", m.rollBundle)
	server, err := httpserve.Listen(m.settings.Node.AdminAddress, app, nil)
	if err != nil {
		return trace.Wrap(err, "node.admin_address")
	}
	m.server = server
	server.Serve()
	return nil
}

const (
	// submissionBytes bounds the body of a request.
	submissionBytes = 64 << 20
	// statusTimeout bounds the question for the status of one other node.
	statusTimeout = 2 * time.Second
	// changeTimeout bounds a change of the bundle, with its retries.
	changeTimeout = 15 * time.Second
	// defaultHistory is how many generations are listed if the operator names no limit.
	defaultHistory = 20
)

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.server != nil {
		m.server.Kill()
	}
}

// ErrorBody is how the admin address reports an error.
type ErrorBody struct {
	Code    uint32 `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

func handleError(c fiber.Ctx, err error) error {
	failure := result.FromError(err)
	return c.Status(failure.Code.Entry().HTTPStatus).JSON(ErrorBody{uint32(failure.Code), failure.Code.String(), failure.Message})
}

func (m *Module) readyz(c fiber.Ctx) error {
	if err := m.ready.Ready(); err != nil {
		return err
	}
	return c.SendString("ready\n")
}

func (m *Module) nodeStatus() *wirev1.NodeStatusReply {
	view := m.views.View()
	reply := &wirev1.NodeStatusReply{
		NodeId: m.settings.Node.ID, Zone: m.settings.Node.Zone, Region: m.settings.Node.Region, Version: version.Version,
		PlatformReachable: m.bundles.PlatformReachable(), Runners: m.runners.Status(), ApiAddress: m.settings.Node.APIAddress,
		State: "ready",
	}
	if err := m.ready.Ready(); err != nil {
		reply.State = result.FromError(err).Message
	}
	if snapshot := m.bundles.Snapshot(); snapshot != nil {
		reply.BundleGeneration = snapshot.Generation
	}
	for _, record := range view.Members {
		reply.Members = append(reply.Members, record)
	}
	sort.Slice(reply.Members, func(i, j int) bool { return reply.Members[i].Id < reply.Members[j].Id })
	sort.Slice(reply.Runners, func(i, j int) bool { return reply.Runners[i].Id < reply.Runners[j].Id })
	if m.shards != nil {
		reply.Shards = m.shards.Status()
		sort.Slice(reply.Shards, func(i, j int) bool { return reply.Shards[i].Shard < reply.Shards[j].Shard })
	}
	return reply
}

func (m *Module) serveStatus(_ context.Context, stream *rpc.ServerStream) error {
	return stream.Send(m.nodeStatus())
}

func (m *Module) status(c fiber.Ctx) error { return c.JSON(newNodeBody(m.nodeStatus())) }

// fleetStatus asks every member for its status.
func (m *Module) fleetStatus(c fiber.Ctx) error {
	members := m.nodeStatus().Members
	bodies := make([]NodeBody, len(members))
	var asking tasks.Group
	for i, member := range members {
		asking.Go(func() { bodies[i] = m.askMember(member) })
	}
	asking.Wait()
	return c.JSON(bodies)
}

func (m *Module) askMember(member *wirev1.MemberRecord) NodeBody {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if member.State == wirev1.MemberState_MEMBER_STATE_DEAD {
		return NodeBody{ID: member.Id, Zone: member.Zone, State: "dead"}
	}
	reply := &wirev1.NodeStatusReply{}
	err := m.pool.Call(ctx, member.Address, rpc.ClassControl, wirev1.Method_METHOD_NODE_STATUS, &wirev1.NodeStatusRequest{}, reply)
	if err != nil {
		return NodeBody{ID: member.Id, Zone: member.Zone, State: "unreachable"}
	}
	return newNodeBody(reply)
}

// BundleBody is the bundle's status.
type BundleBody struct {
	Head *bundle.Head `json:"head"`
	// InForce maps each zone to the generations its nodes have in force.
	InForce map[string]map[string]uint64 `json:"in_force"`
	// Lagging lists nodes below the generation that should be in force.
	Lagging []string `json:"lagging"`
}

func (m *Module) bundleStatus(c fiber.Ctx) error {
	body := BundleBody{Head: m.bundles.Head(), InForce: map[string]map[string]uint64{}, Lagging: []string{}}
	for _, member := range m.nodeStatus().Members {
		node := m.askMember(member)
		if node.State == "dead" || node.State == "unreachable" {
			continue
		}
		if body.InForce[node.Zone] == nil {
			body.InForce[node.Zone] = map[string]uint64{}
		}
		body.InForce[node.Zone][node.ID] = node.BundleGeneration
		if body.Head != nil {
			if wanted, _ := body.Head.GenerationFor(node.Zone); node.BundleGeneration < wanted {
				body.Lagging = append(body.Lagging, node.ID)
			}
		}
	}
	return c.JSON(body)
}

// HistoryBody is one generation of the history.
type HistoryBody struct {
	Generation uint64   `json:"generation"`
	Digest     string   `json:"digest"`
	Changed    []string `json:"changed"`
	Removed    []string `json:"removed"`
}

func (m *Module) bundleHistory(c fiber.Ctx) error {
	limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultHistory)))
	if err != nil || limit < 1 {
		return result.New(result.InvalidRequest, "limit is %q, allowed: 1 or more", c.Query("limit"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	history, err := m.bundles.History(ctx, limit)
	if err != nil {
		return err
	}
	bodies := []HistoryBody{}
	for _, delta := range history {
		body := HistoryBody{Generation: delta.Generation, Digest: delta.Digest, Changed: []string{}, Removed: []string{}}
		for _, document := range delta.Changed {
			body.Changed = append(body.Changed, document.Key().String())
		}
		for _, key := range delta.Removed {
			body.Removed = append(body.Removed, key.String())
		}
		bodies = append(bodies, body)
	}
	return c.JSON(bodies)
}

func (m *Module) bundleOperation(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	head, err := m.bundles.Operation(ctx, c.Params("id"))
	if err != nil {
		return err
	}
	if head == nil {
		return result.New(result.NotFound, "operation %s took no effect", c.Params("id"))
	}
	return c.JSON(head)
}

func (m *Module) submitBundle(c fiber.Ctx) error {
	var submission bundle.Submission
	if err := json.Unmarshal(c.Body(), &submission); err != nil {
		return result.New(result.InvalidRequest, "the body is not a submission: %v", err)
	}
	if submission.OperationID == "" {
		return result.New(result.InvalidRequest, "operation_id is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	head, err := m.bundles.Submit(ctx, &submission)
	if err != nil {
		return err
	}
	return c.Status(http.StatusOK).JSON(head)
}

func (m *Module) rollBundle(c fiber.Ctx) error {
	var request bundle.RollRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return result.New(result.InvalidRequest, "the body is not a roll request: %v", err)
	}
	if request.OperationID == "" {
		return result.New(result.InvalidRequest, "operation_id is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	head, err := m.bundles.Roll(ctx, &request)
	if err != nil {
		return err
	}
	return c.JSON(head)
}
