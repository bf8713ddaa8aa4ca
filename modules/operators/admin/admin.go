// Package admin serves the HTTP interface for operators on the node's admin address:
// health, readiness, metrics, the status of the node and of the fleet, and reading and
// changing the configuration bundle. It has no state of its own. It reads the status of
// this node from other modules, and requests the status of other nodes over RPC. The plain
// node runs it.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "operators.admin"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{openai.ModuleName, owner.ModuleName, bundles.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// FleetViews provides the current view of the fleet.
type FleetViews interface{ View() *fleet.View }

// Bundles is the part of the bundles module that the admin interface uses.
type Bundles interface {
	Snapshot() *bundle.Snapshot
	Head() *bundle.Head
	PlatformReachable() bool
	Submit(context.Context, *bundle.Submission) (*bundle.Head, error)
	Roll(context.Context, *bundle.RollRequest) (*bundle.Head, error)
	History(context.Context, int) ([]*bundle.Delta, error)
	Operation(context.Context, string) (*bundle.Head, error)
}

// Runners provides the status of this node's runners.
type Runners interface{ Status() []*wirev1.RunnerStatus }

// Shards provides the status of this node's shard replicas. A node without a disk has no
// module that implements it.
type Shards interface{ Status() []*wirev1.ShardStatus }

// Readiness reports whether the node can serve callers. Ready returns nil if it can, and
// the reason as an error if it cannot.
type Readiness interface{ Ready() error }

// Module serves the HTTP interface for operators.
type Module struct {
	settings  *settings.Settings
	views     FleetViews
	bundles   Bundles
	runners   Runners
	shards    Shards
	readiness Readiness
	pool      *rpc.Pool
	gatherer  prometheus.Gatherer
	server    *httpserve.Server
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
		kernel.Dependency(&m.runners), kernel.Dependency(&m.readiness), kernel.Dependency(&m.pool),
		kernel.Dependency(&m.gatherer), kernel.Dependency(&server),
	); err != nil {
		return trace.Wrap(err)
	}
	m.shards, _ = kernel.Find[Shards](ctx) // nil if the node has no disk
	server.Handle(wirev1.Method_METHOD_NODE_STATUS, m.serveStatus)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ErrorHandler: handleError, Immutable: true})
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
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 64 << 20
	// statusTimeout bounds a status request to another node.
	statusTimeout = 2 * time.Second
	// bundleTimeout bounds one operation on the bundle, including its retries.
	bundleTimeout = 15 * time.Second
	// defaultHistoryLimit is the number of generations listed if the request states no
	// limit.
	defaultHistoryLimit = 20
)

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.server != nil {
		m.server.Kill()
	}
}

// ErrorBody is the body of an error response.
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
	if err := m.readiness.Ready(); err != nil {
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
	if err := m.readiness.Ready(); err != nil {
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

// fleetStatus responds with the status of all members. It requests the status of members
// that are not dead concurrently.
func (m *Module) fleetStatus(c fiber.Ctx) error {
	members := m.nodeStatus().Members
	bodies := make([]NodeBody, len(members))
	var requests tasks.Group
	for i, member := range members {
		requests.Go(func() { bodies[i] = m.fetchMemberStatus(member) })
	}
	requests.Wait()
	return c.JSON(bodies)
}

func (m *Module) fetchMemberStatus(member *wirev1.MemberRecord) NodeBody {
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

// BundleBody is the status of the bundle.
type BundleBody struct {
	Head *bundle.Head `json:"head"`
	// ActiveGenerations holds the active generation of each node, by zone and node ID. It
	// leaves out nodes that are dead or did not reply.
	ActiveGenerations map[string]map[string]uint64 `json:"in_force"`
	// Lagging lists the IDs of the nodes in ActiveGenerations whose generation is older
	// than the generation that the head requires in their zone. It is empty without a head.
	Lagging []string `json:"lagging"`
}

func (m *Module) bundleStatus(c fiber.Ctx) error {
	body := BundleBody{Head: m.bundles.Head(), ActiveGenerations: map[string]map[string]uint64{}, Lagging: []string{}}
	for _, member := range m.nodeStatus().Members {
		node := m.fetchMemberStatus(member)
		if node.State == "dead" || node.State == "unreachable" {
			continue
		}
		if body.ActiveGenerations[node.Zone] == nil {
			body.ActiveGenerations[node.Zone] = map[string]uint64{}
		}
		body.ActiveGenerations[node.Zone][node.ID] = node.BundleGeneration
		if body.Head != nil {
			if required, _ := body.Head.GenerationFor(node.Zone); node.BundleGeneration < required {
				body.Lagging = append(body.Lagging, node.ID)
			}
		}
	}
	return c.JSON(body)
}

// HistoryBody is one generation in the history of the bundle. Changed and Removed list the
// keys of documents.
type HistoryBody struct {
	Generation uint64   `json:"generation"`
	Digest     string   `json:"digest"`
	Changed    []string `json:"changed"`
	Removed    []string `json:"removed"`
}

func (m *Module) bundleHistory(c fiber.Ctx) error {
	limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultHistoryLimit)))
	if err != nil || limit < 1 {
		return result.New(result.InvalidRequest, "limit is %q, allowed: 1 or more", c.Query("limit"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	head, err := m.bundles.Roll(ctx, &request)
	if err != nil {
		return err
	}
	return c.JSON(head)
}
