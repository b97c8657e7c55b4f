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
	tickInterval = 100 * time.Millisecond
	inboxSize    = 1024
)

// Options are the dependencies of a Task. Without Roster and Peers the task reads
// the feed of every engine and holds the whole index. States, which may be nil,
// returns the reported states of targets, from which the task takes the eviction
// rates and incarnations of engines.
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

// A Task maintains the Index of this VM. It reads the feeds of the engines that
// are assigned to this VM and sends their changes to the other replicas.
type Task struct {
	opts          Options
	inbox         chan any
	index         *Index
	feeds         map[string]*feed
	readers       target.Readers
	snapshotTried map[string]bool
	outboxes      map[string]*outbox
	placement     *Placement
	published     atomic.Pointer[Placement]
	warm          atomic.Bool
	startedAt     time.Time
	pulling       bool
	nextPull      time.Time
	// queries recycles lookupQuery values.
	queries sync.Pool
}

// lookupQuery is a message that asks for the matches of keys. The reply extends
// dst.
type lookupQuery struct {
	keys  []Key
	dst   []Match
	reply chan []Match
}

// expectCommand records pieces that a sent request will store in an engine.
type expectCommand struct {
	engine, incarnation, weights string
	keys                         []Key
}

type dumpQuery struct{ reply chan Dump }

// NewTask returns a Task. It processes messages only while Run is running.
func NewTask(opts Options) *Task {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	t := &Task{
		opts:          opts,
		inbox:         make(chan any, inboxSize),
		startedAt:     opts.Clock.Now(),
		feeds:         map[string]*feed{},
		snapshotTried: map[string]bool{},
		outboxes:      map[string]*outbox{},
		placement:     NewPlacement(nil),
		queries: sync.Pool{New: func() any {
			return &lookupQuery{reply: make(chan []Match, 1)}
		}},
	}
	t.index = NewIndex(opts.MaxPieces, t.startedAt)
	t.published.Store(t.placement)
	return t
}

// Warm reports whether this VM has loaded its partitions of the index.
func (t *Task) Warm() bool { return t.warm.Load() }

// Run processes messages until ctx is done.
func (t *Task) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.tick(ctx, t.opts.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx, t.opts.Clock.Now())
		case m := <-t.inbox:
			t.handle(ctx, m, t.opts.Clock.Now())
		}
	}
}

// handle processes one message.
func (t *Task) handle(ctx context.Context, m any, now time.Time) {
	switch m := m.(type) {
	case *lookupQuery:
		m.reply <- t.index.Lookup(m.dst, m.keys, now)
	case expectCommand:
		t.index.Expect(m.engine, m.incarnation, m.weights, m.keys, now)
	case announceCommand:
		t.announce(ctx, m.announcement)
	case remoteAnnouncement:
		t.index.Announce(m.announcement, now)
	case feedEvent:
		t.handleEvent(m, now)
	case feedSnapshot:
		t.handleSnapshot(m, now)
	case feedBroken:
		t.handleBroken(m)
	case partCommand:
		m.reply <- t.mergePart(m.part, now)
	case partSent:
		t.handlePartSent(m)
	case pullQuery:
		m.reply <- Part{Engines: t.index.Export(func(p Partition) bool { return t.placement.IsReplica(m.from, p) })}
	case pullResult:
		t.pulling = false
		t.mergePart(m.part, now)
	case dumpQuery:
		m.reply <- Dump{Warm: t.warm.Load(), Reads: len(t.feeds), Size: t.index.Size()}
	}
}

// tick applies changes of the configuration, the membership and the reported
// states of engines, and does the work that is due.
func (t *Task) tick(ctx context.Context, now time.Time) {
	t.updatePlacement()
	t.published.Store(t.placement)
	t.updateFeeds(ctx)
	if t.opts.States != nil {
		states := t.opts.States()
		for i := range states {
			s := &states[i]
			t.index.SetEvictionRate(s.Target.Name, s.Report.CachePieces, s.Report.EvictionRate)
			t.checkIncarnation(ctx, s, now)
		}
	}
	t.requestSnapshots(ctx, now)
	t.flush(ctx, now)
	t.warmUp(ctx, now)
}

// Lookup appends to dst the engines that have a prefix of keys cached. A VM that
// is not a replica of the keys' partition asks one that is.
func (t *Task) Lookup(ctx context.Context, keys []Key, dst []Match) []Match {
	p := t.published.Load()
	if len(keys) > 0 && !p.IsReplica(t.opts.Self, keys[0].Partition()) {
		return t.lookupRemote(ctx, p, keys, dst)
	}
	return t.lookupLocal(ctx, keys, dst)
}

// lookupLocal looks the keys up in this VM's index.
func (t *Task) lookupLocal(ctx context.Context, keys []Key, dst []Match) []Match {
	q := t.queries.Get().(*lookupQuery)
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

// Expect records pieces that a sent request will store in an engine. It never
// blocks; if the inbox is full, the call has no effect.
func (t *Task) Expect(engine, incarnation, weights string, keys []Key) {
	select {
	case t.inbox <- expectCommand{engine, incarnation, weights, keys}:
	default:
	}
}

// Announce announces a prefill of this VM to the other VMs. It never blocks; if
// the inbox is full, the call has no effect.
func (t *Task) Announce(a Announcement) {
	select {
	case t.inbox <- announceCommand{a}:
	default:
	}
}

// A Dump is the state of a Task, for operators. Reads is the number of feeds that
// this VM reads.
type Dump struct {
	Warm  bool `json:"warm"`
	Reads int  `json:"reads"`
	Size  Size `json:"size"`
}

// Dump returns the state for operators. It is empty if the task does not reply
// within a second.
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
