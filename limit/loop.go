package limit

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/baobabdyke/baobabdyke/peer"
)

var errStopped = errors.New("limit: the task has stopped")

// A loop is what the goroutine of a Task owns.
type loop struct {
	ctx       context.Context
	t         *Task
	state     *State
	deciding  map[uint64]chan Decision
	answering chan Transfer
	releasing []chan struct{}
	members   time.Time
	quick     bool // the timer runs at the busy pace
}

func newLoop(ctx context.Context, t *Task) *loop {
	// Ids of asks differ between the incarnations of a VM.
	firstAsk := t.o.Self.Incarnation<<32 ^ t.o.Seed
	return &loop{
		ctx: ctx, t: t, state: NewState(t.o.Self, t.o.Layout, firstAsk),
		deciding: map[uint64]chan Decision{},
	}
}

// handle takes one message.
func (l *loop) handle(m any) {
	l.configure()
	switch m := m.(type) {
	case reservation:
		l.deciding[m.ID] = m.reply
		l.step(m.Reserve)
	case question:
		l.answering = m.reply
		l.step(m.Asked)
	case release:
		l.releasing = append(l.releasing, m.reply)
		l.step(GiveUp{})
		l.released()
	case dumpRequest:
		m.reply <- l.state.Dump(l.t.o.Clock.Now())
	case Event:
		l.step(m)
		l.released()
	}
}

// released answers those who wait for the end of all writes.
func (l *loop) released() {
	if l.state.Pending() > 0 {
		return
	}
	for _, reply := range l.releasing {
		reply <- struct{}{}
	}
	l.releasing = nil
}

// configure puts the configuration in force, if it has changed.
func (l *loop) configure() {
	if v := l.t.o.Config(); v != nil && v != l.state.view {
		l.step(Configured{View: v})
	}
}

// tick lets time pass and reads the membership now and then.
func (l *loop) tick() {
	l.configure()
	now := l.t.o.Clock.Now()
	if now.Sub(l.members) >= membersEvery {
		l.members = now
		removed := map[string]bool{}
		for _, id := range l.state.Holders() {
			removed[id] = l.t.o.Roster.Removed(id)
		}
		l.step(Membership{Live: l.t.o.Roster.Live(), Listed: l.t.o.Roster.Listed(), Removed: removed})
	}
	l.step(Tick{})
	if !l.t.warm.Load() && l.state.Warm(now) {
		l.t.warm.Store(true)
	}
}

// pace returns the time until the next tick.
func (l *loop) pace() time.Duration {
	l.quick = l.state.Busy()
	if l.quick {
		return busyTick
	}
	return idleTick
}

// hurry tells that requests have begun to wait while the timer runs slowly.
func (l *loop) hurry() bool {
	if l.quick || !l.state.Busy() {
		return false
	}
	l.quick = true
	return true
}

// step applies an event and does what it asks for.
func (l *loop) step(e Event) {
	for _, effect := range l.state.Step(e, l.t.o.Clock.Now()) {
		switch effect := effect.(type) {
		case Decide:
			l.deciding[effect.ID] <- effect.Decision
			delete(l.deciding, effect.ID)
		case SendTransfer:
			l.answering <- effect.Transfer
		case SendAsk:
			go l.t.sendAsk(l.ctx, l.destination(effect.To), effect)
		case SendReturn:
			go l.t.sendReturn(l.ctx, l.destination(effect.To), effect)
		case ListShard:
			go l.t.listShard(l.ctx, effect)
		case TakeSlot:
			go l.t.takeSlot(l.ctx, effect)
		case GiveSlot:
			go l.t.giveSlot(l.ctx, effect)
		}
	}
}

// destination returns where another VM takes calls, with an empty address if
// it is not thought alive.
func (l *loop) destination(id string) peer.Destination {
	d := peer.Destination{VM: id}
	for _, m := range l.state.live {
		if m.ID == id {
			d.Address = m.Peer
		}
	}
	return d
}

// sendAsk asks another VM and posts its answer.
func (t *Task) sendAsk(ctx context.Context, to peer.Destination, e SendAsk) {
	answer := Answered{ID: e.Ask.ID, Failed: to.Address == ""}
	if !answer.Failed {
		call, cancel := context.WithTimeout(ctx, TransferLifetime)
		defer cancel()
		err := t.o.Peers.Call(call, to, peer.CallTransferTokens, e.Ask, &answer.Transfer)
		if answer.Failed = err != nil; answer.Failed {
			_ = level.Debug(t.log).Log("msg", "no answer to an ask", "vm", to.VM, "err", err)
		}
	}
	_ = t.post(ctx, answer)
}

// sendReturn returns tokens to another VM. If the call fails they are lost.
func (t *Task) sendReturn(ctx context.Context, to peer.Destination, e SendReturn) {
	if to.Address == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if err := t.o.Peers.Call(call, to, peer.CallReturnTokens, e.Return, &TransferReturnReply{}); err != nil {
		_ = level.Debug(t.log).Log("msg", "tokens not returned", "vm", to.VM, "err", err)
	}
}
