package limit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// mailboxSize is the number of messages that wait for the task.
	mailboxSize = 256
	// busyTick is the pace of the task while requests wait for other VMs.
	busyTick = 10 * time.Millisecond
	// idleTick is its pace otherwise.
	idleTick = 250 * time.Millisecond
	// membersEvery is how often the membership is read.
	membersEvery = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// acquireTimeout bounds the calls that acquire or release a slot.
	acquireTimeout = 3 * storeTimeout
	// returnTimeout bounds one call that returns tokens.
	returnTimeout = 200 * time.Millisecond
)

// Options are what a Task needs. A zero Layout is the default one; a nil Log
// is silent. Seed differs between VMs and between process starts.
type Options struct {
	Self   vm.Member
	Layout Layout
	Store  store.Store
	Peers  peer.Caller
	Roster vm.Roster
	Config func() *config.View
	Clock  store.Clock
	Log    log.Logger
	Seed   uint64
}

// A Task owns the limits of one VM: its Run is the only goroutine that touches
// the state.
type Task struct {
	o       Options
	log     log.Logger
	mailbox chan any
	stopped chan struct{}
	lastID  atomic.Uint64
	warm    atomic.Bool
}

// Messages of the mailbox, besides events.
type (
	reservation struct {
		Reserve
		reply chan Decision
	}
	question struct {
		Asked
		reply chan Transfer
	}
	release     struct{ reply chan struct{} }
	dumpRequest struct{ reply chan Dump }
)

// NewTask returns a Task that works while its Run does.
func NewTask(o Options) *Task {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	if o.Layout == (Layout{}) {
		o.Layout = Layout{Shards: DefaultShards, Slots: DefaultSlots}
	}
	return &Task{
		o: o, log: log.With(o.Log, "part", "limit"),
		mailbox: make(chan any, mailboxSize), stopped: make(chan struct{}),
	}
}

// Register takes the calls of other VMs.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallTransferTokens, func(ctx context.Context, from string, a TransferRequest) (Transfer, error) {
		return t.answer(ctx, question{Asked: Asked{From: from, Ask: a}, reply: make(chan Transfer, 1)})
	})
	peer.Handle(r, peer.CallReturnTokens, func(ctx context.Context, from string, b TransferReturn) (TransferReturnReply, error) {
		return TransferReturnReply{}, t.post(ctx, Returned{From: from, Return: b})
	})
}

// answer waits for the transfer that answers an ask.
func (t *Task) answer(ctx context.Context, q question) (Transfer, error) {
	if err := t.post(ctx, q); err != nil {
		return Transfer{}, err
	}
	select {
	case transfer := <-q.reply:
		return transfer, nil
	case <-t.stopped:
		return Transfer{}, errStopped
	case <-ctx.Done():
		return Transfer{}, ctx.Err()
	}
}

// Reserve takes a cost from a customer's rate, or tells when to try again. The
// empty customer, of open routes, has no limit.
func (t *Task) Reserve(ctx context.Context, customer string, c Cost) Decision {
	m := reservation{
		Reserve: Reserve{ID: t.lastID.Add(1), Customer: customer, Cost: c},
		reply:   make(chan Decision, 1),
	}
	if t.post(ctx, m) != nil {
		return Refused{RetryAfter: minRetryAfter}
	}
	select {
	case d := <-m.reply:
		return d
	case <-t.stopped:
		return Refused{RetryAfter: minRetryAfter}
	case <-ctx.Done():
		go t.forget(m)
		return Refused{RetryAfter: minRetryAfter}
	}
}

// forget refunds a reservation whose caller has gone.
func (t *Task) forget(m reservation) {
	select {
	case d := <-m.reply:
		if a, ok := d.(Admitted); ok {
			t.Settle(a.Reservation, Cost{})
		}
	case <-t.stopped:
	}
}

// Warm tells whether this VM has its part of the rates, as far as the object
// API lets it.
func (t *Task) Warm() bool { return t.warm.Load() }

// Settle ends a reservation with what was really used, and refunds the rest as
// far as the customer's burst allows.
func (t *Task) Settle(r Reservation, used Cost) {
	_ = t.post(context.Background(), Settle{Reservation: r, Used: used})
}

// Release hands all slots back to the store and waits until that is done.
func (t *Task) Release(ctx context.Context) error {
	m := release{reply: make(chan struct{}, 1)}
	if err := t.post(ctx, m); err != nil {
		return err
	}
	select {
	case <-m.reply:
		return nil
	case <-t.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dump returns the state for operators, a Dump.
func (t *Task) Dump() any {
	m := dumpRequest{reply: make(chan Dump, 1)}
	if t.post(context.Background(), m) != nil {
		return Dump{}
	}
	select {
	case d := <-m.reply:
		return d
	case <-t.stopped:
		return Dump{}
	}
}

// post sends a message to the task.
func (t *Task) post(ctx context.Context, m any) error {
	select {
	case t.mailbox <- m:
		return nil
	case <-t.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run owns the state until ctx ends. It may be called once.
func (t *Task) Run(ctx context.Context) error {
	defer close(t.stopped)
	l := newLoop(ctx, t)
	go t.agree(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-t.mailbox:
			l.handle(m)
		case <-timer.C:
			l.tick()
			timer.Reset(l.pace())
		}
		if l.hurry() {
			timer.Reset(busyTick)
		}
	}
}

func (t *Task) logSlot(msg string, shard, slot int, err error) {
	_ = level.Info(t.log).Log("msg", msg, "shard", shard, "slot", slot, "err", err)
}
