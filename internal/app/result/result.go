// Package result defines the result codes that callers, operators and nodes see, and the
// error type that carries a code.
//
// The table states for each code the HTTP status, whether the work was run, and whether a
// request may safely be sent again. A code states "not run" only if this is certain wherever
// the code is used; see docs/design/at-most-once.md.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is the number of a result. Numbers are stable and never reused.
type Code uint32

// Ran tells whether the work of a request was run.
type Ran uint8

// Values of Ran.
const (
	// RanNo means that the work certainly was not run: no byte of it reached a model engine,
	// or the engine itself refused it.
	RanNo Ran = iota
	// RanYes means that the work was run, possibly only in part.
	RanYes
	// RanUnknown means that the work may or may not have been run.
	RanUnknown
)

// String returns the word that is sent on the wire: "no", "yes" or "unknown".
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Result codes. The ranges are 1100 for errors in the request, 1200 for temporary refusals,
// 1300 for failures during or after the run, 1400 for batch and storage, 1500 for calls
// between nodes, 1600 for configuration, and 1900 for defects.
const (
	OK Code = 0

	InvalidRequest   Code = 1101
	Unauthenticated  Code = 1102
	UnknownModel     Code = 1103
	BodyTooLarge     Code = 1104
	KeyRequired      Code = 1105
	KeyReused        Code = 1106
	NotFound         Code = 1107
	Forbidden        Code = 1108
	MethodNotAllowed Code = 1109

	TenantRate        Code = 1201
	TenantConcurrency Code = 1202
	TenantTokens      Code = 1203
	Saturated         Code = 1204
	Draining          Code = 1205
	NoRunner          Code = 1206
	DeadlineTooClose  Code = 1207
	NotReady          Code = 1208
	EngineRefused     Code = 1209
	Quarantined       Code = 1210
	StreamNotResumed  Code = 1211

	OutcomeUnknown   Code = 1301
	EngineFailed     Code = 1302
	StreamBroken     Code = 1303
	DeadlineExceeded Code = 1304
	InProgress       Code = 1305
	CallerGone       Code = 1306
	EngineRejected   Code = 1307
	Preempted        Code = 1308
	RunnerLost       Code = 1309

	StoreUnavailable Code = 1401
	HomeUnreachable  Code = 1402
	ItemCancelled    Code = 1403
	ItemExpired      Code = 1404
	StoreFull        Code = 1405
	AttemptsSpent    Code = 1406
	JobConflict      Code = 1407
	CommitUnknown    Code = 1408

	NotLeader       Code = 1501
	PeerUnreachable Code = 1502
	NotOwner        Code = 1503
	StaleEpoch      Code = 1504

	BundleInvalid       Code = 1601
	SignatureInvalid    Code = 1602
	GenerationConflict  Code = 1603
	PlatformUnavailable Code = 1604
	SubmissionUnknown   Code = 1605

	Internal Code = 1901
)

// Entry is the table's row for a code.
type Entry struct {
	Code       Code
	Name       string
	HTTPStatus int
	Ran        Ran
	// ResendSafe is true if sending the same request again cannot run the work twice.
	ResendSafe bool
	// Operator tells an operator what to do if the code occurs often.
	Operator string
}

