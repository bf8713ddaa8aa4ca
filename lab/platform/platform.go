package platform

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"cobaltramp.example/cobaltramp/internal/transport/httpserve"
)

// Platform serves the emulated services on one address.
type Platform struct {
	// Requests counts the key-value calls, including watches and rejected calls.
	Requests atomic.Int64

	server        *httpserve.Server
	store         *store
	limiter       *rate.Limiter
	weightLimiter *rate.Limiter

	mutex           sync.Mutex
	down            bool
	responseDelay   time.Duration
	responsesToLose int
	machines        []listEntry
	runners         []listEntry
	listLag         time.Duration
	outageStarted   chan struct{} // closed when an outage starts, to end watches
}

// Options configures a Platform.
type Options struct {
	// Address is the address to listen on, for example "127.0.0.1:0".
	Address string
	// RequestsPerSecond is the rate limit of key-value calls (default 200).
	RequestsPerSecond float64
	// ListLag is the delay after which the lists show a change.
	ListLag time.Duration
	// WeightBytesPerSecond is the rate limit of the weight store (default 256 MiB/s).
	WeightBytesPerSecond int
}

const (
	defaultRequestsPerSecond = 200
	defaultWeightRate        = 256 << 20
	weightChunkBytes         = 1 << 20
)

// Start starts the emulated services.
func Start(options Options) (*Platform, error) {
	if options.RequestsPerSecond == 0 {
		options.RequestsPerSecond = defaultRequestsPerSecond
	}
	if options.WeightBytesPerSecond == 0 {
		options.WeightBytesPerSecond = defaultWeightRate
	}
	p := &Platform{
		store:         newStore(),
		limiter:       rate.NewLimiter(rate.Limit(options.RequestsPerSecond), int(options.RequestsPerSecond)+1),
		weightLimiter: rate.NewLimiter(rate.Limit(options.WeightBytesPerSecond), max(weightChunkBytes, options.WeightBytesPerSecond/4)),
		listLag:       options.ListLag,
		outageStarted: make(chan struct{}),
	}
	app := fiber.New(fiber.Config{BodyLimit: 128 << 20, Immutable: true})
	p.routes(app)
	server, err := httpserve.Listen(options.Address, app, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.server = server
	server.Serve()
	return p, nil
}

// URL returns the base URL of the services.
func (p *Platform) URL() string { return "http://" + p.server.Address() }

// Close stops the services.
func (p *Platform) Close() {
	p.SetDown(true)
	p.server.Kill()
}

// SetDown starts or ends an outage of the key-value service and the lists.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if down && !p.down {
		close(p.outageStarted)
		p.outageStarted = make(chan struct{})
	}
	p.down = down
}

// SetSlow sets the delay of each key-value response.
func (p *Platform) SetSlow(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.responseDelay = delay
}

// LoseResponses makes the next count transactions take effect without a response.
func (p *Platform) LoseResponses(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.responsesToLose = count
}

func (p *Platform) routes(app *fiber.App) {
	app.Post("/v3/kv/range", p.withFaults(p.serveRange))
	app.Post("/v3/kv/txn", p.withFaults(p.serveTxn))
	app.Post("/v3/watch", p.withFaults(p.serveWatch))
	app.Get("/machines", func(c fiber.Ctx) error { return p.serveList(c, &p.machines) })
	app.Get("/runners", func(c fiber.Ctx) error { return p.serveList(c, &p.runners) })
	app.Get("/weights/:model/:version", p.serveWeights)
}

// withFaults applies the outage, the rate limit and the response delay to a handler.
func (p *Platform) withFaults(handler fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		p.Requests.Add(1)
		p.mutex.Lock()
		down, responseDelay := p.down, p.responseDelay
		p.mutex.Unlock()
		if down {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		if !p.limiter.Allow() {
			return c.SendStatus(fiber.StatusTooManyRequests)
		}
		time.Sleep(responseDelay)
		return handler(c)
	}
}
