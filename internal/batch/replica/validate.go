package replica

import (
	"github.com/gravitational/trace"
)

const (
	// maxMembers is the largest number of members of a usable member set.
	maxMembers = 64
	// maxGeneration is the largest generation, and the largest attempt, of a usable member set.
	// Successors of an absurd number would overflow.
	maxGeneration = 1 << 48
)

// Validate returns an error if no shard can work with the member set.
func (m MemberSet) Validate() error {
	switch {
	case m.Generation == 0 || m.Generation > maxGeneration:
		return trace.BadParameter("the generation is %d", m.Generation)
	case m.Attempt > maxGeneration:
		return trace.BadParameter("the attempt is %d", m.Attempt)
	case m.Copies < 0:
		return trace.BadParameter("the number of copies is %d", m.Copies)
	case len(m.Members) == 0 || len(m.Members) > maxMembers:
		return trace.BadParameter("there are %d members", len(m.Members))
	}
	seen := make(map[string]bool, len(m.Members))
	for _, member := range m.Members {
		if member == "" || seen[member] {
			return trace.BadParameter("member %.80q is empty or listed twice", member)
		}
		seen[member] = true
	}
	return nil
}
