package lease

// Add makes the task try to hold a lease.
func (t *Task) Add(name string) {
	t.commandMu.Lock()
	defer t.commandMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[name] = true
	t.start(name)
}

// Remove stops trying to hold a lease. It returns once the lease is released or the
// release has failed. The task does not hold the lease from the call on.
func (t *Task) Remove(name string) {
	t.commandMu.Lock()
	defer t.commandMu.Unlock()
	t.mu.Lock()
	delete(t.names, name)
	c := t.candidates[name]
	delete(t.candidates, name)
	t.mu.Unlock()
	if c == nil {
		return
	}
	c.stop()
	<-c.done
}
