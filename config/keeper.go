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
const maxAge = 365 * 24 * time.Hour

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
	state atomic.Pointer[published]

	mu          sync.Mutex
	subscribers []chan struct{}
	rng         *rand.Rand

	commits sync.Mutex // held during a Submit
	partial partial

	// claimed is the newest version that a heartbeat named.
	claimed atomic.Int64

	reads  atomic.Int64
	writes atomic.Int64
	pulls  atomic.Int64
	pushes atomic.Int64
}

// published is what readers and calls of other VMs see of the state.
type published struct {
	standing
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
	k := &Manager{
		opts:  opts,
		inbox: make(chan message, inboxSize),
		rng:   rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.Self))),
	}
	k.publish(newCore())
	if c, ok := opts.Roster.(vm.Carrier); ok {
		c.Attach(k.word, k.heard)
	}
	return k
}

// publish makes the state visible to readers.
func (k *Manager) publish(c *core) {
	k.state.Store(&published{standing: c.standing(), snap: c.snap, patches: c.patches})
	if k.view.Load() == c.snap.view {
		return
	}
	k.view.Store(c.snap.view)
	if s, ok := k.opts.Roster.(interface{ SetConfig(int64) }); ok {
		s.SetConfig(c.snap.version)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, ch := range k.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// word returns what heartbeats carry: the version in force, and how long ago
// the object API named it as the newest.
func (k *Manager) word() vm.VersionReport {
	s := k.state.Load()
	return vm.VersionReport{Version: s.version, Age: s.age(k.opts.Clock.Now())}
}

// age returns the age of the word of the object API.
func (s standing) age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return vm.AgeUnknown
	}
	return max(now.Sub(s.confirmed), 0)
}

// heard takes the word of a heartbeat. It does not block: a word that finds
// the inbox full comes again with the next heartbeat.
func (k *Manager) heard(from vm.Member, w vm.VersionReport, sent time.Time) {
	for old := k.claimed.Load(); w.Version > old; old = k.claimed.Load() {
		k.claimed.CompareAndSwap(old, w.Version)
	}
	select {
	case k.inbox <- word{version: w.Version, at: wordTime(sent, w.Age), source: from.ID}:
	default:
	}
}

// wordTime returns when the object API spoke, as told at a time with an age, or
// the zero time when it never did.
func wordTime(told time.Time, age time.Duration) time.Time {
	if age >= maxAge {
		return time.Time{}
	}
	return told.Add(-max(age, 0))
}

// jitter returns a random time up to d.
func (k *Manager) jitter(d time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.rng.Int64N(int64(d) + 1))
}

// pick returns a random number below n.
func (k *Manager) pick(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}

// do runs f beside the task's goroutine.
func do(ctx context.Context, work *sync.WaitGroup, f func(context.Context)) {
	work.Go(func() { f(ctx) })
}
