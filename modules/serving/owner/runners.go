package owner

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/arbiter"
	"cobaltramp.example/cobaltramp/internal/serving/health"
)

// runner is the state of an owned runner. A runner that is no longer owned is removed by
// the first refresh that finds it without streams.
type runner struct {
	id      string
	address string
	zone    string
	model   string // name of the model that the runner should serve, from the bundle
	leaving bool
	// leavingSince is the time when this node first saw the runner listed as leaving.
	leavingSince time.Time
	owned        bool
	arbiter      *arbiter.Arbiter
	health       health.Failures
	// cancels contains, for each counted batch stream, the function that preempts it;
	// nil for a stream that must not be preempted.
	cancels map[arbiter.BatchStream]context.CancelCauseFunc
	// movable contains the running online streams that may be continued on another
	// runner.
	movable map[*streamWatchdog]struct{}
	orders  orderState
}

// ready reports whether the runner accepts new streams, apart from its limits.
func (r *runner) ready(now time.Time) bool {
	return r.owned && !r.leaving && r.orders.loaded && !r.health.EjectedUntil().After(now)
}

// stateName returns the state that Status reports.
func (r *runner) stateName(now time.Time) string {
	switch {
	case !r.owned:
		return "handed over"
	case r.leaving:
		return "leaving"
	case r.health.EjectedUntil().After(now):
		return "set aside"
	case !r.orders.loaded:
		return "loading"
	default:
		return "ready"
	}
}

// refresh updates the owned runners from the runner table and the bundle. A runner that
// is no longer owned, or whose service has no model in the bundle, keeps its running
// streams and gets no new ones.
func (m *Module) refresh() {
	table, snapshot := m.runnerTables.Table(), m.snapshots.Snapshot()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, r := range m.runners {
		r.owned = false
	}
	if snapshot != nil {
		models := modelsByService(snapshot)
		for _, listed := range table.Owned {
			m.refreshRunner(listed, models[listed.Service], snapshot)
		}
	}
	for id, r := range m.runners {
		if !r.owned && r.arbiter.Online() == 0 && r.arbiter.Batch() == 0 {
			delete(m.runners, id)
		}
	}
}

// modelsByService returns the models of a bundle by the service of their runners.
func modelsByService(snapshot *bundle.Snapshot) map[string]*bundle.CompiledModel {
	models := map[string]*bundle.CompiledModel{}
	for name, model := range snapshot.Models {
		if name == model.Name { // not an adapter
			models[model.Service] = model
		}
	}
	return models
}

// refreshRunner updates or adds one owned runner. It does nothing if the runner's service
// has no model. The caller holds the mutex.
func (m *Module) refreshRunner(listed *fleet.Runner, model *bundle.CompiledModel, snapshot *bundle.Snapshot) {
	if model == nil {
		return
	}
	config := arbiterConfig(model, snapshot)
	r := m.runners[listed.ID]
	if r == nil {
		r = &runner{id: listed.ID, arbiter: arbiter.New(config, time.Now()), cancels: map[arbiter.BatchStream]context.CancelCauseFunc{}, movable: map[*streamWatchdog]struct{}{}}
		m.runners[listed.ID] = r
		select {
		case m.acquired <- struct{}{}:
		default:
		}
	}
	r.arbiter.Configure(config)
	if r.address != listed.Address {
		r.health = health.Failures{}
	}
	r.address, r.zone, r.leaving, r.owned = listed.Address, listed.Zone, listed.Leaving, true
	if !r.leaving {
		r.leavingSince = time.Time{}
	} else if r.leavingSince.IsZero() {
		r.leavingSince = time.Now()
	}
	r.model = model.Name
	r.orders.setTarget(model, snapshot.Generation)
}

var arbiterModes = map[string]arbiter.Mode{
	bundle.BatchManaged: arbiter.Managed, bundle.BatchStatic: arbiter.Static,
	bundle.BatchPriorityOnly: arbiter.PriorityOnly, bundle.BatchOff: arbiter.Off,
}

func arbiterConfig(model *bundle.CompiledModel, snapshot *bundle.Snapshot) arbiter.RunnerPolicy {
	return arbiter.RunnerPolicy{
		Mode: arbiterModes[snapshot.Policy.Batch.Mode], StaticSlots: snapshot.Policy.Batch.StaticSlots,
		Slots: model.Slots, ReserveSlots: snapshot.Policy.Batch.ReserveSlots,
		FirstToken: model.FirstTokenTarget.Std(), InterToken: model.InterTokenTarget.Std(),
		TailWeight: snapshot.Policy.Batch.TailWeight,
	}
}

// defaultDrainTimeout applies until a bundle has been loaded.
const defaultDrainTimeout = 30 * time.Second

// drainTimeout returns how long streams may continue on a leaving runner.
func (m *Module) drainTimeout() time.Duration {
	if snapshot := m.snapshots.Snapshot(); snapshot != nil {
		return snapshot.Policy.DrainTimeout.Std()
	}
	return defaultDrainTimeout
}

// evictStreams ends the streams that still run on a leaving runner after the drain
// timeout: it preempts batch items, and ends online streams with an error with which the
// accepting node continues them on another runner. Work that must not run twice, and
// re-attached streams, keep running. The caller holds the mutex.
func (m *Module) evictStreams(r *runner) {
	for stream, cancel := range r.cancels {
		if cancel != nil {
			cancel(errPreempted)
			delete(r.cancels, stream)
			r.arbiter.BatchDone(stream)
		}
	}
	for watchdog := range r.movable {
		watchdog.cancel(errMoved)
		delete(r.movable, watchdog)
	}
}

// preempt cancels batch streams that the arbiter has removed. A stream that must not be
// preempted keeps running, but is no longer counted. The caller holds the mutex.
func (m *Module) preempt(r *runner, streams []arbiter.BatchStream) {
	for _, stream := range streams {
		if cancel := r.cancels[stream]; cancel != nil {
			cancel(errPreempted)
		}
		delete(r.cancels, stream)
		m.metrics.preempted.Inc()
	}
}
