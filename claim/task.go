package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/store"
)

// Options are the settings of a Task.
type Options struct {
	// Self is the id of this VM.
	Self  string
	Store store.Store
	Clock store.Clock
	Log   log.Logger
	// Window is the minimum time between two commits of one shard; zero means
	// DefaultWindow.
	Window time.Duration
	// Linger is how long a response waits to be batched with other writes; zero
	// means DefaultLinger.
	Linger time.Duration
	// Retention is how long a claim is kept; zero means DefaultRetention. A
	// request with the same key runs again after that.
	Retention time.Duration
	// Seed seeds the jitter of retries.
	Seed uint64

	// shards is the number of shards; only benchmarks change it.
	shards int
}

// Defaults of Options.
const (
	DefaultWindow    = 20 * time.Millisecond
	DefaultLinger    = 200 * time.Millisecond
	DefaultRetention = 24 * time.Hour
)

// workerQueue is the number of jobs that may wait in the channel of a worker.
const workerQueue = 256

// stats counts calls of the object store and the results of claims.
type stats struct {
	reads, writes, conflicts, unknown, dropped   atomic.Int64
	granted, repeated, pending, mismatch, failed atomic.Int64
}

// An openTicket is a granted claim that is neither finished nor abandoned.
type openTicket struct {
	id string
	at time.Time
}

// A Task grants claims on one VM.
type Task struct {
	opts  Options
	stats stats
	// stopped is closed when Run begins to stop: callers of Begin stop waiting.
	// finished is closed after the last commits: all other callers stop waiting.
	stopped  chan struct{}
	finished chan struct{}

	// mu guards the fields below: the workers, which are started after Run has
	// set their context, and the tickets that are neither finished nor abandoned.
	mu             sync.Mutex
	ctx            context.Context
	workers        map[int]*worker
	tickets        map[hash]openTicket
	workersRunning sync.WaitGroup
	started        chan struct{}
}

// NewTask returns a Task. Claims are granted only while Run is running.
func NewTask(o Options) *Task {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Linger <= 0 {
		o.Linger = DefaultLinger
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.shards <= 0 {
		o.shards = shardCount
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	return &Task{
		opts:     o,
		stopped:  make(chan struct{}),
		finished: make(chan struct{}),
		workers:  map[int]*worker{},
		tickets:  map[hash]openTicket{},
		started:  make(chan struct{}),
	}
}

// Run grants claims until ctx ends, then writes the remaining responses.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	close(t.started)
	<-ctx.Done()
	t.mu.Lock()
	close(t.stopped)
	t.mu.Unlock()
	t.workersRunning.Wait()
	close(t.finished)
	return nil
}

// submit sends an op to the worker of its shard and waits for the reply. It reports
// false if there was no reply.
func (t *Task) submit(ctx context.Context, shard int, o op, linger time.Duration, minVersion int64) (reply, bool) {
	select {
	case <-t.started:
	case <-ctx.Done():
		return reply{}, false
	}
	j := newJob(ctx, o, t.opts.Clock.Now().Add(linger))
	j.minVersion = minVersion
	if err := t.enqueue(shard, j); err != nil {
		return reply{err: err}, true
	}
	return j.wait(t.stopChannel(o))
}

// enqueue adds a job to the queue of the worker of its shard.
func (t *Task) enqueue(shard int, j job) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.stopped:
		return errStopped
	default:
	}
	select {
	case t.worker(shard).jobs <- j:
		return nil
	default:
		return errBusy
	}
}

// removeWorker removes a worker unless a job is waiting for it. It reports whether
// the worker was removed.
func (t *Task) removeWorker(w *worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(w.jobs) > 0 {
		return false
	}
	delete(t.workers, w.shard)
	return true
}

// stopChannel returns the channel that ends the wait for an op: a begin does not
// wait for the last commit of a stopping task.
func (t *Task) stopChannel(o op) <-chan struct{} {
	if _, isBegin := o.(begin); isBegin {
		return t.stopped
	}
	return t.finished
}

// worker returns the worker of a shard and starts it if necessary. The caller must
// hold mu.
func (t *Task) worker(shard int) *worker {
	if w, ok := t.workers[shard]; ok {
		return w
	}
	w := &worker{
		shard:  shard,
		store:  t.opts.Store,
		clock:  t.opts.Clock,
		log:    t.opts.Log,
		opts:   &t.opts,
		stats:  &t.stats,
		jobs:   make(chan job, workerQueue),
		rand:   rand.New(rand.NewPCG(t.opts.Seed, uint64(shard))),
		remove: t.removeWorker,
	}
	t.workers[shard] = w
	t.workersRunning.Add(1)
	go func(ctx context.Context) {
		defer t.workersRunning.Done()
		w.run(ctx)
	}(t.ctx)
	return w
}
