package order

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// poolCheckInterval is the time between two checks of the configured pools.
const poolCheckInterval = time.Second

// Options are the dependencies and settings of a Task.
type Options struct {
	Self   lease.Holder
	Store  store.Store
	Client target.Client
	Config func() *config.View
	// States returns the states of the targets of a pool.
	States func(pool string) []target.State
	// Candidate reports whether this VM should try to acquire the lease of a
	// pool; nil means always. A few candidates per pool are enough.
	Candidate func(pool string) bool
	Clock     store.Clock
	Log       log.Logger
	// Seed is the seed of the jitter in lease renewals.
	Seed uint64
}

// A Task sends orders to the engines of the pools whose leases this VM holds.
type Task struct {
	opts   Options
	leases *lease.Task
	slots  *slots

	mu     sync.Mutex
	groups map[string]*runningGroup
}

// A runningGroup is a group with its cancel function and a channel that is closed
// when it has ended.
type runningGroup struct {
	group *group
	stop  context.CancelFunc
	done  chan struct{}
}

// NewTask returns a Task. It sends orders only while Run is running.
func NewTask(o Options) *Task {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	if o.Candidate == nil {
		o.Candidate = func(string) bool { return true }
	}
	return &Task{
		opts:   o,
		leases: lease.NewTask(lease.Options{Self: o.Self, Store: o.Store, Clock: o.Clock, Log: o.Log, Seed: o.Seed}),
		slots:  newSlots(o.Self, o.Store, o.Clock),
		groups: map[string]*runningGroup{},
	}
}

// Run sends orders until ctx is done, then waits for open orders and releases the
// leases.
func (t *Task) Run(ctx context.Context) error {
	leaseCtx, stopLeases := context.WithCancel(context.WithoutCancel(ctx))
	leasesStopped := make(chan struct{})
	go func() {
		defer close(leasesStopped)
		_ = t.leases.Run(leaseCtx)
	}()
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		t.updateGroups(ctx, t.pools())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	t.updateGroups(ctx, nil)
	stopLeases()
	<-leasesStopped
	return nil
}

// pools returns all pools with engines, mapped to whether this VM should try to
// hold their leases.
func (t *Task) pools() map[string]bool {
	pools := map[string]bool{}
	v := t.opts.Config()
	for i := range v.Targets {
		if p := v.Targets[i].Pool; v.Targets[i].Kind == config.TargetEngine && !pools[p] {
			pools[p] = t.opts.Candidate(p)
		}
	}
	return pools
}

// updateGroups starts and stops groups so that exactly the wanted pools have one.
func (t *Task) updateGroups(ctx context.Context, wanted map[string]bool) {
	t.mu.Lock()
	var stopping []*runningGroup
	for pool, r := range t.groups {
		if !wanted[pool] {
			r.stop()
			stopping = append(stopping, r)
			delete(t.groups, pool)
		}
	}
	t.mu.Unlock()
	for _, r := range stopping {
		<-r.done
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, want := range wanted {
		if want && t.groups[pool] == nil {
			t.groups[pool] = t.start(ctx, pool)
		}
	}
}

func (t *Task) start(ctx context.Context, pool string) *runningGroup {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningGroup{
		group: &group{
			pool:    pool,
			opts:    &t.opts,
			leases:  t.leases,
			slots:   t.slots,
			results: make(chan result),
			sent:    map[string]Sent{},
		},
		stop: cancel,
		done: make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		defer cancel()
		r.group.run(ctx)
	}()
	return r
}
