package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// warmPoll is how often a starting VM checks whether it is warm.
	warmPoll = 50 * time.Millisecond
	// shutdownTime bounds the wait for running answers of a planned stop.
	shutdownTime = 10 * time.Minute
	// releaseTime bounds the hand-over of slots and leases.
	releaseTime = 5 * time.Second
)

// follow brings the VM from starting to serving and returns when a planned
// stop begins: when ctx ends or a drain is asked for.
func (v *VM) follow(ctx, work context.Context) {
	changes := v.keeper.Changes()
	v.enter(v.life.Warm)
	v.apply()
	tick := time.NewTicker(warmPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-work.Done():
			return
		case <-v.drain:
			return
		case <-changes:
			v.apply()
		case <-tick.C:
			v.advance()
		}
	}
}

// apply puts a new configuration into force in the parts that do not ask for it
// themselves.
func (v *VM) apply() {
	view := v.keeper.Current()
	v.members.SetConfig(view.Version)
	v.callers.Apply(view)
	for pool, slots := range poolSlots(view) {
		v.queue.SetCapacity(pool, slots)
	}
	_ = v.log.Log("msg", "configuration in force", "version", view.Version)
}

// advance takes the steps of the VM's life that have become possible.
func (v *VM) advance() {
	if v.life.State() != vm.StateWarming || v.warm() != nil {
		return
	}
	v.enter(v.life.Serve)
}

// enter takes one step of the VM's life and tells the other VMs.
func (v *VM) enter(step func() error) {
	if err := step(); err != nil {
		_ = v.log.Log("msg", "life", "err", err)
		return
	}
	v.members.SetState(v.life.State())
	_ = v.log.Log("msg", "life", "state", v.life.State())
}

// stop leaves the entry answers, goes on accepting until no kept answer names
// this VM, waits for running answers, and gives back what this VM holds.
func (v *VM) stop(ctx context.Context, callers, operators *http.Server) {
	v.enter(v.life.Drain)
	store.Sleep(ctx, v.placer.DrainTime())
	shutdown, cancel := context.WithTimeout(ctx, shutdownTime)
	defer cancel()
	if err := callers.Shutdown(shutdown); err != nil {
		_ = v.log.Log("msg", "answers were cut", "err", err)
	}
	release, cancelRelease := context.WithTimeout(ctx, releaseTime)
	defer cancelRelease()
	if err := v.limits.Release(release); err != nil {
		_ = v.log.Log("msg", "slots not given back", "err", err)
	}
	v.enter(v.life.Stop)
	_ = operators.Close()
}

// ignoreCancelled returns nil for the errors that a planned stop ends with.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
