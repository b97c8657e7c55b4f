package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/store"
)

// DefaultLength is the time to live of duties.
const DefaultTTL = 15 * time.Second

// releaseTimeout bounds the handing back of a duty.
const releaseTimeout = 3 * time.Second

// Options are the settings of a Task.
type Options struct {
	Self  Holder
	Store store.Store
	Clock store.Clock
	Log   log.Logger
	// Length is the time to live of the duties; zero stands for DefaultLength.
	TTL time.Duration
	// Seed fixes the jitter of renewals.
	Seed uint64
}

// A Task holds a set of duties on one process and keeps them by renewals. Only
// a few processes should want one duty, since each asks the object API.
type Task struct {
	opts Options

	// commands is held by one Want or Drop at a time, so that a duty that is
	// wanted again is asked for only after it was handed back.
	commands sync.Mutex

	// mu guards what follows. Duties that are wanted before Run get their
	// candidates from Run.
	mu         sync.Mutex
	ctx        context.Context
	wanted     map[string]bool
	candidates map[string]*candidate
	started    uint64
}

// NewTask returns a Task that wants no duties yet.
func NewTask(o Options) *Task {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	return &Task{opts: o, wanted: map[string]bool{}, candidates: map[string]*candidate{}}
}

// Run keeps the duties until ctx ends, and then hands them back.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	for duty := range t.wanted {
		t.start(duty)
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

// start runs a candidate. The caller holds mu.
func (t *Task) start(duty string) {
	if t.ctx == nil || t.ctx.Err() != nil || t.candidates[duty] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.started++
	c := newCandidate(duty, &t.opts, t.started, cancel)
	t.candidates[duty] = c
	go func() {
		defer cancel()
		c.run(ctx)
	}()
}
