package router

import (
	"errors"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// fingerprint returns the fingerprint of the request's content, which is the same for
// each retry by the caller.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.RequestContent{Tenant: r.Tenant, Method: http.MethodPost, Host: r.Model.Name, URI: r.Surface.String(), Body: r.Body})
}

// checkQuarantine returns an error if the request is held because it crashes engines.
func (g *generation) checkQuarantine() error {
	left, held := g.module.guard.Held(g.fingerprint)
	if !held {
		return nil
	}
	if g.dispatched {
		return g.brokenError(result.New(result.OutcomeUnknown, "engines end under this request (fingerprint %v)", g.fingerprint))
	}
	return result.New(result.Quarantined, "engines end under this request (fingerprint %v)", g.fingerprint).WithRetryAfter(left)
}

// recordBrokenRun counts a lost stream against the request if the engine has ended. A
// lost link between nodes is not counted, since the engine may still run.
func (g *generation) recordBrokenRun(cause error) {
	g.dispatched = true
	if errors.Is(cause, rpc.ErrLinkLost) || !quarantine.IsSuspectRun(g.firstEvent, time.Now()) {
		return
	}
	if listed, known := g.module.tables.Table().ByID[g.runner]; known {
		g.module.guard.RecordBrokenRun(g.request.ID, g.fingerprint, g.runner, listed.Address)
	}
}
