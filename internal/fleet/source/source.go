// Package source maintains the operator's configuration, the list of targets and
// the announced weights on one VM. It reads them from the object store by long
// polling, and from other VMs if this VM does not poll the store or the store does
// not respond.
package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// Kinds of objects that are read, as indexes of Positions.
const (
	Config = iota
	Targets
	WeightVersions
	Orders
	kinds
)

const (
	// batchDelay is the delay after changes of targets, which often come in groups.
	// It is short because a target that is leaving must be known within seconds.
	batchDelay = 120 * time.Millisecond
	// idleInterval is the time between two checks of whether to poll the store.
	idleInterval = 100 * time.Millisecond
	// patience is how long the store may take to begin its response to a read, beyond the
	// time for which the read waits for a change, before it counts as silent.
	patience = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential back-off after a failed
	// read.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// A Decoder decodes the objects in the store.
type Decoder struct {
	// Kinds are the names of the kinds in the store. A kind without a name is not read.
	Kinds   [kinds]string
	Config  func(spec []byte) (*site.Config, error)
	Target  func(id string, spec []byte) (*site.Target, error)
	Weights func(spec []byte) (model string, version int64, err error)
	Order   func(name string, value []byte) *site.Order
}

// Bounds are the times, by kind, within which a change must be in force on all VMs;
// zero means defaultBound.
type Bounds [kinds]time.Duration

// Options are the parameters of a Source.
type Options struct {
	Feed    store.Feed
	Decoder Decoder
	Log     log.Logger
	// OnChange is called after the view has changed.
	OnChange func()
	// Watching reports whether this VM polls the store. If not, it receives changes
	// from other VMs, and reads the store if they do not confirm its state in time.
	// Nil means always.
	Watching func() bool
	// Watchers returns other VMs that poll the store, and Peers calls them.
	Watchers func() []peer.Destination
	Peers    peer.Caller
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// OnStoreStatus is called when the store starts or stops responding to this VM.
	OnStoreStatus func()
}

// A View is the state of the site as known to one VM. It is read-only.
type View struct {
	// Config is nil until a configuration is known.
	Config  *site.Config
	Targets map[string]*site.Target
	Weights Weights
	// Orders holds the orders that move traffic, by service.
	Orders map[string]*site.Order
}

// A Source keeps a View up to date. It is safe for concurrent use.
type Source struct {
	opts      Options
	view      atomic.Pointer[View]
	ready     chan struct{}
	readyOnce sync.Once
	// started is when the source was created.
	started time.Time
	// reads are the reads that are under way.
	reads  sync.WaitGroup
	packer packer

	// mu guards the fields below.
	mu     sync.Mutex
	tables [kinds]*table
	// newest holds the newest configuration known, which is in force.
	newest entry
	// bases holds the configurations that were in force before, the oldest first.
	bases []store.Object
	// unpackFailed reports that another VM's response could not be unpacked. This VM then
	// asks for responses that aren't packed.
	unpackFailed bool
	// restored is the first version of the store's latest era that was known to this
	// VM, from the time restoredAt on.
	restored   int64
	restoredAt time.Time
	// lastResponse is when the store last responded to this VM.
	lastResponse time.Time
	// down reports whether the last read failed, and lastFailure when it did.
	down        bool
	lastFailure time.Time
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

// LastRestore returns a version that the store had after its last restore, and how long
// ago this VM learned of it. The version is 0 if the store was never restored.
func (s *Source) LastRestore() (version int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored, time.Since(s.restoredAt)
}

// LastStoreResponse returns when the store last responded to this VM.
func (s *Source) LastStoreResponse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponse
}

// failureMemory is how long a VM is not asked to poll the store for others after a
// read of it has failed.
const failureMemory = 5 * time.Second

// StoreFailing reports whether the last read of the store failed, and recently.
func (s *Source) StoreFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down && time.Since(s.lastFailure) < failureMemory
}

