package lease

// Add makes the task try to hold a lease.
func (t *Task) Add(duty string) {
	t.commands.Lock()
	defer t.commands.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted[duty] = true
	t.start(duty)
}

// Remove stops trying to hold a lease. It returns once the lease is released or the
// release has failed. The task does not hold the lease from the call on.
func (t *Task) Remove(duty string) {
	t.commands.Lock()
	defer t.commands.Unlock()
	t.mu.Lock()
	delete(t.wanted, duty)
	c := t.candidates[duty]
	delete(t.candidates, duty)
	t.mu.Unlock()
	if c == nil {
		return
	}
	c.stop()
	<-c.done
}