var table = []Entry{
	{OK, "ok", 200, RanYes, true, "Nothing."},
	{InvalidRequest, "invalid_request", 400, RanNo, true, "Tell the caller which field; the message names it."},
	{Unauthenticated, "unauthenticated", 401, RanNo, true, "Check the tenant's keys in the bundle or configuration in force; the line tells the version held and how old its word is."},
	{UnknownModel, "unknown_model", 404, RanNo, true, "Check the models of the bundle in force (`bundle status`)."},
	{BodyTooLarge, "body_too_large", 413, RanNo, true, "Raise `limits.body_bytes` in the settings if the size is legitimate."},
	{KeyRequired, "idempotency_key_required", 400, RanNo, true, "The caller must send Idempotency-Key with work of class once."},
	{KeyReused, "idempotency_key_reused", 422, RanNo, true, "The caller used one key for two different requests."},
	{NotFound, "not_found", 404, RanNo, true, "The id is wrong, of another tenant, or past its retention."},
	{Forbidden, "forbidden", 403, RanNo, true, "The tenant may not do this; see its document in the bundle."},
	{MethodNotAllowed, "method_not_allowed", 405, RanNo, true, "The caller used a path or method that does not exist."},
	{TenantRate, "tenant_rate_limited", 429, RanNo, true, "Raise the tenant's rate if intended; lines of the edge and of the keeper tell what was lent and spent."},
	{TenantConcurrency, "tenant_concurrency_limited", 429, RanNo, true, "Raise concurrent of the tenant if intended."},
	{TenantTokens, "tenant_tokens_limited", 429, RanNo, true, "Raise tokens_per_minute of the tenant if intended."},
	{Saturated, "saturated", 503, RanNo, true, "Online demand exceeds the runners: add runners or lower limits; callers are told when there should be room."},
	{Draining, "draining", 503, RanNo, true, "The node is stopping; callers go to another node."},
	{NoRunner, "no_runner", 503, RanNo, true, "No runner of the model is ready: see `status` and the machine list."},
	{DeadlineTooClose, "deadline_too_close", 504, RanNo, true, "The caller's deadline passed before dispatch."},
	{NotReady, "not_ready", 503, RanNo, true, "The node has no bundle in force yet: see the platform's health."},
	{EngineRefused, "engine_refused", 503, RanNo, true, "The engine refused before running; see its own logs."},
	{Quarantined, "quarantined", 503, RanNo, true, "Runners ended under this request (path, caller and body), or under requests with a part of its prompt: see their logs; `cobaltramp quarantine` lists and lifts holds."},
	{StreamNotResumed, "stream_not_resumed", 503, RanNo, true, "A caller's stream could not go on: its software version is unknown, or no runner of it is left; `explain` shows where it began and who knew it."},
	{OutcomeUnknown, "outcome_unknown", 502, RanUnknown, false, "The runner was lost after dispatch; resend only repeatable work."},
	{EngineFailed, "engine_failed", 502, RanYes, false, "The engine reported a failure while running; see its logs."},
	{StreamBroken, "stream_broken", 502, RanUnknown, false, "An answer could not be continued after a lost runner."},
	{DeadlineExceeded, "deadline_exceeded", 504, RanUnknown, false, "The deadline passed while running: look at the tail."},
	{InProgress, "in_progress", 409, RanUnknown, true, "The same key is running now; ask again after Retry-After."},
	{CallerGone, "caller_gone", 499, RanUnknown, false, "The caller hung up; nothing to do."},
	{EngineRejected, "engine_rejected", 400, RanNo, true, "The engine found the request invalid; its message is passed on."},
	{Preempted, "preempted", 503, RanYes, true, "Internal: batch work gave its slot back and was requeued."},
	{RunnerLost, "runner_lost", 502, RanUnknown, false, "Internal: a stream lost its runner and may be resumed."},
	{StoreUnavailable, "store_unavailable", 503, RanNo, true, "Fewer than three disk nodes answer: see the batch recovery page."},
	{HomeUnreachable, "home_unreachable", 503, RanNo, true, "The tenant's home region cannot be reached from here."},
	{ItemCancelled, "item_cancelled", 409, RanUnknown, true, "The job was cancelled before the item completed."},
	{ItemExpired, "item_expired", 504, RanUnknown, true, "The job's window ended before the item completed."},
	{StoreFull, "store_full", 507, RanNo, true, "Free space under the data folder or shorten retention."},
	{AttemptsSpent, "attempts_spent", 502, RanUnknown, true, "The item failed on every attempt; see its last error."},
	{JobConflict, "job_conflict", 409, RanNo, true, "The job is not in a state that allows this."},
	{CommitUnknown, "commit_unknown", 503, RanUnknown, true, "The store did not confirm in time; resend with the same key."},
	{NotLeader, "not_leader", 503, RanNo, true, "Internal: the shard's leader moved; nodes retry by themselves. The message says why the member does not serve; if it lasts, `cobaltramp shard` shows all members."},
	{PeerUnreachable, "peer_unreachable", 503, RanNo, true, "Internal: a node could not be dialled."},
	{NotOwner, "not_owner", 503, RanNo, true, "Internal: runner ownership moved; nodes retry by themselves."},
	{StaleEpoch, "stale_epoch", 503, RanNo, true, "Internal: a fenced writer was refused."},
	{BundleInvalid, "bundle_invalid", 400, RanNo, true, "The message names the document, the field and what is allowed."},
	{SignatureInvalid, "signature_invalid", 403, RanNo, true, "Sign with keys named in the bundle in force, up to its threshold."},
	{GenerationConflict, "generation_conflict", 409, RanNo, true, "Another bundle was accepted first: rebase and submit again."},
	{PlatformUnavailable, "platform_unavailable", 503, RanNo, true, "The platform's key-value service is down; all in force stays."},
	{SubmissionUnknown, "submission_unknown", 504, RanUnknown, true, "Ask `bundle status --operation ID`; submitting again is safe."},
	{Internal, "internal", 500, RanUnknown, false, "A defect: report it with the log line that names the request."},
}

var byCode = indexTable()

func indexTable() map[Code]Entry {
	index := make(map[Code]Entry, len(table))
	for _, entry := range table {
		index[entry.Code] = entry
	}
	return index
}

// Entry returns the row of the code, or the row of Internal if the code is unknown.
func (c Code) Entry() Entry {
	if entry, found := byCode[c]; found {
		return entry
	}
	return byCode[Internal]
}

// String returns the name of the code.
func (c Code) String() string { return c.Entry().Name }

// Error is an error with a result code other than OK.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the delay after which the caller should retry; 0 if none is suggested.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint32(e.Code), e.Message)
}

// New returns an Error with a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay after which the caller should retry, and returns the error.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	e.RetryAfter = delay
	return e
}

// FromError returns the Error in the chain of err. It converts any other error to an Error
// with the code Internal, and nil to nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// CodeOf returns the result code of err; OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return FromError(err).Code
}

// Is reports whether err is an error with the given result code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }
