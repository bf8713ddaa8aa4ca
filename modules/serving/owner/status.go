package owner

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Load returns the load that this node advertises to accepting nodes: the slots and
// streams of its ready runners, for one model or, if the name is empty, for each model.
// Each call returns a higher sequence number than the call before.
func (m *Module) Load(modelName string) *wirev1.LoadDigest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.loadSequence++
	byModel := map[string]*wirev1.ModelLoad{}
	digest := &wirev1.LoadDigest{NodeId: m.settings.Node.ID, Sequence: m.loadSequence}
	for _, r := range m.runners {
		if !r.ready(time.Now()) || (modelName != "" && r.model != modelName) {
			continue
		}
		load := byModel[r.model]
		if load == nil {
			load = &wirev1.ModelLoad{Model: r.model}
			byModel[r.model] = load
			digest.Models = append(digest.Models, load)
		}
		load.Runners++
		load.FreeOnline += uint32(r.arbiter.FreeOnlineSlots())
		load.OnlineRunning += uint32(r.arbiter.Online())
		load.BatchRunning += uint32(r.arbiter.Batch())
	}
	return digest
}

// Status returns the state of each runner for operators, including runners that are no
// longer owned but still have streams.
func (m *Module) Status() []*wirev1.RunnerStatus {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	list := make([]*wirev1.RunnerStatus, 0, len(m.runners))
	for _, r := range m.runners {
		list = append(list, &wirev1.RunnerStatus{
			Id: r.id, Address: r.address, Zone: r.zone, State: r.stateName(now),
			OnlineRunning: uint32(r.arbiter.Online()), BatchRunning: uint32(r.arbiter.Batch()), BatchLimit: uint32(r.arbiter.BatchLimit()),
		})
	}
	return list
}

// Idle reports whether no stream takes a slot on any runner. Streams that are not
// counted, such as some re-attached streams, may still run.
func (m *Module) Idle() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, r := range m.runners {
		if r.arbiter.Online() > 0 || r.arbiter.Batch() > 0 {
			return false
		}
	}
	return true
}
