package runnerset

import "time"

// Record is a runner as the platform lists it. Each start of a runner is a new
// record with a new ID.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is how many requests the runner works on at once; 0 if not stated.
	Slots int
	// Leaving, as it was when the runner was first listed; see Runner.AcceptsWork.
	Leaving bool
	// ColdUntil is when the runner is at full speed.
	ColdUntil time.Time
}

// sameRunner reports whether two records differ at most in what changes while a
// runner lives.
func (r Record) sameRunner(other Record) bool {
	return r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone && r.Slots == other.Slots
}

// PromptPart is a part of a prompt; equal ids stand for equal text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt is what is known of a request's prompt.
type Prompt struct {
	// Tokens of the whole prompt.
	Tokens int
	// SharedParts are the leading parts that other requests may have as well.
	SharedParts []PromptPart
}
