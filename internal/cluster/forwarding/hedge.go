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
	timer    *time.Timer // not running at first
	at       time.Time
	extended bool
	due      bool
}

func newHedgeTimer() *hedgeTimer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &hedgeTimer{timer: timer}
}

func (h *hedgeTimer) stop() { h.timer.Stop() }

// start starts the delay after the call was sent on a path.
func (h *hedgeTimer) start(delay time.Duration) {
	h.at, h.due, h.extended = time.Now().Add(delay), false, false
	h.timer.Reset(delay)
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
