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
	// mailboxSize is the number of messages that can be pending for the task.
	mailboxSize = 256
	// busyInterval is the interval of ticks while responses of other VMs are
	// awaited.
	busyInterval = 10 * time.Millisecond
	// idleInterval is the interval of ticks otherwise.
	idleInterval = 250 * time.Millisecond
	// membershipInterval is the interval at which the membership is updated.
	membershipInterval = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// acquireTimeout bounds the calls that acquire or release a slot.
	acquireTimeout = 3 * storeTimeout
	// returnTimeout bounds one call that returns tokens.
	returnTimeout = 200 * time.Millisecond
)

// Options configure a Task. A zero Layout selects the default one. With a nil
// Clock the system clock is used, with a nil Log nothing is logged. Seed should
// differ between VMs and between process starts.
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

// A Task owns the limits of one VM. Only the goroutine of Run accesses the
// state; the other methods are safe for concurrent use.
type Task struct {
	o       Options
	log     log.Logger
	mailbox chan any
	stopped chan struct{}
	lastID  atomic.Uint64
	warm    atomic.Bool
}

// Messages in the mailbox, besides events.
type (
	reserveMessage struct {
		Reserve
		reply chan Decision
	}
	transferMessage struct {
		TransferRequested
		reply chan Transfer
	}
	releaseMessage struct{ reply chan struct{} }
	dumpMessage    struct{ reply chan Dump }
)

// NewTask returns a Task that serves requests while its Run is running.
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

// Register registers the handlers for calls of other VMs.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallTransferTokens, func(ctx context.Context, from string, request TransferRequest) (Transfer, error) {
		return t.respond(ctx, transferMessage{TransferRequested: TransferRequested{From: from, Request: request}, reply: make(chan Transfer, 1)})
	})
	peer.Handle(r, peer.CallReturnTokens, func(ctx context.Context, from string, returned TransferReturn) (TransferReturnReply, error) {
		return TransferReturnReply{}, t.post(ctx, TransferReturned{From: from, Return: returned})
	})
}

// respond returns the transfer with which this VM responds to another VM's
// transfer request.
func (t *Task) respond(ctx context.Context, m transferMessage) (Transfer, error) {
	if err := t.post(ctx, m); err != nil {
		return Transfer{}, err
	}
	select {
	case transfer := <-m.reply:
		return transfer, nil
	case <-t.stopped:
		return Transfer{}, errStopped
	case <-ctx.Done():
		return Transfer{}, ctx.Err()
	}
}

// Reserve reserves a cost against a customer's rate, waiting for tokens of other
// VMs if necessary. The empty customer, used by open routes, has no limit.
func (t *Task) Reserve(ctx context.Context, customer string, c Cost) Decision {
	m := reserveMessage{
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
		go t.refundAbandoned(m)
		return Refused{RetryAfter: minRetryAfter}
	}
}

// refundAbandoned refunds a reservation whose caller no longer waits for it.
func (t *Task) refundAbandoned(m reserveMessage) {
	select {
	case d := <-m.reply:
		if a, ok := d.(Admitted); ok {
			t.Settle(a.Reservation, Cost{})
		}
	case <-t.stopped:
	}
}

// Warm reports whether this VM has activated the slots that it can acquire, or
// has stopped waiting for them because the store is slow.
func (t *Task) Warm() bool { return t.warm.Load() }

// Settle ends a reservation with the cost that was actually used. The rest is
// refunded as far as the customer's burst allows.
func (t *Task) Settle(r Reservation, used Cost) {
	_ = t.post(context.Background(), Settle{Reservation: r, Used: used})
}

// Release releases all slots and waits until the writes to the store have ended.
func (t *Task) Release(ctx context.Context) error {
	m := releaseMessage{reply: make(chan struct{}, 1)}
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

// Dump returns the state as a value of type Dump.
func (t *Task) Dump() any {
	m := dumpMessage{reply: make(chan Dump, 1)}
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

// Run processes events until ctx ends. It may be called only once.
func (t *Task) Run(ctx context.Context) error {
	defer close(t.stopped)
	l := newLoop(ctx, t)
	go t.agreeOnLayout(ctx)
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
			timer.Reset(l.nextTick())
		}
		if l.needsBusyTick() {
			timer.Reset(busyInterval)
		}
	}
}

func (t *Task) logSlot(msg string, shard, slot int, err error) {
	_ = level.Info(t.log).Log("msg", msg, "shard", shard, "slot", slot, "err", err)
}
