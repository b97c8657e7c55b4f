package daemon

import (
	"encoding/json"
	"expvar"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// lastDumpTime bounds the dump of a VM that is about to stop.
const lastDumpTime = time.Second

// metrics holds the state of each VM of this process, by its id.
var metrics = expvar.NewMap("baobabdyke")

// publish shows the state of the VM as a metric, and makes a broken invariant
// log that state before it stops the process.
func (v *VM) publish() {
	metrics.Set(v.self.ID, expvar.Func(v.state))
	invariant.OnViolation(func(b *invariant.Violation) {
		_ = v.log.Log("level", "error", "msg", "invariant broken", "invariant", b.Name, "detail", b.Detail)
		v.logStateBriefly()
	})
}

// state returns the states of all parts by their names.
func (v *VM) state() any { return v.dumps().All() }

// logStateBriefly writes the state of the VM to its log, or gives up: the part
// whose invariant broke may not answer.
func (v *VM) logStateBriefly() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.logState()
	}()
	select {
	case <-done:
	case <-time.After(lastDumpTime):
	}
}

// logState writes the state of the VM to its log.
func (v *VM) logState() {
	data, err := json.Marshal(v.state())
	_ = v.log.Log("msg", "state", "dump", string(data), "err", err)
}
