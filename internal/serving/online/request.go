package online

import (
	"errors"
	"time"

	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// CallerRequest is a request of a caller, with its route, tenant and deadline.
type CallerRequest struct {
	ID      string
	Method  string
	URI     string
	Host    string
	Headers []exchange.Header
	Body    []byte
	Route   *catalog.Route
	// Version is the version of the configuration that Route belongs to.
	Version uint64
	// Tenant owns the request; nil where there are no tenants.
	Tenant *catalog.Tenant
	// Address is the caller's end of its connection to this node, for logs.
	Address string
	// Received is when the request arrived.
	Received time.Time
	// Deadline is the time at which Serve gives up.
	Deadline time.Time
	// StatedTimeout is the time for which the caller will wait by its own statement; 0
	// if it states none.
	StatedTimeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has received; negative to
	// start from the beginning.
	ResumeAfter int64
	// Resumes is the ID of the caller's attempt that brought the first event of the stream
	// that this request resumes; empty if the caller names none.
	Resumes string
	// Limits bound the response.
	Limits ResponseLimits
	// Prompt describes the request's prompt; zero if the caller does not describe it.
	Prompt runnerset.Prompt
}

// fingerprint returns the fingerprint of the request's content. Requests with the same
// tenant, method, host, URI and body have equal fingerprints.
func (r *CallerRequest) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.RequestContent{Tenant: r.tenantName(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body})
}

// work identifies the request and the shared parts of its prompt for the quarantine.
func (r *CallerRequest) work() *quarantine.Work {
	work := &quarantine.Work{ID: r.ID, Fingerprint: r.fingerprint(), Service: r.Route.ServiceFor(r.ID), MayTry: true}
	for _, part := range r.Prompt.SharedParts {
		work.AddPart(quarantine.NewPart(r.tenantName(), part.ID, part.Name))
	}
	return work
}

// tenantName returns the name of the tenant; empty where there are no tenants.
func (r *CallerRequest) tenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// Responder sends the response to the caller. Head is called at most once, before the
// first Write.
type Responder interface {
	// Head sends the status and headers. length is the length of the body in bytes;
	// negative if unknown.
	Head(status int, headers []exchange.Header, length int64)
	// Write sends a part of the body without buffering. It returns an error if the
	// caller has left.
	Write(data []byte) error
}

// ErrCut means that a response was started and could not be finished. The connection to
// the caller must then be ended so that the caller sees an incomplete response.
var ErrCut = errors.New("the response was started and could not be finished")
