// Package openai serves the callers' API: OpenAI's chat completions, completions,
// models, files and batches. Every error response contains a result code. The module
// owns the API listener and enforces this node's shares of the tenants' limits; the
// limiters' state is kept in memory.
//
// The module depends on the active bundle for keys, models and limits, on module
// serving.router for online responses, on module callers.quota for the shares, and on
// module batch.directory for files, jobs and claims of idempotency keys. A claim records
// that a request uses an idempotency key. Plain nodes run the module.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "callers.openai"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{router.ModuleName, directory.ModuleName, quota.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Snapshots provides the active bundle, or nil if there is none yet.
type Snapshots interface{ Snapshot() *bundle.Snapshot }

// Router runs online requests. Generate passes the chunks of the response to the
// function in order and returns after the last chunk or with an error.
type Router interface {
	Generate(context.Context, *router.Request, func(router.Chunk) error) (router.Usage, error)
}

// Shares provides this node's share of a tenant's limits, from 0 to 1.
type Shares interface{ Share(tenant string) float64 }

// Leaver announces to the fleet that this node accepts no new work.
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
	inFlight atomic.Int64 // requests being processed, including streams being written

	// background runs calls to shards for which no caller waits. They use startContext,
	// the context of Start, and are cancelled with it.
	background   tasks.Group
	startContext context.Context
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
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_api_requests_total", Help: "Callers' requests by route and result code name."}, []string{"route", "code"}),
		duration:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cobaltramp_api_request_seconds", Help: "Callers' requests from arrival to the last byte.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"route"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_api_first_token_seconds", Help: "Online requests from arrival to first token.", Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16)}),
	}
	registry.MustRegister(m.requests, m.duration, m.firstToken)
	return m
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.startContext = ctx
	app := fiber.New(fiber.Config{
		BodyLimit:         m.settings.Limits.BodyBytes,
		StreamRequestBody: true,
		// Some headers and parameters are used after the handler has returned, for
		// example the key of a claim that is resolved in the background. Without
		// Immutable, the server would reuse their memory.
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
	// readTimeout is the timeout for reading a request, including the upload of a file.
	readTimeout = 5 * time.Minute
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

func (m *Module) routes(app *fiber.App) {
	app.Use(m.trackRequest)
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

// trackRequest counts a request as in flight until its handler returns, records its
// metrics, reads the rest of its body if the handler returns an error, and closes the
// connection after the response if the node was draining when the request arrived. The
// recorded duration of a stream ends when its first chunk is available.
func (m *Module) trackRequest(c fiber.Ctx) error {
	if m.draining.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	m.inFlight.Add(1)
	defer m.inFlight.Add(-1)
	started := time.Now()
	err := c.Next()
	if err != nil {
		discardBody(c)
	}
	route := c.Route().Path
	code := result.CodeOf(err)
	m.metrics.requests.WithLabelValues(route, code.String()).Inc()
	m.metrics.duration.WithLabelValues(route).Observe(time.Since(started).Seconds())
	return err
}

// Ready returns nil if the node accepts callers' requests, Draining while it stops, and
// NotReady while it has no active bundle.
func (m *Module) Ready() error {
	if m.draining.Load() {
		return result.New(result.Draining, "the node is stopping")
	}
	if m.snapshots.Snapshot() == nil {
		return result.New(result.NotReady, "no bundle is in force yet")
	}
	return nil
}

// drainDelay is the time from the announcement that the node leaves until it stops
// accepting connections. In this time, load balancers and callers notice that the node
// is not ready.
const drainDelay = 500 * time.Millisecond

// Drain implements kernel.Drainer. It refuses new requests and notifies the fleet, so
// that other nodes take over this node's runners. After drainDelay it stops accepting
// connections and waits for the requests in flight, until ctx ends at the latest.
func (m *Module) Drain(ctx context.Context) {
	m.draining.Store(true)
	m.leaver.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(drainDelay):
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

// Address returns the listening address of the callers' API. It must not be called
// before Start.
func (m *Module) Address() string { return m.server.Address() }

// handleError writes an error response.
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
