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

// checkQuarantine returns an error if the request is held because it crashes engines:
// Quarantined if no attempt has run, and otherwise the error of a broken response.
func (g *generation) checkQuarantine() error {
	refusal, held := g.module.guard.Held(g.work)
	if !held {
		return nil
	}
	if g.mayHaveRun {
		return g.brokenError(result.New(result.OutcomeUnknown, "%v", refusal))
	}
	return result.New(result.Quarantined, "%v", refusal).WithRetryAfter(refusal.Remaining)
}

// recordBrokenRun records that the request may have run, and reports the lost stream to the
// quarantine, which counts it against the request if its engine has ended. It does not report a
// lost link between nodes, since that says nothing about the engine.
func (g *generation) recordBrokenRun(cause error) {
	g.mayHaveRun = true
	if errors.Is(cause, rpc.ErrLinkLost) {
		return
	}
	if listed, known := g.module.runnerTables.Table().ByID[g.runner]; known {
		g.module.guard.RecordBrokenRun(g.work, g.quarantineRun(listed.Address))
	}
}

// quarantineRun describes the current run to the quarantine.
func (g *generation) quarantineRun(address string) quarantine.Run {
	return quarantine.Run{Start: g.runner, Address: address, Began: g.began, FirstEvent: g.firstEvent}
}

// recordSurvival reports to the quarantine, once for each attempt, that the engine has gone on
// after the time in which requests crash engines.
func (g *generation) recordSurvival() {
	if g.survived || quarantine.IsSuspectRun(g.firstEvent, time.Now()) {
		return
	}
	g.survived = true
	g.module.guard.RecordSurvival(g.work, g.quarantineRun(""))
}
