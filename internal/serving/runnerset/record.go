package runnerset

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// Record is a runner as listed by the platform. A runner that starts again is listed with
// a new ID, or with the same ID and another StartedAt. A Runner keeps the record with
// which it was first listed.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of the runner's software; empty if not stated.
	Version string
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

// sameRunner reports whether next, a later record with the same ID, differs from r only in
// ways that are possible during a runner's lifetime: in Leaving and ColdUntil, and in that
// it no longer states StartedAt.
func (r Record) sameRunner(next Record) bool {
	sameStart := next.StartedAt == 0 || next.StartedAt == r.StartedAt
	return sameStart && r.Version == next.Version && r.Address == next.Address && r.Service == next.Service && r.Zone == next.Zone && r.Slots == next.Slots
}

// SoftwareVersion identifies the version of the runner's software. A runner that states none
// has a version of its own, since its version may differ from that of any other runner.
func (r *Record) SoftwareVersion() string {
	if r.Version == "" {
		return unstatedVersion + r.StartID()
	}
	return r.Version
}

// unstatedVersion begins the version of a runner that states none.
const unstatedVersion = "unstated "

// StartID identifies one start of the runner. It is the ID alone if the start is not
// stated.
func (r *Record) StartID() string {
	if r.StartedAt == 0 {
		return r.ID
	}
	return r.ID + startSeparator + strconv.FormatInt(r.StartedAt, 10)
}

// startSeparator separates the ID and the start time in a StartID. IDs do not contain it.
const startSeparator = "@"

// PromptPart is a part of a prompt; parts with equal IDs have equal text.
type PromptPart struct {
	ID     uint64
	Tokens int
	// Name is the caller's name of the part, which may be truncated, for logs; empty if
	// unknown.
	Name string
}

// Prompt describes a request's prompt.
type Prompt struct {
	// Tokens is the number of tokens of the whole prompt; 0 if unknown.
	Tokens int
	// Output is the expected number of output tokens; 0 if unknown.
	Output int
	// SharedParts are the leading parts of the prompt, in their order, which the prompts
	// of other requests may share. They need not cover the whole prompt.
	SharedParts []PromptPart
}

// maxLoggedParts is the number of parts of a prompt that a log line names.
const maxLoggedParts = 8

// PartNames returns the names of the first shared parts, for logs. A part without a name is
// represented by its ID.
func (p *Prompt) PartNames() string {
	var names []string
	for _, part := range p.SharedParts[:min(len(p.SharedParts), maxLoggedParts)] {
		names = append(names, cmp.Or(part.Name, strconv.FormatUint(part.ID, 16)))
	}
	return strings.Join(names, ",")
}
