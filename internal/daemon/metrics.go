package daemon

import (
	"encoding/json"
	"expvar"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// finalDumpTimeout bounds the state dump after an invariant violation.
const finalDumpTimeout = time.Second

// metrics publishes the state of each VM of this process by ID.
var metrics = expvar.NewMap("baobabdyke")

// publishState publishes the state of the VM as a metric. It also registers a
// callback that logs the state when an invariant is violated, before the process
// exits.
func (v *VM) publishState() {
	metrics.Set(v.self.ID, expvar.Func(v.state))
	invariant.OnViolation(func(violation *invariant.Violation) {
		_ = v.log.Log("level", "error", "msg", "invariant violated", "invariant", violation.Name, "detail", violation.Detail)
		v.logStateWithTimeout()
	})
}

// state returns the states of all components by name.
func (v *VM) state() any { return v.dumps().All() }

// logStateWithTimeout logs the state of the VM. It is bounded by a timeout, since
// the component that violated the invariant may block.
func (v *VM) logStateWithTimeout() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.logState()
	}()
	select {
	case <-done:
	case <-time.After(finalDumpTimeout):
	}
}

// logState logs the state of the VM.
func (v *VM) logState() {
	data, err := json.Marshal(v.state())
	_ = v.log.Log("msg", "state dump", "dump", string(data), "err", err)
}
