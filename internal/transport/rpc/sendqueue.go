package rpc

import "sync"

// sendQueue is the bounded queue of encoded frames for a link's writer. An empty queue
// holds no buffer, since a node in a large fleet has about a thousand mostly idle links.
type sendQueue struct {
	mutex   sync.Mutex
	notFull sync.Cond // signalled when takeAll empties the queue, or when the queue is closed
	frames  [][]byte
	// added is the number of frames that were added so far.
	added  uint64
	closed bool
	// ready is signalled when the queue holds frames.
	ready chan struct{}
}

func newSendQueue() *sendQueue {
	q := &sendQueue{ready: make(chan struct{}, 1)}
	q.notFull.L = &q.mutex
	return q
}

// tryPut adds a frame unless the queue is full or closed.
func (q *sendQueue) tryPut(encoded []byte) bool {
	_, added := q.tryPutNumbered(encoded)
	return added
}

// tryPutNumbered does the same as tryPut and returns the number of the frame, counted from 1.
func (q *sendQueue) tryPutNumbered(encoded []byte) (uint64, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed || len(q.frames) >= maxQueuedFrames {
		return 0, false
	}
	q.add(encoded)
	return q.added, true
}

// put adds a frame, and waits while the queue is full. It returns false if the queue is
// closed.
func (q *sendQueue) put(encoded []byte) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for !q.closed && len(q.frames) >= maxQueuedFrames {
		q.notFull.Wait()
	}
	if q.closed {
		return false
	}
	q.add(encoded)
	return true
}

// add appends a frame. The caller holds the mutex.
func (q *sendQueue) add(encoded []byte) {
	q.frames = append(q.frames, encoded)
	q.added++
	select {
	case q.ready <- struct{}{}:
	default: // already signalled
	}
}

// takeAll removes and returns all queued frames in their order, or nil if there are none.
func (q *sendQueue) takeAll() [][]byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.frames
	q.frames = nil
	q.notFull.Broadcast()
	return taken
}

// close rejects further frames and wakes the callers that wait in put.
func (q *sendQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}
