// Package fleet defines immutable snapshots of the fleet, which are read for each request:
// the members (View), and the runners with their owners (Runners). It relies on package
// ownership to assign owners. The package does no I/O and holds no state. The module
// fleet.membership of the plain node builds the views, and fleet.runners the runner tables.
package fleet

import (
	"sort"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// View is a snapshot of the members as one node sees them.
type View struct {
	Self *wirev1.MemberRecord
	// Members maps ids to the records of all members, including this node and members that
	// are leaving or dead.
	Members map[string]*wirev1.MemberRecord
	// Rendezvous assigns owners among the members that may own runners: those that are
	// alive or suspect.
	Rendezvous *ownership.Rendezvous
	// Candidates lists the members in Rendezvous, sorted by id.
	Candidates []ownership.Node
}

// NewView returns a view of the members with the given records. self is this node's own
// record, which is also among the records.
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

// IsCandidate reports whether a member may own runners: it is alive or suspect.
func IsCandidate(record *wirev1.MemberRecord) bool {
	return record.State == wirev1.MemberState_MEMBER_STATE_ALIVE || record.State == wirev1.MemberState_MEMBER_STATE_SUSPECT
}

// Address returns the internal address of a member, or "" and false if the member is unknown
// or dead.
func (v *View) Address(id string) (string, bool) {
	record, known := v.Members[id]
	if !known || record.State == wirev1.MemberState_MEMBER_STATE_DEAD {
		return "", false
	}
	return record.Address, true
}

// DiskMembers returns the members with a disk that are not dead, sorted by id.
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
	Owner string // id of the owner; "" if the view has no candidates
}

// Pool describes the runners of one service in one zone that have the same owner and are not
// leaving.
type Pool struct {
	Owner  string // id of the owner
	Zone   string // zone of the runners
	Region string // region of the runners
	// RunnerCount is at least one.
	RunnerCount int
}

// Runners is a table of the listed runners with the owner of each. It is not changed after
// it is built.
type Runners struct {
	ByID map[string]*Runner // by runner id
	// Owned lists the runners that this node owns, sorted by id.
	Owned []*Runner
	// Pools maps each service to its pools, sorted by owner and zone. It has no entry for a
	// service without pools.
	Pools map[string][]Pool

	rendezvous *ownership.Rendezvous
}

// NewRunners returns a table that assigns owners among the candidates of the view to the
// listed runners. It reuses entries of the previous table, which may be nil, for unchanged
// runners in zones whose candidates have not changed.
func NewRunners(view *View, listed []ports.RunnerEntry, previous *Runners) *Runners {
	r := &Runners{ByID: make(map[string]*Runner, len(listed)), Pools: map[string][]Pool{}, rendezvous: view.Rendezvous}
	type poolKey struct{ service, owner, zone string }
	pools := map[poolKey]*Pool{}
	for _, entry := range listed {
		runner := r.assign(entry, previous)
		owner := runner.Owner
		r.ByID[entry.ID] = runner
		if owner == view.Self.Id {
			r.Owned = append(r.Owned, runner)
		}
		if owner == "" || entry.Leaving {
			continue
		}
		key := poolKey{entry.Service, owner, entry.Zone}
		if pools[key] == nil {
			pools[key] = &Pool{Owner: owner, Zone: entry.Zone, Region: entry.Region}
		}
		pools[key].RunnerCount++
	}
	for key, pool := range pools {
		r.Pools[key.service] = append(r.Pools[key.service], *pool)
	}
	r.sort()
	return r
}

// assign returns a listed runner with its owner. It reuses the entry of the previous table if
// neither the listed runner nor the candidates in its zone have changed.
func (r *Runners) assign(entry ports.RunnerEntry, previous *Runners) *Runner {
	if previous != nil {
		known := previous.ByID[entry.ID]
		if known != nil && known.RunnerEntry == entry && r.rendezvous.SameCandidates(previous.rendezvous, entry.Zone) {
			return known
		}
	}
	owner := r.rendezvous.Owner(ownership.Runner{ID: entry.ID, Zone: entry.Zone, Region: entry.Region})
	return &Runner{RunnerEntry: entry, Owner: owner}
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
