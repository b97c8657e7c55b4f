package daemon

import (
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// minPoolSlots is the smallest capacity of a pool. It applies to pools whose
// targets configure no slots.
const minPoolSlots = 64

// checkAccepting returns why this VM does not accept requests, or nil if it does.
// A draining VM still accepts requests.
func (v *VM) checkAccepting() error {
	switch state := v.lifecycle.State(); state {
	case vm.StateServing, vm.StateDraining:
		return nil
	default:
		if err := v.checkWarm(); err != nil {
			return eris.Wrapf(err, "this VM is %s", state)
		}
		return eris.Errorf("this VM is %s", state)
	}
}

// isDraining reports whether a graceful shutdown has begun.
func (v *VM) isDraining() bool { return v.lifecycle.State() == vm.StateDraining }

// checkWarm returns what this VM lacks to serve requests as well as the other VMs,
// or nil if it is warm.
func (v *VM) checkWarm() error {
	switch {
	case v.configs.Current().Version == 0:
		return eris.New("there is no configuration yet")
	case !v.fleet.Warm():
		return eris.New("the targets' states are not known yet")
	case !v.index.Warm():
		return eris.New("the prefix index is not filled yet")
	case !v.limits.Warm():
		return eris.New("the shares of the customers' rates are not held yet")
	}
	return nil
}

// poolSlots returns the number of requests that the targets of each pool can run
// concurrently.
func poolSlots(v *config.View) map[string]int {
	slots := map[string]int{}
	for _, t := range v.Targets {
		if t.Kind != config.TargetCache {
			slots[t.Pool] += t.Slots
		}
	}
	for pool, n := range slots {
		slots[pool] = max(n, minPoolSlots)
	}
	return slots
}
