package replica

import (
	"sort"
	"time"
)

// A commit needs a write quorum, not every member. A leader that may let
// members trail sends entries at once to as many as a commit needs and only
// heartbeats to the rest: most entries are of jobs that are finished, and so
// need not be sent at all, before a trailing member is needed.
//
// Promises do not rest on who trails: a commit is a write quorum on disk, and
// an election finds a member that has all of it. What trailing must not do is
// keep the number of whole copies low after one is lost. So a member that falls
// silent is replaced by one that trails within a few heartbeats, whether or not
// anything is proposed, and everybody is sent everything while a commit does
// not come, while the member set changes, and beyond a bound of bytes.

// silentHeartbeats without an answer make a leader send to another member. A
// member answers once it has synced, so one with a stuck disk is silent too.
const silentHeartbeats = 3

// trailing is what a leader knows of who may trail.
type trailing struct {
	// bytes is the most that a member may lack; 0 lets none trail.
	bytes int
	// everybody: the member set is being changed.
	everybody bool
}

// SetTrail lets members that no commit needs lack up to a number of bytes.
func (r *Replica) SetTrail(bytes int) { r.trail.bytes = bytes }

// SendToAll says that every member is needed whole, as before a change of the
// member set, or no longer.
func (r *Replica) SendToAll(now time.Time, everybody bool) {
	r.trail.everybody = everybody
	r.chooseTrailing(now)
}

// noteProposed counts what trailing members are not sent.
func (r *Replica) noteProposed(commands [][]byte) {
	size := 0
	for _, command := range commands {
		size += len(command)
	}
	for _, p := range r.progress {
		if p.trails {
			p.lacks += size
		}
	}
}

// chooseTrailing decides which members trail, and sends to those that no longer
// do what they lack.
func (r *Replica) chooseTrailing(now time.Time) {
	if r.role != Leader || r.trail.bytes == 0 {
		return
	}
	needed := r.neededNow(now)
	for _, member := range r.followers() {
		p := r.progress[member]
		p.behind = p.lacks > r.trail.bytes || p.behind && !r.whole(p)
		trails := !needed[member] && !p.behind
		resumes := p.trails && !trails
		p.trails = trails
		if resumes {
			p.lacks = 0
			r.sendAppend(member, p, now, false)
		}
	}
}

// whole reports whether a member has all but what is on its way.
func (r *Replica) whole(p *progress) bool {
	const onItsWay = 64
	return p.confirmed && p.match+onItsWay >= r.lastIndex()
}

// neededNow names the followers that are sent everything.
func (r *Replica) neededNow(now time.Time) map[string]bool {
	needed := map[string]bool{}
	answering := r.answering(now)
	quorum := r.config.WriteQuorum() - 1
	if r.trail.everybody || r.hard.Frozen || len(r.learners) > 0 || len(answering) < quorum {
		for _, member := range r.followers() {
			needed[member] = true
		}
		return needed
	}
	for _, member := range answering[:quorum] {
		needed[member] = true
	}
	return needed
}

// answering lists the members that answer: first those that are whole, then
// those that are sent everything, then those that have the most.
func (r *Replica) answering(now time.Time) []string {
	var list []string
	for _, member := range r.config.Members {
		p := r.progress[member]
		if p != nil && p.answered && now.Sub(p.heardAt) <= silentHeartbeats*r.timing.Heartbeat {
			list = append(list, member)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := r.progress[list[i]], r.progress[list[j]]
		if r.whole(a) != r.whole(b) {
			return r.whole(a)
		}
		if a.trails != b.trails {
			return !a.trails
		}
		return a.match > b.match
	})
	return list
}
