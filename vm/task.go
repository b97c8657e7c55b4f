package vm

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// listPeriod is the time between two readings of the platform's list.
	listPeriod = 10 * time.Second
	// listRetry is the time before the list is read again after a failure.
	listRetry = 2 * time.Second
	// listTimeout bounds one reading.
	listTimeout = 5 * time.Second
	inboxSize   = 64
)

// Options are the parameters of a Task. Self holds the id, the incarnation and
// the addresses of this VM.
type Options struct {
	Self      Member
	Directory store.Directory
	Peers     peer.Caller
	Clock     store.Clock
	Log       log.Logger
	Seed      uint64
}

// A Task is the membership as one VM sees it. Its goroutine owns the state;
// probes and readings of the list run beside it and send it their results.
type Task struct {
	opts    Options
	inbox   chan message
	wake    chan struct{}
	view    atomic.Pointer[view]
	carried atomic.Pointer[carried]

	mu     sync.Mutex
	state  string
	config int64
}

var (
	_ Roster  = (*Task)(nil)
	_ Carrier = (*Task)(nil)
)

// carried is what another part puts on heartbeats.
type carried struct {
	word  func() VersionReport
	heard func(from Member, w VersionReport, sent time.Time)
}

// NewTask returns a Task that knows of this VM only until it runs.
func NewTask(opts Options) *Task {
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Self.State == "" {
		opts.Self.State = StateStarting
	}
	t := &Task{
		opts:  opts,
		inbox: make(chan message, inboxSize),
		wake:  make(chan struct{}, 1),
		state: opts.Self.State,
	}
	t.publish(newMembers(opts.Self, opts.Seed))
	return t
}

// Run keeps the membership until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	m := newMembers(t.opts.Self, t.opts.Seed)
	probes := time.NewTicker(ProbePeriod)
	defer probes.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	r := &runner{Task: t, ctx: ctx, work: &work}
	r.readList()
	for {
		t.adopt(m, r)
		t.publish(m)
		select {
		case <-ctx.Done():
			return nil
		case <-probes.C:
			r.do(m.tick(t.opts.Clock.Now()))
		case <-t.wake:
		case msg := <-t.inbox:
			t.handle(m, r, msg)
		}
	}
}

// handle takes one message.
func (t *Task) handle(m *members, r *runner, msg message) {
	now := t.opts.Clock.Now()
	switch msg := msg.(type) {
	case received:
		msg.reply <- m.answer(msg.from, msg.probe, now)
	case replied:
		r.do(m.probed(msg.to, msg.reply, msg.sent, now))
	case failed:
		if errors.Is(msg.err, peer.ErrWrongVM) {
			m.replaced(msg.to, now)
			return
		}
		r.do(m.missed(msg.to, msg.sent, now))
	case helped:
		m.testified(msg.target, msg.list, msg.sent, now)
	case listRead:
		m.list(msg.records)
		if len(m.others) == 0 {
			r.do(m.filled(m.meet()))
		}
	}
}

// adopt takes the state and the version that SetState and SetConfig left.
func (t *Task) adopt(m *members, r *runner) {
	t.mu.Lock()
	state, config := t.state, t.config
	t.mu.Unlock()
	m.self.Config = config
	was := m.self.State
	m.change(state)
	if was != state && (state == StateDraining || state == StateStopped) {
		r.do(m.leave())
	}
}

// word returns what heartbeats carry.
func (t *Task) word() VersionReport {
	if c := t.carried.Load(); c != nil {
		return c.word()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return VersionReport{Version: t.config, Age: AgeUnknown}
}

// heard passes the word of another VM on.
func (t *Task) heard(from string, w VersionReport, sent time.Time) {
	c := t.carried.Load()
	if c == nil {
		return
	}
	if member, ok := t.member(from); ok {
		c.heard(member, w, sent)
	}
}
