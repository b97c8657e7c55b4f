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
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = 10 * time.Second
	// listRetry is the time before the list is read again after a failure.
	listRetry = 2 * time.Second
	// listTimeout limits the time of one read.
	listTimeout = 5 * time.Second
	inboxSize   = 64
)

// Options are the parameters of a Task. Self has the id, the incarnation and
// the addresses of this VM.
type Options struct {
	Self      Member
	Directory store.Directory
	Peers     peer.Caller
	Clock     store.Clock
	Log       log.Logger
	Seed      uint64
}

// A Task runs the membership protocol of one VM. Its goroutine owns the state;
// probes and reads of the list run in goroutines of their own and send it their
// results.
type Task struct {
	opts  Options
	inbox chan message
	wake  chan struct{}
	view  atomic.Pointer[view]
	hooks atomic.Pointer[reportHooks]

	mu     sync.Mutex
	state  string
	config int64
}

var (
	_ Roster  = (*Task)(nil)
	_ Carrier = (*Task)(nil)
)

// reportHooks are the functions of the component whose version reports
// heartbeats carry.
type reportHooks struct {
	report   func() VersionReport
	onReport func(from Member, r VersionReport, sent time.Time)
}

// NewTask returns a Task that has only this VM as a member until it runs.
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
	t.publish(newMembership(opts.Self, opts.Seed))
	return t
}

// Run maintains the membership until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	m := newMembership(t.opts.Self, t.opts.Seed)
	probes := time.NewTicker(ProbePeriod)
	defer probes.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	r := &runner{Task: t, ctx: ctx, wg: &wg}
	r.pollList()
	for {
		t.applyPending(m, r)
		t.publish(m)
		select {
		case <-ctx.Done():
			return nil
		case <-probes.C:
			r.run(m.tick(t.opts.Clock.Now()))
		case <-t.wake:
		case msg := <-t.inbox:
			t.handle(m, r, msg)
		}
	}
}

// handle processes one message.
func (t *Task) handle(m *membership, r *runner, msg message) {
	now := t.opts.Clock.Now()
	switch msg := msg.(type) {
	case probeReceived:
		msg.reply <- m.handleProbe(msg.from, msg.probe, now)
	case replyReceived:
		r.run(m.handleReply(msg.to, msg.reply, msg.sent, now))
	case probeFailed:
		if errors.Is(msg.err, peer.ErrWrongVM) {
			m.handleReplaced(msg.to, now)
			return
		}
		r.run(m.handleFailure(msg.to, msg.sent, now))
	case helpersDone:
		m.handleHelperResults(msg.id, msg.results, msg.sent, now)
	case listRead:
		m.setListed(msg.records)
		if len(m.others) == 0 {
			r.run(m.addUpdates(m.probeUnknown()))
		}
	}
}

// applyPending applies the values that SetState and SetConfig have set.
func (t *Task) applyPending(m *membership, r *runner) {
	t.mu.Lock()
	state, config := t.state, t.config
	t.mu.Unlock()
	m.self.Config = config
	previous := m.self.State
	m.setState(state)
	if previous != state && (state == StateDraining || state == StateStopped) {
		r.run(m.announceLeaving())
	}
}

// report returns the version report that heartbeats carry.
func (t *Task) report() VersionReport {
	if h := t.hooks.Load(); h != nil {
		return h.report()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return VersionReport{Version: t.config, Age: AgeUnknown}
}

// deliverReport passes the version report of another VM to the attached
// component.
func (t *Task) deliverReport(from string, r VersionReport, sent time.Time) {
	h := t.hooks.Load()
	if h == nil {
		return
	}
	if member, ok := t.member(from); ok {
		h.onReport(member, r, sent)
	}
}
