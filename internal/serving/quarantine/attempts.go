package quarantine

// Begin implements Guard. It counts only the attempts of requests that are suspected
// when the attempt starts.
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

// RunnersToAvoid implements Guard. It considers only attempts by this node.
func (c *Coordinator) RunnersToAvoid(fingerprint Fingerprint) map[string]bool {
	if !c.table.Suspected(fingerprint) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return avoidedRunners(c.attempts, fingerprint)
}
