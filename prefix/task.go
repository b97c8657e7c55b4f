package prefix

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	taskTick  = 100 * time.Millisecond
	inboxSize = 1024
)

// Options are the parts that a Task needs. Without Roster and Peers it reads
// every engine's feed and is the home of the whole index. States gives the
// reported load of engines, for their pressure.
type Options struct {
	Client    target.Client
	Config    func() *config.View
	States    func() []target.State
	Roster    vm.Roster
	Peers     peer.Caller
	Self      string
	Clock     store.Clock
	Log       log.Logger
	MaxPieces int
}

// A Task owns the Index of this VM, the feeds that it reads, and what it has yet
// to tell the other homes.
type Task struct {
	opts      Options
	inbox     chan any
	index     *Index
	feeds     map[string]*feed
	readers   target.Readers
	tried     map[string]bool
	outboxes  map[string]*outbox
	placement *Placement
	published atomic.Pointer[Placement]
	warm      atomic.Bool
	begun     time.Time
	pulling   bool
	nextPull  time.Time
	// queries holds heldQuery values for reuse.
	queries sync.Pool
}

// heldQuery asks for the holdings of keys. The answer extends dst.
type heldQuery struct {
	keys  []Key
	dst   []Match
	reply chan []Match
}

// expectCommand records pieces that a sent request leaves in an engine.
type expectCommand struct {
	engine, incarnation, weights string
	keys                         []Key
}

type dumpQuery struct{ reply chan Dump }

// NewTask returns a Task, which works while Run runs.
func NewTask(opts Options) *Task {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	t := &Task{
		opts:      opts,
		inbox:     make(chan any, inboxSize),
		begun:     opts.Clock.Now(),
		feeds:     map[string]*feed{},
		tried:     map[string]bool{},
		outboxes:  map[string]*outbox{},
		placement: NewPlacement(nil),
		queries: sync.Pool{New: func() any {
			return &heldQuery{reply: make(chan []Match, 1)}
		}},
	}
	t.index = NewIndex(opts.MaxPieces, t.begun)
	t.published.Store(t.placement)
	return t
}

// Warm tells whether this VM has its part of the index.
func (t *Task) Warm() bool { return t.warm.Load() }

// Run works until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	ticker := time.NewTicker(taskTick)
	defer ticker.Stop()
	t.tick(ctx, t.opts.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx, t.opts.Clock.Now())
		case m := <-t.inbox:
			t.take(ctx, m, t.opts.Clock.Now())
		}
	}
}

// take handles one message.
func (t *Task) take(ctx context.Context, m any, now time.Time) {
	switch m := m.(type) {
	case *heldQuery:
		m.reply <- t.index.Lookup(m.dst, m.keys, now)
	case expectCommand:
		t.index.Expect(m.engine, m.incarnation, m.weights, m.keys, now)
	case announceCommand:
		t.announce(ctx, m.announcement)
	case announced:
		t.index.Announce(m.announcement, now)
	case feedEvent:
		t.takeEvent(m, now)
	case feedSnapshot:
		t.takeSnapshot(m, now)
	case feedBroken:
		t.takeBroken(m)
	case partCommand:
		m.reply <- t.takePart(m.part, now)
	case partSent:
		t.takeSent(m)
	case pullQuery:
		m.reply <- Part{Engines: t.index.Export(func(d Partition) bool { return t.placement.IsReplica(m.from, d) })}
	case pulled:
		t.pulling = false
		t.takePart(m.part, now)
	case dumpQuery:
		m.reply <- Dump{Warm: t.warm.Load(), Reads: len(t.feeds), Size: t.index.Size()}
	}
}

// tick follows the configuration, the membership and the reported pressure.
func (t *Task) tick(ctx context.Context, now time.Time) {
	t.followHomes()
	t.published.Store(t.placement)
	t.followFeeds(ctx)
	if t.opts.States != nil {
		states := t.opts.States()
		for i := range states {
			s := &states[i]
			t.index.SetEvictionRate(s.Target.Name, s.Report.CachePieces, s.Report.EvictionRate)
			t.compare(ctx, s, now)
		}
	}
	t.askSnapshots(ctx, now)
	t.flush(ctx, now)
	t.warmUp(ctx, now)
}

// Held appends to dst the engines that hold pieces of keys from the start. A VM
// that is no home of the keys asks one.
func (t *Task) Lookup(ctx context.Context, keys []Key, dst []Match) []Match {
	p := t.published.Load()
	if len(keys) > 0 && !p.IsReplica(t.opts.Self, keys[0].Partition()) {
		return t.askHomes(ctx, p, keys, dst)
	}
	return t.ownHeld(ctx, keys, dst)
}

// ownHeld asks this VM's index.
func (t *Task) ownHeld(ctx context.Context, keys []Key, dst []Match) []Match {
	q := t.queries.Get().(*heldQuery)
	q.keys, q.dst = keys, dst
	select {
	case t.inbox <- q:
	case <-ctx.Done():
		return dst
	}
	select {
	case dst = <-q.reply:
		t.queries.Put(q)
	case <-ctx.Done():
	}
	return dst
}

// Expect records pieces that a request which was sent will leave in an engine.
// It never blocks: what the task cannot take is dropped.
func (t *Task) Expect(engine, incarnation, weights string, keys []Key) {
	select {
	case t.inbox <- expectCommand{engine, incarnation, weights, keys}:
	default:
	}
}

// Announce tells the other VMs of a prefill that this one has sent. It never
// blocks: what the task cannot take is dropped.
func (t *Task) Announce(a Announcement) {
	select {
	case t.inbox <- announceCommand{a}:
	default:
	}
}

// A Dump is the state of a Task for operators.
type Dump struct {
	Warm  bool `json:"warm"`
	Reads int  `json:"reads"`
	Size  Size `json:"size"`
}

// Dump returns the state for operators. It is empty if the task does not run.
func (t *Task) Dump() any {
	q := dumpQuery{reply: make(chan Dump, 1)}
	timeout := time.After(time.Second)
	select {
	case t.inbox <- q:
	case <-timeout:
		return Dump{}
	}
	select {
	case d := <-q.reply:
		return d
	case <-timeout:
		return Dump{}
	}
}
