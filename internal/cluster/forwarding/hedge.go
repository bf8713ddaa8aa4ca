package forwarding

import "time"

const (
	// stallLimit is how late a hedging timer may fire. A later timer means that this process
	// was not running, so that an answer may not have been read yet.
	stallLimit = 10 * time.Millisecond
	// stallDelay extends the hedging delay once after a stall.
	stallDelay = minHedgeDelay
)

// hedgeTimer reports when a call has been unanswered for the hedging delay.
type hedgeTimer struct {
	timer    *time.Timer
	delay    time.Duration
	at       time.Time
	extended bool
	due      bool
}

func newHedgeTimer(delay time.Duration) *hedgeTimer {
	return &hedgeTimer{timer: time.NewTimer(delay), delay: delay, at: time.Now().Add(delay)}
}

func (h *hedgeTimer) stop() { h.timer.Stop() }

// restart starts the delay again after the call was sent on a path.
func (h *hedgeTimer) restart() {
	h.at, h.due, h.extended = time.Now().Add(h.delay), false, false
	h.timer.Reset(h.delay)
}

// fired handles the end of the delay.
func (h *hedgeTimer) fired(now time.Time) {
	if now.Sub(h.at) < stallLimit || h.extended {
		h.due = true
		return
	}
	h.extended = true
	h.timer.Reset(stallDelay)
}
