// Package source maintains the operator's configuration, the list of targets and
// the announced weights on one VM. It reads them from the object store by long
// polling, and from other VMs if this VM does not poll the store or the store does
// not respond.
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

// Kinds of objects that are read, as indexes of Positions.
const (
	Config = iota
	Targets
	WeightVersions
	kinds
)

const (
	// pollTimeout is how long one read waits for a change. Together with the
	// client's additional timeout it stays below the shortest time within which a
	// change must take effect when a connection stops delivering data.
	pollTimeout = 2200 * time.Millisecond
	// batchDelay is the delay after changes of targets, which often come in groups.
	// It is short because a target that is leaving must be known within seconds.
	batchDelay = 120 * time.Millisecond
	// idleInterval is the time between two checks of whether to poll the store.
	idleInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential back-off after a failed
	// read.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// A Decoder decodes the objects in the store.
type Decoder struct {
	// Kinds are the names of the kinds in the store.
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
	// OnChange is called after the view has changed.
	OnChange func()
	// Watching reports whether this VM polls the store. If not, it receives changes
	// from other VMs. Nil means always.
	Watching func() bool
}

// A View is the state of the site as known to one VM. It is read-only.
type View struct {
	// Config is nil until a configuration is known.
	Config  *site.Config
	Targets map[string]*site.Target
	Weights Weights
}

// A Source keeps a View up to date. It is safe for concurrent use.
type Source struct {
	opts      Options
	view      atomic.Pointer[View]
	ready     chan struct{}
	readyOnce sync.Once
	// started is when the source was created.
	started time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	tables [kinds]*table
	// lastResponse is when the store last responded to this VM.
	lastResponse time.Time
	// down reports whether the last read failed.
	down bool
}

// New returns a Source with an empty view.
func New(o Options) *Source {
	s := &Source{opts: o, ready: make(chan struct{}), started: time.Now()}
	for i := range s.tables {
		s.tables[i] = newTable()
	}
	s.view.Store(&View{Targets: map[string]*site.Target{}})
	return s
}

// View returns the current view.
func (s *Source) View() *View { return s.view.Load() }

// Ready is closed once a configuration and a list of targets are known.
func (s *Source) Ready() <-chan struct{} { return s.ready }

// LastStoreResponse returns when the store last responded to this VM.
func (s *Source) LastStoreResponse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponse
}

// Run polls the store for all kinds until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for kind := range kinds {
		wg.Go(func() { s.poll(ctx, kind) })
	}
	wg.Go(func() { s.expireMissing(ctx) })
	wg.Wait()
	return nil
}

// poll reads one kind and its changes until ctx ends.
func (s *Source) poll(ctx context.Context, kind int) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if s.idle() {
			store.Sleep(ctx, idleInterval)
			continue
		}
		err := s.read(ctx, kind)
		s.recordResult(err)
		if err == nil || errors.Is(err, store.ErrHistoryLost) {
			delay = minRetryDelay
			continue
		}
		s.markFailed(kind)
		store.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// idle reports whether this VM leaves polling the store to others. It polls until
// it has a configuration and a list of targets.
func (s *Source) idle() bool {
	select {
	case <-s.ready:
		return s.opts.Watching != nil && !s.opts.Watching()
	default:
		return false
	}
}

// read makes one call for a kind and applies its result.
func (s *Source) read(ctx context.Context, kind int) error {
	name := s.opts.Decoder.Kinds[kind]
	s.mu.Lock()
	t := s.tables[kind]
	after, listed := t.at, t.listed
	s.mu.Unlock()
	if !listed {
		objects, at, err := s.opts.Feed.Snapshot(ctx, name)
		if err != nil {
			return err
		}
		s.applySnapshot(kind, objects, at)
		return nil
	}
	events, at, err := s.opts.Feed.Changes(ctx, name, after, pollTimeout)
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		s.mu.Lock()
		t.listed = false
		s.mu.Unlock()
		s.log("msg", "change history lost", "kind", name, "after", after)
		return err
	case err != nil:
		return err
	}
	s.applyEvents(kind, after, events, at)
	if kind == Targets && len(events) > 0 {
		store.Sleep(ctx, batchDelay)
	}
	return nil
}

// markFailed records that the store did not respond to a read of a kind.
func (s *Source) markFailed(kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[kind].failed = true
}

// recordResult records whether the store responds, and logs when that changes.
func (s *Source) recordResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrHistoryLost) {
		s.lastResponse = time.Now()
		if s.down {
			s.down = false
			s.log("msg", "object store available")
		}
		return
	}
	if !s.down && !errors.Is(err, context.Canceled) {
		s.down = true
		s.log("msg", "object store unavailable", "err", err)
	}
}

func (s *Source) log(keyvals ...any) {
	if s.opts.Log != nil {
		_ = s.opts.Log.Log(keyvals...)
	}
}
