package runnerset

import "time"

// Record is a runner as listed by the platform. Each start of a runner creates a new
// record with a new ID. A Runner keeps the record with which it was first listed.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the runner processes concurrently; 0 if not
	// stated.
	Slots int
	// Leaving is set if the runner must get no new requests. In the record of a Runner,
	// it may be outdated; see Runner.AcceptsWork.
	Leaving bool
	// ColdUntil is when the runner reaches full speed; a time in the past if it already
	// has.
	ColdUntil time.Time
	// StartedAt is when the runner's process started, in Unix milliseconds by its own
	// clock; 0 if not stated. It distinguishes the starts of a runner that keeps its ID.
	StartedAt int64
}

// sameRunner reports whether two records with the same ID differ only in fields that may
// change during a runner's lifetime: Leaving and ColdUntil.
func (r Record) sameRunner(other Record) bool {
	return r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone && r.Slots == other.Slots
}

// PromptPart is a part of a prompt; parts with equal IDs have equal text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt describes a request's prompt.
type Prompt struct {
	// Tokens is the number of tokens of the whole prompt; 0 if unknown.
	Tokens int
	// SharedParts are the leading parts of the prompt, in their order, which the prompts
	// of other requests may share. They need not cover the whole prompt.
	SharedParts []PromptPart
}
