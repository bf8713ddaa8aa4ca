package informer

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// registerRetryInterval is the pause after a failed attempt to write the node's record.
// registeredCheckInterval is how often a node checks whether it has to write its record.
const (
	registerRetryInterval   = 500 * time.Millisecond
	registeredCheckInterval = 2 * time.Second
)

// register writes this node's record to the store whenever its incarnation has changed, and when a
// request for its retirement was withdrawn, until the context ends. A node without a disk writes no record.
func (i *Informer) register(ctx context.Context) {
	written := uint64(0)
	for ctx.Err() == nil {
		self := i.Directory.Self()
		if i.retirementWithdrawn.CompareAndSwap(true, false) {
			written = 0
		}
		// Only nodes with a disk have to be found without asking a peer.
		if self.DiskId != "" && self.Incarnation != written && i.writeRecord(ctx, self) {
			written = self.Incarnation
		}
		if self.DiskId == "" || self.Incarnation == written {
			pause.For(ctx, registeredCheckInterval)
		} else {
			pause.For(ctx, registerRetryInterval)
		}
	}
}

// writeRecord writes this node's record, and reports whether it was written. It does not
// write over a record of an earlier run that raises the incarnation of this one. It takes back a
// report that a node of this name has been retired: from now on, this one may hold replicas.
func (i *Informer) writeRecord(ctx context.Context, self *wirev1.NodeRecord) bool {
	key := nodesPrefix + self.NodeId
	existing, _, err := i.Store.Get(ctx, key)
	if err != nil {
		klog.V(1).InfoS("node record could not be read; the write will be retried", "node", self.NodeId, "err", err)
		return false
	}
	stored := &wirev1.NodeRecord{}
	if json.Unmarshal(existing.Value, stored) == nil && stored.NodeId != "" && i.Directory.Put(stored) {
		return false // the record is from an earlier run; Put has raised the incarnation
	}
	encoded, err := json.Marshal(self)
	if err != nil {
		klog.ErrorS(err, "node record could not be encoded", "node", self.NodeId)
		return false
	}
	conditions, puts := []ports.Condition{{Key: key, Revision: existing.Revision}}, []ports.Put{{Key: key, Value: encoded}}
	if condition, put, found, err := i.retiredReportReset(ctx, self.NodeId); err != nil {
		klog.V(1).InfoS("retirement report could not be read; the write will be retried", "node", self.NodeId, "err", err)
		return false
	} else if found {
		klog.InfoS("report of an earlier retirement is taken back", "node", self.NodeId, "incarnation", self.Incarnation)
		conditions, puts = append(conditions, condition), append(puts, put)
	}
	done, err := i.Store.Commit(ctx, conditions, puts)
	klog.InfoS("write of the node record ended", "node", self.NodeId, "incarnation", self.Incarnation, "disk", self.DiskId, "done", done, "err", err)
	return done && err == nil
}

// retiredReportReset returns the write that takes back the report that the retirement of a node is
// complete; found is false if there is no such report.
func (i *Informer) retiredReportReset(ctx context.Context, node string) (condition ports.Condition, put ports.Put, found bool, err error) {
	key := i.Schema.RetirementPrefix + node
	stored, found, err := i.Store.Get(ctx, key)
	if err != nil || !found {
		return condition, put, false, err
	}
	if done, readable := i.Schema.DecodeRetirement(stored.Value); !done || !readable {
		return condition, put, false, nil
	}
	report, err := i.Schema.EncodeRetirement(false)
	return ports.Condition{Key: key, Revision: stored.Revision}, ports.Put{Key: key, Value: report}, err == nil, err
}

// Report implements queuestore.Retirement. It writes the state unless the stored report has
// the same or a later state; done is the later one. It overwrites an unreadable report. It writes
// nothing if the request for the retirement is gone, as a leader may not know yet. A failed read or
// write is logged and not repeated here.
func (i *Informer) Report(ctx context.Context, node string, done bool) {
	key := i.Schema.RetirementPrefix + node
	existing, found, err := i.Store.Get(ctx, key)
	if err != nil {
		klog.V(1).InfoS("retirement report could not be read", "node", node, "err", err)
		return
	}
	if found {
		if reportedDone, readable := i.Schema.DecodeRetirement(existing.Value); readable && (reportedDone == done || reportedDone) {
			return
		}
	}
	requestKey := i.Schema.RetirePrefix + node
	request, requested, err := i.Store.Get(ctx, requestKey)
	if err != nil || !requested {
		klog.InfoS("retirement of a node is not reported: the request is gone or could not be read", "node", node, "state", retirementState(done), "err", err)
		return
	}
	report, err := i.Schema.EncodeRetirement(done)
	if err != nil {
		klog.ErrorS(err, "retirement report could not be encoded", "node", node)
		return
	}
	conditions := []ports.Condition{{Key: key, Revision: existing.Revision}, {Key: requestKey, Revision: request.Revision}}
	written, err := i.Store.Commit(ctx, conditions, []ports.Put{{Key: key, Value: report}})
	klog.InfoS("retirement state of a node reported", "node", node, "state", retirementState(done), "written", written, "err", err)
}

// retirementState returns the name of a retirement's state for the log.
func retirementState(done bool) string {
	if done {
		return "completed"
	}
	return "running"
}
