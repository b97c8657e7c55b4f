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
	// warmPollInterval is how often a starting VM checks whether it is warm.
	warmPollInterval = 50 * time.Millisecond
	// shutdownTimeout bounds how long a graceful shutdown waits for running
	// requests.
	shutdownTimeout = 10 * time.Minute
	// releaseTimeout bounds the release of limit slots.
	releaseTimeout = 5 * time.Second
)

// serveUntilStop takes the VM from starting to serving. It returns when a graceful
// shutdown begins: when ctx ends or a drain is requested.
func (v *VM) serveUntilStop(ctx, taskCtx context.Context) {
	changes := v.configs.Changes()
	v.transition(v.lifecycle.Warm)
	v.applyConfig()
	tick := time.NewTicker(warmPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-taskCtx.Done():
			return
		case <-v.drain:
			return
		case <-changes:
			v.applyConfig()
		case <-tick.C:
			v.serveIfWarm()
		}
	}
}

// applyConfig passes the current configuration to the components that do not read
// it themselves.
func (v *VM) applyConfig() {
	view := v.configs.Current()
	v.members.SetConfig(view.Version)
	v.callers.Apply(view)
	for pool, slots := range poolSlots(view) {
		v.queue.SetCapacity(pool, slots)
	}
	_ = v.log.Log("msg", "configuration in force", "version", view.Version)
}

// serveIfWarm moves the VM from warming to serving once it is warm.
func (v *VM) serveIfWarm() {
	if v.lifecycle.State() != vm.StateWarming || v.checkWarm() != nil {
		return
	}
	v.transition(v.lifecycle.Serve)
}

// transition performs a lifecycle transition and announces the new state to the
// other VMs.
func (v *VM) transition(step func() error) {
	if err := step(); err != nil {
		_ = v.log.Log("msg", "lifecycle transition failed", "err", err)
		return
	}
	v.members.SetState(v.lifecycle.State())
	_ = v.log.Log("msg", "lifecycle state changed", "state", v.lifecycle.State())
}

// stop shuts the VM down gracefully. The draining state removes it from entry
// responses; it then accepts requests until cached entry responses have expired,
// waits for running requests, and releases its limit slots.
func (v *VM) stop(ctx context.Context, callers, operators *http.Server) {
	v.transition(v.lifecycle.Drain)
	store.Sleep(ctx, v.placer.DrainTime())
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		_ = v.log.Log("msg", "running requests aborted", "err", err)
	}
	releaseCtx, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	if err := v.limits.Release(releaseCtx); err != nil {
		_ = v.log.Log("msg", "limit slots not released", "err", err)
	}
	v.transition(v.lifecycle.Stop)
	_ = operators.Close()
}

// ignoreCancelled returns nil for context.Canceled, with which the tasks end on a
// graceful shutdown, and err otherwise.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
