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

// maxAge is the age from which on a word counts as never heard.
const maxReportAge = 365 * 24 * time.Hour

// Options are the parameters of a Keeper. Self is the id of this VM. Roster is
// a vm.Carrier, or else versions travel by pushes and polls only.
type Options struct {
	Store  store.Store
	Peers  peer.Caller
	Roster vm.Roster
	Clock  store.Clock
	Log    log.Logger
	Self   string
	Seed   uint64
}

// A Keeper keeps the newest configuration in force on one VM: it hears of
// versions from the object API and from other VMs, fetches and adopts them, and
// commits patches. Its goroutine owns the state.
type Manager struct {
	opts  Options
	inbox chan message
	view  atomic.Pointer[View]
	state atomic.Pointer[publishedState]

	mu          sync.Mutex
	subscribers []chan struct{}
	rng         *rand.Rand

	submitMu      sync.Mutex // held during a Submit
	partialChunks chunkCache

	// claimed is the newest version that a heartbeat named.
	newestReported atomic.Int64

	reads  atomic.Int64
	writes atomic.Int64
	pulls  atomic.Int64
	pushes atomic.Int64
}

// published is what readers and calls of other VMs see of the state.
type publishedState struct {
	freshnessState
	snap    *snapshot
	patches []VersionedPatch
}

// NewKeeper returns a Keeper with version 0 in force.
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
		c.Carry(m.ownReport, m.receiveReport)
	}
	return m
}

// publish makes the state visible to readers.
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

// word returns what heartbeats carry: the version in force, and how long ago
// the object API named it as the newest.
func (m *Manager) ownReport() vm.Word {
	s := m.state.Load()
	return vm.Word{Version: s.version, Age: s.age(m.opts.Clock.Now())}
}

// age returns the age of the word of the object API.
func (s freshnessState) age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return vm.NoWord
	}
	return max(now.Sub(s.confirmed), 0)
}

// heard takes the word of a heartbeat. It does not block: a word that finds
// the inbox full comes again with the next heartbeat.
func (m *Manager) receiveReport(from vm.Member, w vm.Word, sent time.Time) {
	for old := m.newestReported.Load(); w.Version > old; old = m.newestReported.Load() {
		m.newestReported.CompareAndSwap(old, w.Version)
	}
	select {
	case m.inbox <- versionReport{version: w.Version, confirmed: confirmationTime(sent, w.Age), source: from.ID}:
	default:
	}
}

// wordTime returns when the object API spoke, as told at a time with an age, or
// the zero time when it never did.
func confirmationTime(reported time.Time, age time.Duration) time.Time {
	if age >= maxReportAge {
		return time.Time{}
	}
	return reported.Add(-max(age, 0))
}

// jitter returns a random time up to d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// pick returns a random number below n.
func (m *Manager) randomIndex(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// do runs f beside the task's goroutine.
func runInBackground(ctx context.Context, work *sync.WaitGroup, f func(context.Context)) {
	work.Go(func() { f(ctx) })
}
