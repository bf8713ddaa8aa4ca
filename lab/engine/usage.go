package engine

import "time"

// Usage counts the slot time and tokens that an engine spent on online and on batch
// requests, and the time that it was busy.
type Usage struct {
	OnlineSlotSeconds float64
	BatchSlotSeconds  float64
	OnlineTokens      int
	BatchTokens       int
	BusySeconds       float64
}

// Requests with a priority value of batchPriority or more count as batch requests.
const batchPriority = 10

// recordStep adds a step of a duration to the usage.
func (s *scheduler) recordStep(duration time.Duration) {
	seconds := duration.Seconds()
	s.usage.BusySeconds += seconds
	for _, item := range s.running {
		if item.priority >= batchPriority {
			s.usage.BatchSlotSeconds += seconds
			continue
		}
		s.usage.OnlineSlotSeconds += seconds
	}
}

// countToken adds a token of a sequence to the usage.
func (s *scheduler) countToken(item *sequence) {
	if item.priority >= batchPriority {
		s.usage.BatchTokens++
		return
	}
	s.usage.OnlineTokens++
}

// Usage returns the usage since the engine was last started.
func (e *Engine) Usage() Usage {
	scheduler, _ := e.current()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.usage
}

// Accepted returns the number of requests that the engine has accepted since it was last
// started.
func (e *Engine) Accepted() uint64 {
	scheduler, _ := e.current()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.arrivals
}

// Running returns the numbers of online and batch sequences in the batch.
func (e *Engine) Running() (online, batch int) {
	scheduler, _ := e.current()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for _, item := range scheduler.running {
		if item.priority >= batchPriority {
			batch++
		} else {
			online++
		}
	}
	return online, batch
}