// Run keeps the view up to date until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for kind := range kinds {
		if s.isRead(kind) {
			wg.Go(func() { s.poll(ctx, kind) })
		}
	}
	wg.Go(func() { s.expireMissing(ctx) })
	wg.Go(func() { s.follow(ctx) })
	wg.Wait()
	s.reads.Wait()
	return nil
}

// isRead reports whether a kind is read.
func (s *Source) isRead(kind int) bool { return kind != Orders || s.opts.Decoder.Kinds[Orders] != "" }

// poll reads one kind and its changes until ctx ends, whenever that is due.
//
// The store may cut off a read that waits for a change at any time, which is no sign of an
// outage. The next read then does not wait, and shows whether the store responds.
func (s *Source) poll(ctx context.Context, kind int) {
	delay := minRetryDelay
	// silentSince is since when the store has been silent at most, if the last read was cut
	// off, and zero otherwise.
	var silentSince time.Time
	for ctx.Err() == nil {
		wait, due := s.nextRead(kind)
		if !due {
			silentSince = time.Time{}
			store.Sleep(ctx, idleInterval)
			continue
		}
		check := !silentSince.IsZero()
		if check {
			wait = minPollWait
		}
		waits := wait > minPollWait && s.isListed(kind)
		start := time.Now()
		err := s.readInTime(ctx, kind, wait)
		lost := errors.Is(err, store.ErrHistoryLost)
		if cut := err != nil && !lost && waits; cut {
			silentSince = cutSince(start, time.Now(), wait)
		} else {
			s.recordResult(kind, time.Since(start), err)
		}
		switch losses := s.countLosses(kind); {
		case err == nil && losses == 0:
			silentSince, delay = time.Time{}, minRetryDelay
			continue
		case err == nil, lost && losses == 1:
			// A snapshot is read at once after the first loss, and then its changes.
			silentSince = time.Time{}
			continue
		case waits && !lost:
			store.Sleep(ctx, minRetryDelay/2+rand.N(minRetryDelay))
			continue
		case !lost:
			if !check {
				silentSince = start
			}
			s.markFailed(kind, silentSince)
		}
		store.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// cutSince returns since when the store may have been silent, if a read that was to wait
// for a change got no response. Until its connection was closed, or the store was late, it
// was not.
func cutSince(start, end time.Time, wait time.Duration) time.Time {
	if end.Sub(start) < wait {
		return end
	}
	return start
}

// isListed reports whether the next read of a kind is one of changes.
func (s *Source) isListed(kind int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[kind].listed
}

// nextRead reports whether a read of a kind is due, and how long it may wait for a
// change. A VM polls the store until it has a configuration and a list of targets,
// and while it is a watcher. Other VMs read only what no watcher confirms.
func (s *Source) nextRead(kind int) (wait time.Duration, due bool) {
	select {
	case <-s.ready:
	default:
		return s.pollWait(kind), true
	}
	if s.opts.Watching == nil || s.opts.Watching() {
		return s.pollWait(kind), true
	}
	return minPollWait, s.isUnconfirmed(kind)
}

// errLate reports that the store has not begun to respond to a read in time.
var errLate = fmt.Errorf("%w: no response in time", store.ErrUnavailable)

// readInTime starts a read and returns its result, or errLate if the store does not begin to
// respond in time. The read then goes on beside the next one, and still takes effect: a store
// may be slow, and a change must not wait for several of its responses.
func (s *Source) readInTime(ctx context.Context, kind int, wait time.Duration) error {
	responds := make(chan struct{})
	signal := sync.OnceFunc(func() { close(responds) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: signal})
	if !s.isListed(kind) {
		wait = 0
	}
	done := make(chan error, 1)
	s.reads.Go(func() { done <- s.read(ctx, kind, wait) })
	timer := time.NewTimer(wait + patience)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-responds:
		return <-done
	case <-timer.C:
		return errLate
	}
}

// read makes one call for a kind and applies its result.
func (s *Source) read(ctx context.Context, kind int, wait time.Duration) error {
	name := s.opts.Decoder.Kinds[kind]
	s.mu.Lock()
	t := s.tables[kind]
	after, listed := t.at, t.listed
	s.mu.Unlock()
	if !listed {
		start := time.Now()
		objects, at, err := s.opts.Feed.Snapshot(ctx, name)
		if err != nil {
			return err
		}
		if !s.applySnapshot(kind, objects, at, start) {
			s.log("msg", "snapshot is older than state", "kind", name, "at", at)
			return s.loseHistory(kind, at)
		}
		return nil
	}
	start := time.Now()
	events, at, err := s.opts.Feed.Changes(ctx, name, after, wait)
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		s.mu.Lock()
		t.listed = t.listed && t.at != after
		s.mu.Unlock()
		return s.loseHistory(kind, after)
	case err != nil:
		return err
	}
	if kind == Config && len(events) > 0 {
		s.log("msg", "changes read", "kind", name, "after", after, "at", at, "events", len(events), "bytes", eventBytes(events),
			"wait", wait, "took", time.Since(start))
	}
	s.applyEvents(kind, after, events, at, confirmedBy(start, time.Now(), wait, len(events) > 0))
	if kind == Targets && len(events) > 0 {
		store.Sleep(ctx, batchDelay)
	}
	return nil
}

