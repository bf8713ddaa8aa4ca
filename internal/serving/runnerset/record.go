package runnerset

import "time"

// Record is a runner as listed by the platform. Each start of a runner creates a new
// record with a new ID.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the runner processes concurrently; 0 if not
	// stated.
	Slots int
	// Leaving is the state when the runner was first listed; see Runner.AcceptsWork for
	// the current one.
	Leaving bool
	// ColdUntil is when the runner reaches full speed.
	ColdUntil time.Time
}

// sameRunner reports whether two records differ only in fields that may change during a
// runner's lifetime.
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
	// Tokens is the length of the whole prompt.
	Tokens int
	// SharedParts are the leading parts, which may be shared with the prompts of other
	// requests.
	SharedParts []PromptPart
}
