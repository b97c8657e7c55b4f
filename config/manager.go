package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// maxReportAge is the age at and above which a version report counts as not
// confirmed by the object store.
const maxReportAge = 365 * 24 * time.Hour

// Options are the parameters of a Manager. Self is the id of this VM. If
// Roster does not implement vm.Carrier, versions are distributed by pushes and
// polls only and not by heartbeats.
type Options struct {
	Store  store.Store
	Peers  peer.Caller
	Roster vm.Roster
	Clock  store.Clock
	Log    log.Logger
	Self   string
	Seed   uint64
}

// A Manager keeps the newest configuration in force on one VM. It learns of
// new versions from the object store and from other VMs, fetches and adopts
// them, and commits patches. The goroutine that executes Run owns the state.
type Manager struct {
	opts  Options
	inbox chan message
	view  atomic.Pointer[View]
	state atomic.Pointer[publishedState]

	mu          sync.Mutex
	subscribers []chan struct{}
	rng         *rand.Rand

	submitMu      sync.Mutex // held during Submit
	partialChunks chunkCache

	// newestReported is the newest version that a heartbeat has reported.
	newestReported atomic.Int64

	reads  atomic.Int64
	writes atomic.Int64
	pulls  atomic.Int64
	pushes atomic.Int64
}

// A publishedState is the part of the state that queries and handlers read.
type publishedState struct {
	freshnessState
	snap    *snapshot
	patches []VersionedPatch
}

// NewManager returns a Manager with version 0 in force.
func NewManager(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	m := &Manager{
		opts:  opts,
		inbox: make(chan message, inboxSize),
		rng:   rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.Self))),
	}
	m.publish(newCore())
	if c, ok := opts.Roster.(vm.Carrier); ok {
		c.Attach(m.ownReport, m.receiveReport)
	}
	return m
}

// publish makes the state visible to readers, and notifies subscribers of a
// new version.
func (m *Manager) publish(c *core) {
	m.state.Store(&publishedState{freshnessState: c.freshnessState(), snap: c.snap, patches: c.patches})
	if m.view.Load() == c.snap.view {
		return
	}
	m.view.Store(c.snap.view)
	if s, ok := m.opts.Roster.(interface{ SetConfig(int64) }); ok {
		s.SetConfig(c.snap.version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ch := range m.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// ownReport returns the version report for heartbeats: the version in force,
// and how long ago the object store reported it as the newest.
func (m *Manager) ownReport() vm.VersionReport {
	s := m.state.Load()
	return vm.VersionReport{Version: s.version, Age: s.age(m.opts.Clock.Now())}
}

// age returns the time since the object store confirmed the version in force,
// or vm.AgeUnknown.
func (s freshnessState) age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return vm.AgeUnknown
	}
	return max(now.Sub(s.confirmed), 0)
}

// receiveReport processes the version report of a heartbeat. It does not
// block: a report that does not fit into the inbox is dropped, since the next
// heartbeat repeats it.
func (m *Manager) receiveReport(from vm.Member, report vm.VersionReport, sent time.Time) {
	for old := m.newestReported.Load(); report.Version > old; old = m.newestReported.Load() {
		m.newestReported.CompareAndSwap(old, report.Version)
	}
	select {
	case m.inbox <- versionReport{version: report.Version, confirmed: confirmationTime(sent, report.Age), source: from.ID}:
	default:
	}
}

// confirmationTime returns when the object store confirmed a version, given
// when it was reported and its age at that time. It returns the zero time if
// the version was never confirmed.
func confirmationTime(reported time.Time, age time.Duration) time.Time {
	if age >= maxReportAge {
		return time.Time{}
	}
	return reported.Add(-max(age, 0))
}

// jitter returns a random duration of at most d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// randomIndex returns a random number from 0 to n-1.
func (m *Manager) randomIndex(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// runInBackground runs f in a goroutine that work waits for.
func runInBackground(ctx context.Context, work *sync.WaitGroup, f func(context.Context)) {
	work.Go(func() { f(ctx) })
}