// confirmedBy returns a time from which on the store read the state that it sent in response to
// a read of changes. However slow the response was, the store had received the read by then, and
// has waited for the whole wait if there were no events.
func confirmedBy(start, end time.Time, wait time.Duration, events bool) time.Time {
	if !events && end.Sub(start) >= wait {
		return start.Add(wait)
	}
	return start
}

// eventBytes returns the size of the objects in events.
func eventBytes(events []store.Event) int {
	n := 0
	for _, e := range events {
		n += len(e.Object.Value)
	}
	return n
}

// loseHistory records that a read found no changes after a version, or a state that
// is older than that of this VM, and returns store.ErrHistoryLost.
func (s *Source) loseHistory(kind int, after int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[kind]
	t.losses++
	s.log("msg", "change history lost", "kind", s.opts.Decoder.Kinds[kind], "after", after, "known", t.at, "losses", t.losses)
	return store.ErrHistoryLost
}

// countLosses returns how often the history of a kind was lost since the last read
// that could continue it.
func (s *Source) countLosses(kind int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[kind].losses
}

// markFailed records that the store did not respond to a read of a kind that did not wait,
// and has been silent since a time at most.
func (s *Source) markFailed(kind int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[kind]
	t.failedAt = time.Now()
	if !t.failed {
		t.failed, t.silentSince = true, since
	}
}

// recordResult records whether the store responds to a read of a kind that took a time, and
// logs when that changes.
func (s *Source) recordResult(kind int, took time.Duration, err error) {
	if s.updateStatus(kind, took, err) && s.opts.OnStoreStatus != nil {
		s.opts.OnStoreStatus()
	}
}

// updateStatus records the result of a read and reports whether the status of the
// store has changed.
func (s *Source) updateStatus(kind int, took time.Duration, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.down
	switch {
	case err == nil || errors.Is(err, store.ErrHistoryLost):
		s.lastResponse, s.down = time.Now(), false
	case errors.Is(err, context.Canceled):
		// The process is stopping.
	default:
		s.lastFailure, s.down = time.Now(), true
	}
	switch {
	case s.down && !was:
		s.log("msg", "object store unavailable", "kind", s.opts.Decoder.Kinds[kind], "took", took, "err", err)
	case was && !s.down:
		s.log("msg", "object store available")
	}
	return was != s.down
}

func (s *Source) log(keyvals ...any) {
	if s.opts.Log != nil {
		_ = s.opts.Log.Log(keyvals...)
	}
}
