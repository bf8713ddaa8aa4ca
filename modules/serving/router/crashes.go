package router

import (
	"errors"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// fingerprint is equal for requests that are the same work.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.RequestContent{Tenant: r.Tenant, Method: http.MethodPost, Host: r.Model.Name, URI: r.Surface.String(), Body: r.Body})
}

// quarantined refuses a request that crashes engines.
func (g *generation) quarantined() error {
	left, held := g.module.guard.Held(g.fingerprint)
	if !held {
		return nil
	}
	if g.dispatched {
		return g.broken(result.New(result.OutcomeUnknown, "engines end under this request (fingerprint %v)", g.fingerprint))
	}
	return result.New(result.Quarantined, "engines end under this request (fingerprint %v)", g.fingerprint).WithRetryAfter(left)
}

// noteEnding counts a lost stream against the request if its engine has ended. A
// lost link between nodes says nothing of the engine.
func (g *generation) noteEnding(cause error) {
	g.dispatched = true
	if errors.Is(cause, rpc.ErrLinkLost) || !quarantine.IsSuspectRun(g.firstEvent, time.Now()) {
		return
	}
	if listed, known := g.module.tables.Table().ByID[g.runner]; known {
		g.module.guard.RecordBrokenRun(g.request.ID, g.fingerprint, g.runner, listed.Address)
	}
}
