// Package openai serves callers: the OpenAI chat completions, completions, models,
// files and batches API, with numbered outcomes on every error. It owns the API
// listener and this node's use of tenants' limits, in memory. It relies on the bundle
// in force for keys, models and limits, on module serving.router for online answers,
// and on module batch.directory for files, jobs and claims of idempotency keys. The
// plain node runs it.
package openai

import (
	"context"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
	"cobaltramp.example/cobaltramp/internal/transport/httpserve"
	"cobaltramp.example/cobaltramp/internal/transport/tlskeys"
	"cobaltramp.example/cobaltramp/modules/batch/directory"
	"cobaltramp.example/cobaltramp/modules/callers/quota"
	"cobaltramp.example/cobaltramp/modules/serving/router"
)

// ModuleName registers the module.
const ModuleName = "callers.openai"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{router.ModuleName, directory.ModuleName, quota.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Snapshots gives the bundle in force.
type Snapshots interface{ Snapshot() *bundle.Snapshot }

// Router runs online requests.
type Router interface {
	Generate(context.Context, *router.Request, func(router.Chunk) error) (router.Usage, error)
}

// Shares gives this node's share of a tenant's limits.
type Shares interface{ Share(tenant string) float64 }

// Leaver announces to the fleet that this node takes nothing new.
type Leaver interface{ Leave() }

// Module serves the callers' API.
type Module struct {
	settings  *settings.Settings
	snapshots Snapshots
	router    Router
	leaver    Leaver
	batch     BatchStore
	claims    Claims
	shares    Shares
	limits    limits.Limiters
	metrics   *metrics

	server   *httpserve.Server
	tls      *tlskeys.Pair
	draining atomic.Bool
	inFlight atomic.Int64

	// background are the calls to shards that no caller waits for; lifetime, the
	// context of Start, ends them.
	background tasks.Group
	lifetime   context.Context
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Drainer = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var registry prometheus.Registerer
	err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.snapshots), kernel.Dependency(&m.router),
		kernel.Dependency(&m.leaver), kernel.Dependency(&m.batch), kernel.Dependency(&m.claims),
		kernel.Dependency(&m.shares), kernel.Dependency(&registry),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.settings.TLS.API.IsSet() {
		if m.tls, err = tlskeys.LoadPair(m.settings.TLS.API.Certificate, m.settings.TLS.API.Key); err != nil {
			return trace.Wrap(err, "tls.api")
		}
	}
	m.metrics = newMetrics(registry)
	ctx.Provide(m)
	return nil
}

type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	first    prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_api_requests_total", Help: "Callers' requests by route and result code name."}, []string{"route", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cobaltramp_api_request_seconds", Help: "Callers' requests from arrival to the last byte.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"route"}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_api_first_token_seconds", Help: "Online requests from arrival to first token.", Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16)}),
	}
	registry.MustRegister(m.requests, m.duration, m.first)
	return m
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.lifetime = ctx
	app := fiber.New(fiber.Config{
		BodyLimit:         m.settings.Limits.BodyBytes,
		StreamRequestBody: true,
		// Headers and parameters outlive their handler, for example the key a
		// claim is resolved under; the server would reuse their memory.
		Immutable:                    true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 m.handleError,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
	})
	m.routes(app)
	var tlsConfig *tls.Config
	if m.tls != nil {
		tlsConfig = m.tls.Server()
	}
	server, err := httpserve.Listen(m.settings.Node.APIAddress, app, tlsConfig)
	if err != nil {
		return trace.Wrap(err, "node.api_address")
	}
	m.server = server
	server.Serve()
	return nil
}

const (
	// readTimeout bounds the reading of one request, a file's upload included.
	readTimeout = 5 * time.Minute
	// idleTimeout bounds how long a connection is kept between two requests.
	idleTimeout = 90 * time.Second
)

func (m *Module) routes(app *fiber.App) {
	app.Use(m.track)
	app.Post("/v1/chat/completions", m.authenticated(m.chat))
	app.Post("/v1/completions", m.authenticated(m.completion))
	app.Get("/v1/models", m.authenticated(m.listModels))
	app.Get("/v1/models/:id", m.authenticated(m.getModel))
	m.fileRoutes(app)
	m.batchRoutes(app)
	app.Use(func(c fiber.Ctx) error {
		return result.New(result.MethodNotAllowed, "%s %s does not exist here", c.Method(), c.Path())
	})
}

// track counts requests in flight and refuses new ones while draining.
func (m *Module) track(c fiber.Ctx) error {
	if m.draining.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	m.inFlight.Add(1)
	defer m.inFlight.Add(-1)
	started := time.Now()
	err := c.Next()
	if err != nil {
		drain(c)
	}
	route := c.Route().Path
	code := result.CodeOf(err)
	m.metrics.requests.WithLabelValues(route, code.String()).Inc()
	m.metrics.duration.WithLabelValues(route).Observe(time.Since(started).Seconds())
	return err
}

// Ready reports whether the node can serve callers, and why not.
func (m *Module) Ready() error {
	if m.draining.Load() {
		return result.New(result.Draining, "the node is stopping")
	}
	if m.snapshots.Snapshot() == nil {
		return result.New(result.NotReady, "no bundle is in force yet")
	}
	return nil
}

// spreadTime lets balancers and callers see that the node is not ready before
// it stops accepting.
const spreadTime = 500 * time.Millisecond

// Drain implements kernel.Drainer: the fleet is notified first, so that owners are
// chosen elsewhere; then no connection is accepted; then requests finish.
func (m *Module) Drain(ctx context.Context) {
	m.draining.Store(true)
	m.leaver.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(spreadTime):
	}
	if m.server != nil {
		m.server.Shutdown(ctx)
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.server != nil {
		m.server.Kill()
	}
	m.background.Wait()
}

// Address returns the address callers reach the node at.
func (m *Module) Address() string { return m.server.Address() }

// handleError writes the one error shape.
func (m *Module) handleError(c fiber.Ctx, err error) error {
	return writeError(c, toResult(err))
}

func toResult(err error) *result.Error {
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		switch fiberError.Code {
		case fiber.StatusRequestEntityTooLarge:
			return result.New(result.BodyTooLarge, "the body is too large")
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			return result.New(result.MethodNotAllowed, "%s", fiberError.Message)
		default:
			return result.New(result.InvalidRequest, "%s", fiberError.Message)
		}
	}
	return result.FromError(err)
}
