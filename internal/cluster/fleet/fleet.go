// Package fleet holds the immutable snapshots of who is in the fleet that the
// request path reads: members (View), runners and who owns which runner (Runners).
// It relies on package ownership for owners, does no I/O and keeps nothing: the modules
// of the plain node that make the snapshots own them.
package fleet

import (
	"sort"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// View is one node's view of the members at one time.
type View struct {
	Self    *wirev1.MemberRecord
	Members map[string]*wirev1.MemberRecord
	// Rendezvous holds the members that may own runners: alive or suspect, not
	// leaving.
	Rendezvous *ownership.Rendezvous
	// Candidates are the members in Rendezvous, ordered by id.
	Candidates []ownership.Node
}

// NewView builds a view from member records.
func NewView(self *wirev1.MemberRecord, records []*wirev1.MemberRecord) *View {
	v := &View{Self: self, Members: make(map[string]*wirev1.MemberRecord, len(records))}
	for _, record := range records {
		v.Members[record.Id] = record
		if IsCandidate(record) {
			v.Candidates = append(v.Candidates, ownership.Node{ID: record.Id, Zone: record.Zone, Region: record.Region})
		}
	}
	sort.Slice(v.Candidates, func(i, j int) bool { return v.Candidates[i].ID < v.Candidates[j].ID })
	v.Rendezvous = ownership.NewRendezvous(v.Candidates)
	return v
}

// IsCandidate reports whether a member may be given new ownership.
func IsCandidate(record *wirev1.MemberRecord) bool {
	return record.State == wirev1.MemberState_MEMBER_STATE_ALIVE || record.State == wirev1.MemberState_MEMBER_STATE_SUSPECT
}

// Address returns the internal address of a member that is not dead.
func (v *View) Address(id string) (string, bool) {
	record, known := v.Members[id]
	if !known || record.State == wirev1.MemberState_MEMBER_STATE_DEAD {
		return "", false
	}
	return record.Address, true
}

// DiskMembers returns the live members with a data folder, ordered by id.
func (v *View) DiskMembers() []*wirev1.MemberRecord {
	var members []*wirev1.MemberRecord
	for _, record := range v.Members {
		if record.DiskId != "" && record.State != wirev1.MemberState_MEMBER_STATE_DEAD {
			members = append(members, record)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	return members
}

// Runner is a runner with its owner.
type Runner struct {
	ports.RunnerEntry
	Owner string
}

// Pool is what one owner has of one service.
type Pool struct {
	Owner  string
	Zone   string
	Region string
	// Runners that are not leaving.
	Runners int
}

// Runners is a snapshot of the runner list with owners.
type Runners struct {
	ByID map[string]*Runner
	// Owned are this node's runners, ordered by id.
	Owned []*Runner
	// Pools are, per service, the owners with runners of it, ordered by owner.
	Pools map[string][]Pool

	rendezvous *ownership.Rendezvous
}

// NewRunners assigns owners by the view's place. What the previous table (or
// nil) says of zones whose candidates have not changed is taken over.
func NewRunners(view *View, listed []ports.RunnerEntry, previous *Runners) *Runners {
	r := &Runners{ByID: make(map[string]*Runner, len(listed)), Pools: map[string][]Pool{}, rendezvous: view.Rendezvous}
	type poolKey struct{ service, owner, zone string }
	pools := map[poolKey]*Pool{}
	for _, item := range listed {
		runner := r.assign(item, previous)
		owner := runner.Owner
		r.ByID[item.ID] = runner
		if owner == view.Self.Id {
			r.Owned = append(r.Owned, runner)
		}
		if owner == "" || item.Leaving {
			continue
		}
		key := poolKey{item.Service, owner, item.Zone}
		if pools[key] == nil {
			pools[key] = &Pool{Owner: owner, Zone: item.Zone, Region: item.Region}
		}
		pools[key].Runners++
	}
	for key, pool := range pools {
		r.Pools[key.service] = append(r.Pools[key.service], *pool)
	}
	r.sort()
	return r
}

func (r *Runners) assign(item ports.RunnerEntry, previous *Runners) *Runner {
	if previous != nil {
		known := previous.ByID[item.ID]
		if known != nil && known.RunnerEntry == item && r.rendezvous.SameCandidates(previous.rendezvous, item.Zone) {
			return known
		}
	}
	owner := r.rendezvous.Owner(ownership.Runner{ID: item.ID, Zone: item.Zone, Region: item.Region})
	return &Runner{RunnerEntry: item, Owner: owner}
}

func (r *Runners) sort() {
	sort.Slice(r.Owned, func(i, j int) bool { return r.Owned[i].ID < r.Owned[j].ID })
	for _, pools := range r.Pools {
		sort.Slice(pools, func(i, j int) bool {
			if pools[i].Owner != pools[j].Owner {
				return pools[i].Owner < pools[j].Owner
			}
			return pools[i].Zone < pools[j].Zone
		})
	}
}
