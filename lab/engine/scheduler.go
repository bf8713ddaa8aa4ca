package engine

import (
	"sort"
	"sync"
	"time"
)

// scheduler does the continuous batching of an engine: each step prefills at most
// ChunkTokens prompt tokens and decodes one token of each sequence past its prefill.
type scheduler struct {
	parameters Parameters
	clock      func() time.Time

	mutex        sync.Mutex
	waiting      []*sequence
	running      []*sequence
	byID         map[string]*sequence
	arrivals     uint64
	slowFactor   float64
	stalledUntil time.Time // no step starts before this time
	wake         chan struct{}
	cache        *prefixCache
	usage        Usage
}

func newScheduler(parameters Parameters) *scheduler {
	return &scheduler{
		parameters: parameters, clock: time.Now, byID: map[string]*sequence{}, slowFactor: 1,
		wake: make(chan struct{}, 1), cache: newPrefixCache(parameters.CacheBlocks),
	}
}

// submit queues a sequence by priority and arrival; it reports false if the queue is
// full.
func (s *scheduler) submit(added *sequence) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) >= s.parameters.QueueLimit {
		return false
	}
	s.arrivals++
	added.arrival = s.arrivals
	s.waiting = append(s.waiting, added)
	sort.SliceStable(s.waiting, func(i, j int) bool {
		if s.waiting[i].priority != s.waiting[j].priority {
			return s.waiting[i].priority < s.waiting[j].priority
		}
		return s.waiting[i].arrival < s.waiting[j].arrival
	})
	s.byID[added.id] = added
	s.notify()
	return true
}

// notify wakes the idle run loop.
func (s *scheduler) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *scheduler) find(id string) *sequence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id]
}

// cancel cancels a sequence; it reports false if the sequence is unknown or had already
// ended.
func (s *scheduler) cancel(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.byID[id]
	if target == nil {
		return false
	}
	s.waiting = removeSequence(s.waiting, target)
	s.running = removeSequence(s.running, target)
	ended := false
	now := s.clock()
	target.advance(func() {
		if target.phase != phaseFinished && target.phase != phaseCancelled {
			target.phase = phaseCancelled
			target.ended = now
			ended = true
		}
	})
	return ended
}

// removeSequence removes the target from the list in place.
func removeSequence(list []*sequence, target *sequence) []*sequence {
	remaining := list[:0]
	for _, item := range list {
		if item != target {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// run executes steps until stop is closed.
func (s *scheduler) run(stop <-chan struct{}) {
	for {
		pause := s.step()
		if pause == 0 {
			select {
			case <-stop:
				return
			case <-s.wake:
			case <-time.After(idlePollInterval):
			}
			continue
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s.completeStep()
	}
}

// idlePollInterval is the longest time between two checks for work.
const idlePollInterval = 50 * time.Millisecond

// step admits queued sequences, prefills, and returns the duration of the step, or 0
// if no sequence is running. During a stall it returns the rest of the stall.
func (s *scheduler) step() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	s.expire(now)
	if wait := s.stalledUntil.Sub(now); wait > 0 {
		return wait
	}
	s.admit()
	if len(s.running) == 0 {
		return 0
	}
	prefilled := s.prefill()
	decoding := 0
	for _, item := range s.running {
		if item.phase == phaseDecode {
			decoding++
		}
	}
	duration := s.parameters.StepBase +
		time.Duration(decoding)*s.parameters.StepPerSequence +
		time.Duration(prefilled)*s.parameters.StepPerPrefillToken
	duration = time.Duration(float64(duration) * s.slowFactor)
	s.recordStep(duration)
	return duration
}

// admit moves queued sequences into free slots; cached prefix blocks count as
// prefilled.
func (s *scheduler) admit() {
	for len(s.running) < s.parameters.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		cachedTokens := s.cache.match(next.prompt.blocks) * blockWords
		next.prefilled = max(next.prefilled, min(cachedTokens, next.prompt.Tokens-1))
		next.advance(func() { next.phase = phasePrefill })
		s.running = append(s.running, next)
	}
}

// prefill prefills at most ChunkTokens prompt tokens, by priority, and returns the
// number of tokens prefilled.
func (s *scheduler) prefill() int {
	order := append([]*sequence(nil), s.running...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].priority < order[j].priority })
	budget := s.parameters.ChunkTokens
	for _, item := range order {
		if item.phase != phasePrefill {
			continue
		}
		chunk := min(budget, item.prompt.Tokens-item.prefilled)
		item.prefilled += chunk
		budget -= chunk
		if item.prefilled >= item.prompt.Tokens {
			item.advance(func() { item.phase = phaseDecode })
			s.cache.insert(item.prompt.blocks)
		}
	}
	return s.parameters.ChunkTokens - budget
}

// completeStep adds the decoded token to each decoding sequence and removes finished
// sequences from the batch.
func (s *scheduler) completeStep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if now.Before(s.stalledUntil) {
		return
	}
	remaining := s.running[:0]
	for _, item := range s.running {
		if item.phase != phaseDecode {
			remaining = append(remaining, item)
			continue
		}
		finished := false
		s.countToken(item)
		item.advance(func() {
			item.produced++
			if item.produced >= item.length {
				item.phase = phaseFinished
				item.ended = now
				finished = true
			}
		})
		if !finished {
			remaining = append(remaining, item)
		}
	}
	s.running = remaining
}

// expire deletes ended sequences after FinishedRetention, and cancels sequences that
// had no reader for ReaderTimeout.
func (s *scheduler) expire(now time.Time) {
	for id, item := range s.byID {
		state, _, _ := item.snapshot()
		ended := state == phaseFinished || state == phaseCancelled
		if ended && now.Sub(item.ended) > s.parameters.FinishedRetention {
			delete(s.byID, id)
			continue
		}
		if !ended && item.unreadFor(now) > s.parameters.ReaderTimeout {
			s.waiting = removeSequence(s.waiting, item)
			s.running = removeSequence(s.running, item)
			item.advance(func() {
				item.phase = phaseCancelled
				item.ended = now
			})
		}
	}
}
