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
	Tenant   *catalog.Tenant
	Received time.Time
	// Deadline is set by the caller or by the route's timeout.
	Deadline time.Time
	// Stated is how long the caller has stated that it will wait; 0 if it has not.
	Stated time.Duration
	// ResumeAfter is the ID of the last event that the caller has received; negative to
	// start from the beginning.
	ResumeAfter int64
	// Prompt describes the request's prompt.
	Prompt runnerset.Prompt
}

// fingerprint identifies the content of the request: requests for the same work have
// equal fingerprints.
func (r *CallerRequest) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.RequestContent{Tenant: r.tenantName(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body})
}

func (r *CallerRequest) tenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// Responder sends the response to the caller. Before Head nothing is sent.
type Responder interface {
	// Head sends the status and headers; length is negative if unknown.
	Head(status int, headers []exchange.Header, length int64)
	// Write sends data without buffering. It returns an error if the caller has left.
	Write(data []byte) error
}

// ErrCut means that a started response could not be finished: the caller must see it as
// broken.
var ErrCut = errors.New("the answer was cut")
