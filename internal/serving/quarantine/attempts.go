package quarantine

// Begin implements Guard.
func (c *Coordinator) Begin(fingerprint Fingerprint, runner string) func() {
	if !c.table.Suspected(fingerprint) {
		return func() {}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.attempts[runner] == nil {
		c.attempts[runner] = map[Fingerprint]int{}
	}
	c.attempts[runner][fingerprint]++
	return func() { c.endAttempt(fingerprint, runner) }
}

func (c *Coordinator) endAttempt(fingerprint Fingerprint, runner string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.attempts[runner][fingerprint]--; c.attempts[runner][fingerprint] <= 0 {
		delete(c.attempts[runner], fingerprint)
	}
	if len(c.attempts[runner]) == 0 {
		delete(c.attempts, runner)
	}
}

// RunnersToAvoid implements Guard. It covers the suspects of this node only: other
// nodes have few, and these are spread over the runners.
func (c *Coordinator) RunnersToAvoid(fingerprint Fingerprint) map[string]bool {
	if !c.table.Suspected(fingerprint) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return avoidedRunners(c.attempts, fingerprint)
}
