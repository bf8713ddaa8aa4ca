package runnerset

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// Latency is the latency model of a service, as a function of the requests at its runners.
type Latency struct {
	// Idle is the expected time to the first event at a runner without requests, and
	// PerRequest its increase for each running request there.
	Idle, PerRequest time.Duration
	// SlotWait is the expected wait for a slot if one request for each slot has to end
	// first.
	SlotWait time.Duration
	// Preemption is the time to free the slot of a batch item.
	Preemption time.Duration
	// Crossing is the cost of sending a request without a body to another zone.
	Crossing time.Duration
}

// latencyReference is the number of running requests from which Latency.PerRequest is
// computed.
const latencyReference = 8

// Latency returns the latency model of a service.
func (s *Set) Latency(service string) Latency {
	s.mutex.Lock()
	model := s.modelOf(service)
	s.mutex.Unlock()
	idle := max(0, model.ExpectedFirstEvent(enginemodel.EngineLoad{}))
	busy := model.ExpectedFirstEvent(enginemodel.EngineLoad{Running: latencyReference})
	return Latency{
		Idle: idle, PerRequest: max(0, busy-idle) / latencyReference,
		SlotWait: model.ExpectedWait(1), Preemption: preemptionTime, Crossing: otherZoneCost + unreportedCost,
	}
}
