package runnerset

import (
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// This file estimates whether the requests at a runner fit into its memory. The estimate
// is a lower bound: it contains this node's requests and the unread prompt tokens that
// other nodes report. It is used for runners that state their start.

const (
	// outputWeight is the weight of a new sample of the output of requests.
	outputWeight = 0.05
	// minOutputEvents is the number of events from which a response is a sample of the
	// output: a response that is not a stream has one event.
	minOutputEvents = 2
)

// outputMeans are the moving averages of the number of events in the responses of each
// service. It is safe for concurrent use.
type outputMeans struct {
	mutex sync.Mutex
	means map[outputKind]float64
}

// outputKind separates batch items from online requests, whose outputs differ in length.
type outputKind struct {
	service string
	batch   bool
}

// observe adds the number of events in a response. Responses that broke off count too, so
// that the mean is rather too low.
func (m *outputMeans) observe(kind outputKind, events int64) {
	if events < minOutputEvents {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	mean, known := m.means[kind]
	if !known {
		m.means[kind] = float64(events)
		return
	}
	m.means[kind] = mean + outputWeight*(float64(events)-mean)
}

// expected returns the expected number of output tokens; 0 without a sample.
func (m *outputMeans) expected(kind outputKind) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return int(m.means[kind])
}

// SetMemory sets the function that returns the memory of a service's runners in tokens; 0
// if unknown. Without this function, no memory is known.
func (s *Set) SetMemory(memory func(service string) int) { s.memory.Store(&memory) }

// memoryOf returns the memory of a service's runners in tokens; 0 if unknown.
func (s *Set) memoryOf(service string) int {
	if memory := s.memory.Load(); memory != nil {
		return (*memory)(service)
	}
	return 0
}

// memoryTokens returns the memory that a request needs: its prompt and its expected output,
// and at most the memory of a runner, since callers may state any length.
func (s *Set) memoryTokens(service string, prompt Prompt, batch bool) int {
	output := prompt.Output
	if output == 0 {
		output = s.outputs.expected(outputKind{service, batch})
	}
	if memory := s.memoryOf(service); memory > 0 {
		return min(prompt.Tokens+output, memory)
	}
	return prompt.Tokens + output
}

// memoryWait returns the expected delay of a request that may not fit into the runner's
// memory; 0 if it fits or the memory is unknown. The caller holds the mutex.
func (r *Runner) memoryWait(criteria *Criteria, current load) time.Duration {
	if r.StartedAt == 0 || r.ownTokens == 0 && current.unread == 0 {
		return 0
	}
	peersUnread := max(0, current.unread-float64(r.own.Unread))
	needed := float64(r.ownTokens+r.set.memoryTokens(r.Service, criteria.Prompt, criteria.Batch != nil)) + peersUnread
	ahead := waitForMemory(needed, float64(r.set.memoryOf(r.Service)), r.slots())
	if ahead == 0 {
		return 0
	}
	uncached := float64(r.prefixes.uncached(criteria.Prompt))
	return r.model.ExpectedWait(ahead) + r.model.ExpectedFirstEvent(enginemodel.EngineLoad{Tokens: uncached})
}

// waitForMemory returns how many requests have to end until the needed tokens fit into the
// memory, divided by the number of slots; 0 if they fit or the memory is unknown (0). A
// runner preempts its newest request if its memory is full, and processes the prompt again
// when at least one request has ended.
func waitForMemory(needed, memory, slots float64) float64 {
	if memory <= 0 || needed <= memory {
		return 0
	}
	return max(1/slots, (needed-memory)/memory)
}
