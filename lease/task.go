package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/store"
)

// DefaultTTL is the default time to live of leases.
const DefaultTTL = 15 * time.Second

// releaseTimeout bounds the release of a lease during a graceful shutdown.
const releaseTimeout = 3 * time.Second

// Options are the settings of a Task.
type Options struct {
	Self  Holder
	Store store.Store
	Clock store.Clock
	Log   log.Logger
	// TTL is the time to live of the leases; zero means DefaultTTL.
	TTL time.Duration
	// Seed seeds the jitter of renewals.
	Seed uint64
}

// A Task acquires and renews a set of leases for one process. Only a few processes
// should compete for one lease, since each of them polls the object store.
type Task struct {
	opts Options

	// commandMu serialises Add and Remove, so that a lease that is added again is
	// requested only after it was released.
	commandMu sync.Mutex

	// mu guards the fields below. Run starts the candidates of leases that were
	// added before it.
	mu         sync.Mutex
	ctx        context.Context
	names      map[string]bool
	candidates map[string]*candidate
	started    uint64
}

// NewTask returns a Task without leases.
func NewTask(o Options) *Task {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	return &Task{opts: o, names: map[string]bool{}, candidates: map[string]*candidate{}}
}

// Run acquires and renews the leases until ctx ends, and then releases them.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	for name := range t.names {
		t.start(name)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	candidates := t.candidates
	t.candidates = map[string]*candidate{}
	t.mu.Unlock()
	for _, c := range candidates {
		<-c.done
	}
	return nil
}

// start starts the candidate of a lease unless it is running or the task is not. The
// caller must hold mu.
func (t *Task) start(name string) {
	if t.ctx == nil || t.ctx.Err() != nil || t.candidates[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.started++
	c := newCandidate(name, &t.opts, t.started, cancel)
	t.candidates[name] = c
	go func() {
		defer cancel()
		c.run(ctx)
	}()
}
