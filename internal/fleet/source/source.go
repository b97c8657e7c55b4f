// Package source learns what the operator wants and which targets there are:
// from the object store by waiting reads, and from other VMs where the store
// does not answer this one.
package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

// Kinds of objects that are followed, as indexes of Marks.
const (
	Config = iota
	Targets
	WeightVersions
	kinds
)

const (
	// waitTime is how long one read waits for a change. With the client's own
	// margin it stays below the shortest time in which a change must be in force
	// after connections have gone silent.
	waitTime = 2200 * time.Millisecond
	// gatherTime is the pause after changes of targets, which often come together;
	// a leaving target must be known within seconds.
	gatherTime = 120 * time.Millisecond
	// restPause is the time between two looks at whether to read the store.
	restPause = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 80 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

// A Decoder translates the objects of a site.
type Decoder struct {
	// Kinds are the names of the followed kinds in the store.
	Kinds   [kinds]string
	Config  func(spec []byte) (*site.Config, error)
	Target  func(id string, spec []byte) (*site.Target, error)
	Weights func(spec []byte) (model string, version int64, err error)
}

// Options are the parameters of a Source.
type Options struct {
	Feed    store.Feed
	Decoder Decoder
	Log     log.Logger
	// Changed is called after the view has changed.
	OnChange func()
	// Watching tells whether this VM reads the store; others tell it what they
	// read. Nil stands for always.
	Watching func() bool
}

// A View is what a VM knows of the site. It is read-only.
type View struct {
	// Config is nil until one is known.
	Config  *site.Config
	Targets map[string]*site.Target
	Weights Weights
}

// A Source follows the site. Its queries may be called from any goroutine.
type Source struct {
	opts   Options
	view   atomic.Pointer[View]
	ready  chan struct{}
	opened sync.Once
	// started is when this VM began to learn.
	started time.Time

	// mu guards the tables.
	mu     sync.Mutex
	tables [kinds]*table
	// fresh is when the store last answered this VM.
	fresh time.Time
	down  bool
}

// New returns a Source that knows nothing.
func New(o Options) *Source {
	s := &Source{opts: o, ready: make(chan struct{}), started: time.Now()}
	for i := range s.tables {
		s.tables[i] = newTable()
	}
	s.view.Store(&View{Targets: map[string]*site.Target{}})
	return s
}

// View returns what is known now.
func (s *Source) View() *View { return s.view.Load() }

// Ready is closed once a configuration and a list of targets are known.
func (s *Source) Ready() <-chan struct{} { return s.ready }

// StoreAnswered returns when the store last answered this VM.
func (s *Source) LastStoreAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

// Run follows the store until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for kind := range kinds {
		wg.Go(func() { s.follow(ctx, kind) })
	}
	wg.Go(func() { s.settle(ctx) })
	wg.Wait()
	return nil
}

// follow reads one kind and its changes until ctx ends.
func (s *Source) follow(ctx context.Context, kind int) {
	pause := retryFirst
	for ctx.Err() == nil {
		if s.resting() {
			store.Sleep(ctx, restPause)
			continue
		}
		err := s.read(ctx, kind)
		s.note(err)
		if err == nil || errors.Is(err, store.ErrHistoryLost) {
			pause = retryFirst
			continue
		}
		s.failed(kind)
		store.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

// resting tells whether this VM leaves the store to others. Until it knows the
// site it does not.
func (s *Source) resting() bool {
	select {
	case <-s.ready:
		return s.opts.Watching != nil && !s.opts.Watching()
	default:
		return false
	}
}

// read makes one call for a kind and takes in its result.
func (s *Source) read(ctx context.Context, kind int) error {
	name := s.opts.Decoder.Kinds[kind]
	s.mu.Lock()
	t := s.tables[kind]
	after, whole := t.at, t.listed
	s.mu.Unlock()
	if !whole {
		objects, at, err := s.opts.Feed.Snapshot(ctx, name)
		if err != nil {
			return err
		}
		s.takeSnapshot(kind, objects, at)
		return nil
	}
	events, at, err := s.opts.Feed.Changes(ctx, name, after, waitTime)
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		s.mu.Lock()
		t.listed = false
		s.mu.Unlock()
		s.log("msg", "history lost", "kind", name, "after", after)
		return err
	case err != nil:
		return err
	}
	s.takeEvents(kind, after, events, at)
	if kind == Targets && len(events) > 0 {
		store.Sleep(ctx, gatherTime)
	}
	return nil
}

// failed notes that the store did not answer a read of a kind.
func (s *Source) failed(kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[kind].failed = true
}

// note keeps account of whether the store answers.
func (s *Source) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrHistoryLost) {
		s.fresh = time.Now()
		if s.down {
			s.down = false
			s.log("msg", "store regained")
		}
		return
	}
	if !s.down && !errors.Is(err, context.Canceled) {
		s.down = true
		s.log("msg", "store lost", "err", err)
	}
}

func (s *Source) log(keyvals ...any) {
	if s.opts.Log != nil {
		_ = s.opts.Log.Log(keyvals...)
	}
}
