package lease

// Want makes the task try to hold a duty.
func (t *Task) Add(duty string) {
	t.commands.Lock()
	defer t.commands.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted[duty] = true
	t.start(duty)
}

// Drop gives a duty up. It returns once the duty is handed back or the object
// API could not be asked; from the call on the task does not hold it.
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
