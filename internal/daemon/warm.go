package daemon

import (
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// minPoolSlots is the capacity of a pool whose targets state none.
const minPoolSlots = 64

// accepting returns why this VM takes no requests, or nil. A draining VM goes
// on taking them.
func (v *VM) accepting() error {
	switch state := v.life.State(); state {
	case vm.StateServing, vm.StateDraining:
		return nil
	default:
		if err := v.warm(); err != nil {
			return eris.Wrapf(err, "this VM is %s", state)
		}
		return eris.Errorf("this VM is %s", state)
	}
}

// draining tells whether a planned stop has begun.
func (v *VM) draining() bool { return v.life.State() == vm.StateDraining }

// warm returns what this VM lacks to serve as well as the others, or nil.
func (v *VM) warm() error {
	switch {
	case v.keeper.Current().Version == 0:
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

// poolSlots returns the number of requests that the targets of each pool run
// at once.
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
